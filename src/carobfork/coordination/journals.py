"""Append records to a journal in group commits.

An incarnation appends segments ``journal/<incarnation>/<n>`` by conditional
create. The host that takes its programs over creates the next segment as a
seal, after which all appends of the former owner fail. This fencing relies on
the segment numbers and not on clocks.
"""

import itertools
from collections.abc import Callable

import attrs
import gevent
import structlog
from gevent import event

from carobfork import clock, exceptions
from carobfork.coordination import appenders, ports, segments
from carobfork.state import identifiers, records

MAX_SEGMENT_BYTES = 700_000
MAX_PENDING_BYTES = 16_000_000
COMMIT_INTERVAL_MS = 50
_STEP = 'append'
_PEER = 'platform'

logger = structlog.get_logger(part='journals')


@attrs.define(eq=False)
class Entry:
    """A record that is being appended to the journal.

    ``committed`` is set once the platform holds it, ``durable`` once the
    platform or two peers do. ``sent_to_peers`` tells whether peers may hold
    it, and ``applied`` whether its change was made to the programs.
    """

    number: int
    record: records.Record
    encoded: bytes
    committed: event.AsyncResult = attrs.Factory(event.AsyncResult)
    durable: event.AsyncResult = attrs.Factory(event.AsyncResult)
    sent_to_peers: bool = False
    applied: bool = False

    def mark_durable(self, apply: Callable[[records.Record], None]) -> None:
        """Mark the record as durable, apply it once and wake waiters."""
        if not self.applied:
            self.applied = True
            apply(self.record)
            self.durable.set()

    def mark_committed(self, apply: Callable[[records.Record], None]) -> None:
        """Mark the record as committed to a journal and wake waiters."""
        self.mark_durable(apply)
        self.committed.set()

    def fail(self, error: Exception) -> None:
        """Raise an error in all waiters, as the record was not committed."""
        self.committed.set_exception(error)
        if not self.applied:
            self.durable.set_exception(error)


