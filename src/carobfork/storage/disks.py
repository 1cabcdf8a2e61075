"""Disks: records written in batches, and what a disk says of itself.

All records that arrive while the disk is busy go out with one write and one
sync. Answers are made after the whole batch is indexed, so each of two
requests in one batch sees the other's charge.
"""

import pathlib
import secrets
from collections.abc import Callable
from typing import Any

import attrs
import gevent
import msgspec
import structlog
from gevent import event

from carobfork import clock
from carobfork.storage import groups, ledgers, notes, segments

EXPIRE_EVERY_MS = 5000
_IDENTITY = 'identity'
_NOTES = 'notes'
_DISK_BYTES = 8

logger = structlog.get_logger(part='disk')


@attrs.frozen
class Identity:
    """What a disk says of itself.

    :param is_complete: whether it holds all that its group acknowledged.
    """

    disk: str
    is_complete: bool = False
    group: groups.Group = attrs.Factory(groups.Group)


@attrs.frozen
class Submission:
    """Records that wait for the disk, and what follows.

    :param answer: called when the records are synced and indexed.
    :param fail: called where the disk refused them.
    """

    records: list[ledgers.Record]
    answer: Callable[[], Any]
    fail: Callable[[], Any]


class Disk:
    """Keep records in one directory.

    :param folder: the directory.
    :param timer: the time of day.
    """

    def __init__(self, folder: pathlib.Path, timer: clock.Clock) -> None:
        """Open the directory and read what it holds."""
        self._folder = folder
        self.identity = _load_identity(folder)
        self._files = segments.Segments(folder)
        self.ledger = ledgers.Ledger(self._files, timer)
        self.notebook = notes.Notebook(_load_notes(folder))
        self.synced_batches = 0
        self._waiting: list[Submission] = []
        self._wakened = event.Event()
        logger.info(
            'disk opened',
            disk=self.identity.disk,
            complete=self.identity.is_complete,
            epoch=self.identity.group.epoch,
            **self.ledger.describe(),
        )

    def save(self, identity: Identity) -> None:
        """Replace what the disk says of itself, permanently."""
        segments.write_file(
            self._folder / _IDENTITY, msgspec.msgpack.encode(identity)
        )
        self.identity = identity

    def mark(self, is_complete: bool) -> None:
        """Note whether the disk holds all that it should, permanently."""
        if self.identity.is_complete != is_complete:
            logger.info('copy complete' if is_complete else 'copy begun')
            self.save(attrs.evolve(self.identity, is_complete=is_complete))

    def save_notes(self) -> None:
        """Keep what was learnt of the platform, for hosts that start."""
        segments.write_file(
            self._folder / _NOTES, msgspec.msgpack.encode(self.notebook.notes)
        )

    def submit(self, submission: Submission) -> None:
        """Write records, if there are any, and answer then."""
        if submission.records:
            self._waiting.append(submission)
            self._wakened.set()
        else:
            submission.answer()

    def read(self, entry: segments.Place | ledgers.Record) -> bytes:
        """Return an entry of the ledger's dump as a record's bytes."""
        if isinstance(entry, segments.Place):
            return self._files.read(entry)
        return ledgers.encode_record(entry)

    def run(self) -> None:
        """Write what arrives, until the greenlet is killed."""
        while True:
            self._wakened.wait()
            self._wakened.clear()
            batch = self._waiting
            self._waiting = []
            self._commit(batch)

    def run_expiry(self) -> None:
        """Remove what is past its time, until the greenlet is killed."""
        while True:
            gevent.sleep(clock.to_seconds(EXPIRE_EVERY_MS))
            for segment in self.ledger.expire():
                self._files.drop(segment)
                logger.info('segment removed', segment=segment)

    def close(self) -> None:
        """Close the files."""
        self._files.close()

    def _commit(self, batch: list[Submission]) -> None:
        records = [record for waiting in batch for record in waiting.records]
        encoded = [ledgers.encode_record(record) for record in records]
        pool = gevent.get_hub().threadpool
        try:
            places = pool.apply(self._write, (encoded,))
        except OSError as error:
            logger.error('disk failed', reason=str(error), records=len(records))
            for refused in batch:
                refused.fail()
            return
        self.synced_batches += 1
        for record, place in zip(records, places, strict=True):
            self.ledger.apply(record, place)
        for written in batch:
            written.answer()

    def _write(self, encoded: list[bytes]) -> list[segments.Place]:
        places = self._files.append(encoded)
        self._files.sync()
        return places


def _load_notes(folder: pathlib.Path) -> dict[str, notes.Note]:
    path = folder / _NOTES
    if path.exists():
        return msgspec.msgpack.decode(
            path.read_bytes(), type=dict[str, notes.Note]
        )
    return {}


def _load_identity(folder: pathlib.Path) -> Identity:
    """Return the disk's identity; a new disk gets a new one."""
    path = folder / _IDENTITY
    if path.exists():
        return msgspec.msgpack.decode(path.read_bytes(), type=Identity)
    folder.mkdir(parents=True, exist_ok=True)
    identity = Identity(secrets.token_hex(_DISK_BYTES))
    segments.write_file(path, msgspec.msgpack.encode(identity))
    return identity
