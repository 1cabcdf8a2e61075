"""Store records, the disk's identity and snapshots in one directory.

All records that arrive while the disk is busy are written as one batch with
one sync. Replies are built after the whole batch is indexed, so each of two
requests in one batch sees the other's charge.

All syncs run in threads: a host that waited for a slow disk would answer no
heartbeat and count as lost.
"""

import functools
import pathlib
import secrets
from collections.abc import Callable
from typing import Any

import attrs
import gevent
import msgspec
import structlog
from gevent import event, lock, threadpool

from carobfork import clock
from carobfork.storage import (
    crash_files,
    groups,
    record_indexes,
    segment_cleaners,
    segments,
    snapshots,
)

CLOSE_TIMEOUT_MS = 2000
"""How long closing waits for a write. Longer than a slow sync, but a host whose
disk hangs must end too."""
_IDENTITY_FILE = 'identity'
_SNAPSHOTS_FILE = 'notes'
_DISK_ID_BYTES = 8

Records = list[record_indexes.Record]

logger = structlog.get_logger(part='disk')


@attrs.frozen
class Identity:
    """The identity of a disk's contents and their state.

    :param disk: random identifier of the disk's contents.
    :param is_complete: whether the disk holds all records that its group has
        acknowledged.
    :param group: the newest known group.
    :param has_granted: whether its host has granted credits as a member of
        that group.
    """

    disk: str
    is_complete: bool = False
    group: groups.Group = attrs.Factory(groups.Group)
    has_granted: bool = False


@attrs.frozen
class Submission:
    """Records to write, and what to call afterwards.

    :param on_synced: called when the records are synced and indexed.
    :param on_failed: called when the write failed.
    """

    records: Records
    on_synced: Callable[[], Any]
    on_failed: Callable[[], Any]