class Journal:
    """Appends the records of one incarnation in group commits.

    :param store: the platform's object API.
    :param codec: encodes records.
    :param incarnation: the owner of the journal.
    :param apply: called with each record once it is durable, in order.
    """

    def __init__(
        self,
        store: ports.ObjectStore,
        codec: ports.RecordCodec,
        incarnation: identifiers.Incarnation,
        apply: Callable[[records.Record], None],
    ) -> None:
        """Initialize an empty journal; ``run`` commits to it."""
        self.incarnation = incarnation
        self.sealed = False
        self.records_committed = 0
        self.last_record = 0
        """The number of the last committed record."""
        self.segments = appenders.SegmentAppender(store, incarnation)
        self._codec = codec
        self.apply = apply
        self._numbers = itertools.count(1)
        self._in_flight: list[Entry] = []
        self._pending: list[Entry] = []
        self._pending_bytes = 0
        self._wakeup = event.Event()
        self.diversion: Callable[[Entry], None] | None = None
        """Receives new entries instead of this journal, if set."""

    @property
    def stalled(self) -> bool:
        """Whether the last commit attempt failed without an answer."""
        return self.segments.stalled

    @property
    def pending_bytes(self) -> int:
        """Encoded size in bytes of the records that wait for a commit."""
        return self._pending_bytes

    def append(self, record: records.Record, timeout_ms: int | None) -> None:
        """Append a record and wait until it is committed.

        :param timeout_ms: how long to wait; ``None`` waits without limit.
        :raises SealedError: if another host owns these programs now.
        :raises PlatformError: if the record was not committed in time; it
            may still be committed later.
        """
        wait_for(self.enqueue(record).committed, timeout_ms)

    def append_durable(
        self, record: records.Record, timeout_ms: int | None
    ) -> None:
        """Append a record and wait until the platform or two peers hold it.

        Parameters and errors are the same as for ``append``.
        """
        wait_for(self.enqueue(record).durable, timeout_ms)

    def enqueue(self, record: records.Record) -> Entry:
        """Append a record without waiting for its commit.

        :raises SealedError: if another host owns these programs now.
        :raises PlatformError: if too many bytes already wait for a commit.
        """
        if self.diversion is not None:
            encoded = self._codec.encode(record)
            entry = Entry(next(self._numbers), record, encoded)
            self.diversion(entry)
            return entry
        if self.sealed:
            raise appenders.sealed_error(self.incarnation)
        if self._pending_bytes > MAX_PENDING_BYTES:
            raise exceptions.PlatformError(
                f'{self._pending_bytes} bytes of records wait for a commit',
                step=_STEP,
                peer=_PEER,
            )
        encoded = self._codec.encode(record)
        entry = Entry(next(self._numbers), record, encoded)
        self._pending.append(entry)
        self._pending_bytes += len(encoded)
        self._wakeup.set()
        return entry

    def end_diversion(self, entries: list[Entry]) -> None:
        """Resume local commits, starting with the diverted entries."""
        self.diversion = None
        self._pending.extend(entries)
        self._pending_bytes += sum(len(entry.encoded) for entry in entries)
        self._wakeup.set()

    def withdraw(self, entry: Entry) -> bool:
        """Remove a pending entry and return whether no host holds it."""
        if entry.sent_to_peers or entry not in self._pending:
            return False
        self._pending.remove(entry)
        self._pending_bytes -= len(entry.encoded)
        return True

    def uncommitted(self) -> list[Entry]:
        """Return the entries that are not committed, oldest first."""
        return [*self._in_flight, *self._pending]

    def mark_durable(self, entries: list[Entry]) -> None:
        """Apply entries that peers hold and wake their waiters."""
        if self.sealed:
            return
        for entry in entries:
            entry.mark_durable(self.apply)

    def seal(self) -> None:
        """Reject all further records: another host owns the programs."""
        if self.sealed:
            return
        logger.warning('The journal is sealed.', peer=str(self.incarnation))
        self.sealed = True
        self.segments.close()
        self._wakeup.set()
        error = appenders.sealed_error(self.incarnation)
        for entry in self.uncommitted():
            entry.fail(error)
        self._pending.clear()
        self._pending_bytes = 0

    def run(self) -> None:
        """Commit pending records until the journal is sealed."""
        while not self.sealed:
            self._wakeup.wait()
            self.flush()
            gevent.sleep(clock.to_seconds(COMMIT_INTERVAL_MS))

    def flush(self) -> None:
        """Commit the pending records, up to the size of one segment."""
        self._in_flight = self._take_batch()
        if not self._in_flight:
            return
        try:
            self.segments.append(self._packed(self._in_flight))
        except exceptions.SealedError:
            self.seal()
        else:
            self._mark_batch_committed()
        finally:
            self._in_flight = []

    def _take_batch(self) -> list[Entry]:
        size = 0
        count = 0
        for entry in self._pending:
            size += len(entry.encoded)
            if count and size > MAX_SEGMENT_BYTES:
                break
            count += 1
        batch = self._pending[:count]
        self._pending = self._pending[count:]
        self._pending_bytes -= sum(len(entry.encoded) for entry in batch)
        if not self._pending:
            self._wakeup.clear()
        return batch

    def _packed(self, batch: list[Entry]) -> bytes:
        return segments.pack(
            self._codec,
            batch[-1].number,
            [entry.encoded for entry in batch],
        )

    def _mark_batch_committed(self) -> None:
        if self.sealed:
            return
        self.records_committed += len(self._in_flight)
        self.last_record = self._in_flight[-1].number
        for entry in self._in_flight:
            entry.mark_committed(self.apply)


def wait_for(settled: event.AsyncResult, timeout_ms: int | None) -> None:
    """Wait until an entry is committed or durable.

    :param settled: the ``committed`` or ``durable`` result of the entry.
    :param timeout_ms: how long to wait; ``None`` waits without limit.
    :raises SealedError: if another host owns these programs now.
    :raises PlatformError: if the entry was not committed or durable in time;
        it may still be committed later.
    """
    seconds = None if timeout_ms is None else clock.to_seconds(timeout_ms)
    try:
        settled.get(timeout=seconds)
    except gevent.Timeout:
        limit = 'in time' if timeout_ms is None else f'within {timeout_ms} ms'
        raise exceptions.PlatformError(
            f'the record was not committed {limit}',
            step=_STEP,
            peer=_PEER,
        ) from None
