"""Index the records on one disk.

Turns stay on the disk and are read when a chain is requested. Budget charges
take few bytes and stay in memory.
"""

from collections.abc import Iterator

import attrs
import msgspec

from carobfork import clock
from carobfork.storage import (
    change_logs,
    charge_indexes,
    messages,
    segment_retentions,
    segments,
    stored_turns,
    stream_logs,
)

RETENTION_MARGIN_MS = 20_000
"""Extra time for which records are kept: it covers steps of the wall clock and
requests in flight."""
_RAW_RECORD = tuple[float, float, str, msgspec.Raw]


@attrs.frozen
class Record:
    """A turn or charge as written to a disk.

    :param written_ms: wall-clock time of the host that wrote it.
    :param retain_ms: how long it is kept from then on.
    """

    written_ms: float
    retain_ms: float
    entry: messages.Charge | messages.Turn


@attrs.frozen
class KeptRecord:
    """A record on the disk that is kept longer than it tells.

    :param expires_ms: the wall-clock time at which it expires.
    """

    location: segments.RecordLocation
    expires_ms: float


class RecordIndex:
    """An index of all turns and charges that a disk holds.

    :ivar turns: the turns, which can be read in parts.
    :ivar charge_index: the charges of programs.
    :ivar segment_retention: how long the files are needed.
    :ivar streams: the versions that write the streams of charged attempts.
    :ivar parts: the parts of streams that may be taken up.
    :ivar changes: the attempts with records, in the order of their changes.
    :param files: the disk's record files.
    :param timer: the wall clock.
    """

    def __init__(self, files: segments.Segments, timer: clock.Clock) -> None:
        """Build the index from the records on the disk."""
        self._files = files
        self._timer = timer
        self.turns = stored_turns.StoredTurns(files)
        self._turns = self.turns.entries
        self.charge_index = charge_indexes.ChargeIndex()
        self.streams = self.charge_index.streams
        self.parts = stream_logs.StreamLogs(files)
        self.changes = change_logs.ChangeLog(clock.BootClock())
        self.segment_retention = segment_retentions.SegmentRetention()
        self._missing_expiry_ms: dict[str, float] = {}
        for location, record in files.replay():
            self.apply(decode_record(record), location)

    def apply(self, record: Record, location: segments.RecordLocation) -> None:
        """Add a record that was written at a location.

        Records may arrive in any order, as those that are copied do.
        """
        expires_ms = record.written_ms + record.retain_ms + RETENTION_MARGIN_MS
        if isinstance(record.entry, messages.Turn):
            self._apply_turn(record.entry, location, expires_ms)
            self.changes.record(record.entry.attempt)
        elif record.entry.part is None:
            self.segment_retention.retain(location.segment, expires_ms)
            self.charge_index.apply(record.entry, location.segment, expires_ms)
            self._extend_chain_retention(record.entry.previous, expires_ms)
            self.changes.record(record.entry.attempt, record.entry.program)
        else:
            self.segment_retention.retain(location.segment, expires_ms)
            self.parts.apply(record.entry.part, location, expires_ms)

    def new_record(
        self, entry: messages.Charge | messages.Turn, retain_ms: float
    ) -> Record:
        """Return a record of an entry with the current time."""
        return Record(self._timer.now_ms(), retain_ms, entry)

    def charges(self, program: str) -> dict[str, tuple[int, bool]]:
        """Return a program's charges by attempt."""
        return dict(self.charge_index.get(program))

    def has_charge(self, charge: messages.Charge) -> bool:
        """Return whether the index already covers a charge and its stream."""
        return self.charge_index.covers(charge)

    def has_turn(self, attempt: str) -> bool:
        """Return whether a turn is stored here."""
        return attempt in self._turns

    def select_unknown(self, records: list[bytes]) -> list[Record]:
        """Return those of another host's records that are missing here."""
        unknown_records = []
        for record in map(decode_record, records):
            entry = record.entry
            if isinstance(entry, messages.Turn):
                is_known = self.has_turn(entry.attempt)
            elif entry.part is None:
                is_known = self.has_charge(entry)
            else:
                is_known = self.parts.covers(entry.part)
            if not is_known:
                unknown_records.append(record)
        return unknown_records

    def extend_retention(self, attempt: str, retain_ms: float) -> None:
        """Keep a chain for as long as a turn that continues it may run."""
        expires_ms = self._timer.now_ms() + retain_ms + RETENTION_MARGIN_MS
        self._extend_chain_retention(attempt, expires_ms)

    def form(self, attempt: str) -> int:
        """Return which records of an attempt are held here."""
        program = self.changes.program(attempt)
        return change_logs.make_form(
            self.has_turn(attempt),
            self.charge_index.get(program).get(attempt),
            self.streams.number(attempt),
        )

    def find_records(self, attempt: str) -> Iterator[KeptRecord | Record]:
        """Yield the turn and the charge of an attempt that are held here."""
        turn = self._turns.get(attempt)
        if turn is not None:
            yield KeptRecord(turn.location, turn.expires_ms)
        now_ms = self._timer.now_ms()
        charge = self.charge_index.find(
            self.changes.program(attempt), attempt, now_ms + RETENTION_MARGIN_MS
        )
        if charge is not None:
            yield Record(now_ms, charge.retain_ms, charge)

    def dump(self) -> Iterator[KeptRecord | Record]:
        """Yield all turns, charges and parts of streams."""
        for attempt in self.changes.attempts():
            yield from self.find_records(attempt)
        for location, expires_ms in self.parts.dump():
            yield KeptRecord(location, expires_ms)

    def live_charges(self, segment: int) -> list[Record]:
        """Return the charges that are kept longer than those of a segment.

        They are to be written to another one before it is removed.
        """
        now_ms = self._timer.now_ms()
        charges = self.charge_index.find_in_segment(
            segment, now_ms + RETENTION_MARGIN_MS
        )
        return [Record(now_ms, charge.retain_ms, charge) for charge in charges]

    def expire(self, until_ms: float | None = None) -> list[int]:
        """Remove expired entries and return segments no longer needed.

        Of these, charges of programs that go on may still have to be moved.

        :param until_ms: the wall-clock time until which this host knows all
            records of its group, by default now. What expires later may have
            been extended by a record that this host has missed.
        """
        if until_ms is None:
            until_ms = self._timer.now_ms()
        self.parts.expire(until_ms)
        expired = self.charge_index.expire(until_ms)
        for attempt, turn in list(self._turns.items()):
            if turn.expires_ms < until_ms:
                self._turns.pop(attempt)
                expired.append(attempt)
        for name in expired:
            if not self.form(name):
                self.changes.remove(name)
        for missing, expires_ms in list(self._missing_expiry_ms.items()):
            if expires_ms < until_ms:
                self._missing_expiry_ms.pop(missing)
        unneeded = self.segment_retention.find_expired(until_ms)
        return [name for name in unneeded if name != self._files.current]

    def describe(self) -> dict[str, int]:
        """Return the number of turns and programs in the index."""
        return {
            'turns': len(self._turns),
            'programs': self.charge_index.program_count,
        }

    def _apply_turn(
        self,
        turn: messages.Turn,
        location: segments.RecordLocation,
        expires_ms: float,
    ) -> None:
        needed_ms = self._missing_expiry_ms.pop(turn.attempt, 0)
        known = self._turns.get(turn.attempt)
        if known is not None:
            needed_ms = max(needed_ms, known.expires_ms)
        expires_ms = max(expires_ms, needed_ms)
        self.segment_retention.retain(location.segment, expires_ms)
        self._turns[turn.attempt] = stored_turns.TurnEntry(
            turn.previous,
            location,
            expires_ms,
            len(turn.request),
            len(turn.events),
        )
        self._extend_chain_retention(turn.previous, expires_ms)

    def _extend_chain_retention(self, attempt: str, expires_ms: float) -> None:
        """Keep a turn and those before it until a time.

        A turn that is missing here is kept so long once it has been copied.
        """
        name = attempt
        while name:
            entry = self._turns.get(name)
            if entry is None:
                known_ms = self._missing_expiry_ms.get(name, 0)
                self._missing_expiry_ms[name] = max(known_ms, expires_ms)
                return
            if entry.expires_ms >= expires_ms:
                return
            entry.expires_ms = expires_ms
            self.segment_retention.retain(entry.location.segment, expires_ms)
            name = entry.previous


def encode_record(record: Record) -> bytes:
    """Encode a record."""
    kind = type(record.entry).__name__
    return msgspec.msgpack.encode(
        (record.written_ms, record.retain_ms, kind, record.entry)
    )


def encode_kept(encoded: bytes, expires_ms: float) -> bytes:
    """Return an encoded record of the same entry that expires at a time.

    :param expires_ms: the wall-clock time.
    """
    written_ms, _retain_ms, kind, entry = msgspec.msgpack.decode(
        encoded, type=_RAW_RECORD
    )
    retain_ms = expires_ms - RETENTION_MARGIN_MS - written_ms
    return msgspec.msgpack.encode((written_ms, retain_ms, kind, entry))


def decode_record(encoded: bytes) -> Record:
    """Decode a record."""
    written_ms, retain_ms, kind, fields = msgspec.msgpack.decode(encoded)
    entry = msgspec.convert(fields, messages.MESSAGE_TYPES[kind])
    return Record(written_ms, retain_ms, entry)