class Disk:
    """The records, identity and snapshots in one directory.

    :ivar crash_files: stores what is known of requests that crash servers.
    :ivar cleaner: removes the files that are not needed any more.
    :param folder: the directory; it is created if necessary.
    :param timer: the wall clock.
    """

    def __init__(self, folder: pathlib.Path, timer: clock.Clock) -> None:
        """Open the directory and read its contents."""
        self._folder = folder
        self._timer = timer
        self.identity = _load_identity(folder)
        self._files = segments.Segments(folder)
        self.index = record_indexes.RecordIndex(self._files, timer)
        self.snapshots = snapshots.SnapshotCache(_load_snapshots(folder))
        self.cleaner = segment_cleaners.SegmentCleaner(
            self.index, self._files, self.write
        )
        self.crash_files = crash_files.CrashFiles(
            folder, self._replace_file, timer
        )
        self.synced_batches = 0
        self._pending: list[Submission] = []
        self._has_pending = event.Event()
        # One thread each, so that writes are done in the order of the calls.
        self._record_writer = threadpool.ThreadPool(1)
        self._file_writer = threadpool.ThreadPool(1)
        self._identity_lock = lock.RLock()
        logger.info(
            'disk opened',
            disk=self.identity.disk,
            complete=self.identity.is_complete,
            epoch=self.identity.group.epoch,
            **self.index.describe(),
        )

    def save_group(self, group: groups.Group, *, is_member: bool) -> bool:
        """Store a group durably; return whether it is newer than the known one.

        :param group: the group that this host adopts.
        :param is_member: whether this host was a member and remains one.
        """
        with self._identity_lock:
            is_newer = group.epoch > self.identity.group.epoch
            if is_newer:
                has_granted = self.identity.has_granted and is_member
                self._save_identity(
                    attrs.evolve(
                        self.identity, group=group, has_granted=has_granted
                    )
                )
            return is_newer

    def save_completeness(self, is_complete: bool) -> None:
        """Store durably whether the disk holds all acknowledged records."""
        with self._identity_lock:
            if self.identity.is_complete != is_complete:
                logger.info('copy complete' if is_complete else 'copy begun')
                self._save_identity(
                    attrs.evolve(self.identity, is_complete=is_complete)
                )

    def save_first_grant(self) -> None:
        """Store durably that this host grants credits as a member."""
        with self._identity_lock:
            granted = attrs.evolve(self.identity, has_granted=True)
            try:
                self._save_identity(granted)
            except OSError as error:
                logger.error('first grant not stored', reason=str(error))

    def save_snapshots(self) -> None:
        """Store the platform's snapshots for hosts that start later."""
        self._replace_file(_SNAPSHOTS_FILE, self.snapshots.snapshots)

    def submit(self, submission: Submission) -> None:
        """Queue records for writing; without records, reply at once."""
        if submission.records:
            self._pending.append(submission)
            self._has_pending.set()
        else:
            submission.on_synced()

    def write(self, records: Records) -> bool:
        """Write records and return whether they are on the disk."""
        written = event.AsyncResult()
        self.submit(
            Submission(
                records,
                functools.partial(written.set, True),  # noqa: WPS425
                functools.partial(written.set, False),  # noqa: WPS425
            )
        )
        return written.get()

    def read(
        self, entry: record_indexes.KeptRecord | record_indexes.Record
    ) -> bytes:
        """Return the encoded record of an entry of the index's dump."""
        if isinstance(entry, record_indexes.KeptRecord):
            encoded = self._files.read(entry.location)
            return record_indexes.encode_kept(encoded, entry.expires_ms)
        return record_indexes.encode_record(entry)

    def run(self) -> None:
        """Write submissions until the greenlet is killed."""
        while True:
            self._has_pending.wait()
            self._has_pending.clear()
            batch = self._pending
            self._pending = []
            self._commit(batch)

    def close(self) -> None:
        """Close the files once what is being written is on the disk.

        A thread could otherwise write to a descriptor that has been closed
        and belongs to another file.
        """
        writers = (self._record_writer, self._file_writer)
        with gevent.Timeout(clock.to_seconds(CLOSE_TIMEOUT_MS), False):
            for writer in writers:
                writer.join()
            self._files.close()
            for ended in writers:
                ended.kill()

    def _commit(self, batch: list[Submission]) -> None:
        records = [
            record for submission in batch for record in submission.records
        ]
        encoded = [record_indexes.encode_record(record) for record in records]
        try:
            locations = self._record_writer.apply(self._write, (encoded,))
        except OSError as error:
            logger.error('disk failed', reason=str(error), records=len(records))
            for failed in batch:
                failed.on_failed()
            return
        self.synced_batches += 1
        for record, location in zip(records, locations, strict=True):
            self.index.apply(record, location)
        for synced in batch:
            _end_submission(synced)

    def _save_identity(self, identity: Identity) -> None:
        self._replace_file(_IDENTITY_FILE, identity)
        self.identity = identity

    def _replace_file(self, name: str, content: Any) -> None:
        """Replace a small file durably while other greenlets run.

        :param name: the file's name in the directory.
        :param content: what is encoded into it.
        """
        self._file_writer.apply(
            segments.write_file,
            (self._folder / name, msgspec.msgpack.encode(content)),
        )

    def _write(self, encoded: list[bytes]) -> list[segments.RecordLocation]:
        locations = self._files.append(encoded)
        self._files.sync()
        return locations


def _load_snapshots(folder: pathlib.Path) -> dict[str, snapshots.Snapshot]:
    path = folder / _SNAPSHOTS_FILE
    if path.exists():
        return msgspec.msgpack.decode(
            path.read_bytes(), type=dict[str, snapshots.Snapshot]
        )
    return {}


def _load_identity(folder: pathlib.Path) -> Identity:
    """Return the disk's identity; an empty directory gets a new one."""
    path = folder / _IDENTITY_FILE
    if path.exists():
        return msgspec.msgpack.decode(path.read_bytes(), type=Identity)
    folder.mkdir(parents=True, exist_ok=True)
    identity = Identity(secrets.token_hex(_DISK_ID_BYTES))
    segments.write_file(path, msgspec.msgpack.encode(identity))
    return identity


def _end_submission(synced: Submission) -> None:
    """Let a submission that is on the disk reply; others go on if it can't.

    A reply may read other records, which a failing disk refuses.
    """
    try:
        synced.on_synced()
    except Exception:
        logger.exception('no reply after a write')
        synced.on_failed()
