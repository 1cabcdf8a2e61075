"""Index the records on one disk.

Turns stay on the disk and are read when a chain is requested. Budget charges
take few bytes and stay in memory.
"""

from collections.abc import Iterator

import attrs
import msgspec

from carobfork import clock
from carobfork.storage import (
    messages,
    segments,
    stored_turns,
    stream_indexes,
)

RETENTION_MARGIN_MS = 20_000
"""Extra time for which records are kept: it covers steps of the wall clock and
requests in flight."""


@attrs.frozen
class Record:
    """A turn or charge as written to a disk.

    :param written_ms: wall-clock time of the host that wrote it.
    :param retain_ms: how long it is kept from then on.
    """

    written_ms: float
    retain_ms: float
    entry: messages.Charge | messages.Turn


@attrs.define
class _ProgramCharges:
    """The charges of a program, by attempt, and when they expire."""

    charges: dict[str, tuple[int, bool]]
    expires_ms: float


class RecordIndex:
    """An index of all turns and charges that a disk holds.

    :ivar turns: the turns, which can be read in parts.
    :ivar streams: the versions that write the streams of charged attempts.
    :param files: the disk's record files.
    :param timer: the wall clock.
    """

    def __init__(self, files: segments.Segments, timer: clock.Clock) -> None:
        """Build the index from the records on the disk."""
        self._files = files
        self._timer = timer
        self.turns = stored_turns.StoredTurns(files)
        self._turns = self.turns.entries
        self._programs: dict[str, _ProgramCharges] = {}
        self.streams = stream_indexes.StreamIndex()
        self._segment_expiry_ms: dict[int, float] = {}
        for location, record in files.replay():
            self.apply(decode_record(record), location)
        self.propagate_retention()

    def apply(self, record: Record, location: segments.RecordLocation) -> None:
        """Add a record that was written at a location."""
        expires_ms = record.written_ms + record.retain_ms + RETENTION_MARGIN_MS
        self._retain_segment(location.segment, expires_ms)
        if isinstance(record.entry, messages.Charge):
            self._apply_charge(record.entry, expires_ms)
        else:
            self._turns[record.entry.attempt] = stored_turns.TurnEntry(
                record.entry.previous,
                location,
                expires_ms,
                len(record.entry.request),
                len(record.entry.events),
            )
            self._extend_chain_retention(record.entry.previous, expires_ms)

    def new_record(
        self, entry: messages.Charge | messages.Turn, retain_ms: float
    ) -> Record:
        """Return a record of an entry with the current time."""
        return Record(self._timer.now_ms(), retain_ms, entry)

    def charges(self, program: str) -> dict[str, tuple[int, bool]]:
        """Return a program's charges by attempt."""
        program_charges = self._programs.get(program)
        return dict(program_charges.charges) if program_charges else {}

    def has_charge(self, charge: messages.Charge) -> bool:
        """Return whether the index already covers a charge and its stream."""
        if not self.streams.covers(charge):
            return False
        known = self.charges(charge.program).get(charge.attempt)
        return known is not None and (known[1] or not charge.is_settled)

    def has_turn(self, attempt: str) -> bool:
        """Return whether a turn is stored here."""
        return attempt in self._turns

    def select_unknown(self, records: list[bytes]) -> list[Record]:
        """Return those of another host's records that are missing here."""
        unknown_records = []
        for record in map(decode_record, records):
            entry = record.entry
            if isinstance(entry, messages.Charge):
                is_known = self.has_charge(entry)
            else:
                is_known = self.has_turn(entry.attempt)
            if not is_known:
                unknown_records.append(record)
        return unknown_records

    def extend_retention(self, attempt: str, retain_ms: float) -> None:
        """Keep a chain for as long as a turn that continues it may run."""
        expires_ms = self._timer.now_ms() + retain_ms + RETENTION_MARGIN_MS
        self._extend_chain_retention(attempt, expires_ms)

    def dump(self) -> Iterator[segments.RecordLocation | Record]:
        """Yield the locations of all turns and records of all charges."""
        now_ms = self._timer.now_ms()
        for turn in list(self._turns.values()):
            yield turn.location
        for name, program in list(self._programs.items()):
            retain_ms = program.expires_ms - RETENTION_MARGIN_MS - now_ms
            for attempt, (tokens, is_settled) in program.charges.items():
                charge = messages.Charge(
                    name,
                    attempt,
                    tokens,
                    is_settled,
                    retain_ms,
                    self.streams.get(attempt),
                )
                yield Record(now_ms, retain_ms, charge)

    def propagate_retention(self) -> None:
        """Keep all turns of a chain at least as long as its last one.

        Copied records arrive in any order, so a turn can arrive before the
        turn that it continues.
        """
        for turn in list(self._turns.values()):
            self._extend_chain_retention(turn.previous, turn.expires_ms)

    def expire(self) -> list[int]:
        """Remove expired entries and return segments no longer needed."""
        now_ms = self._timer.now_ms()
        for attempt, turn in list(self._turns.items()):
            if turn.expires_ms < now_ms:
                self._turns.pop(attempt)
        for name, program in list(self._programs.items()):
            if program.expires_ms < now_ms:
                self._programs.pop(name)
        self.streams.expire(now_ms)
        unneeded = [
            segment
            for segment, until_ms in self._segment_expiry_ms.items()
            if until_ms < now_ms and segment != self._files.current
        ]
        for segment in unneeded:
            self._segment_expiry_ms.pop(segment)
        return unneeded

    def describe(self) -> dict[str, int]:
        """Return the number of turns and programs in the index."""
        return {'turns': len(self._turns), 'programs': len(self._programs)}

    def _apply_charge(self, charge: messages.Charge, expires_ms: float) -> None:
        self.streams.apply(charge, expires_ms)
        program = self._programs.setdefault(
            charge.program, _ProgramCharges({}, expires_ms)
        )
        program.expires_ms = max(program.expires_ms, expires_ms)
        known = program.charges.get(charge.attempt)
        if known is None or not known[1]:
            program.charges[charge.attempt] = (
                charge.tokens,
                charge.is_settled,
            )

    def _extend_chain_retention(self, attempt: str, expires_ms: float) -> None:
        name = attempt
        while name:
            entry = self._turns.get(name)
            if entry is None or entry.expires_ms >= expires_ms:
                return
            entry.expires_ms = expires_ms
            self._retain_segment(entry.location.segment, expires_ms)
            name = entry.previous

    def _retain_segment(self, segment: int, expires_ms: float) -> None:
        known_ms = self._segment_expiry_ms.get(segment, 0)
        self._segment_expiry_ms[segment] = max(known_ms, expires_ms)


def encode_record(record: Record) -> bytes:
    """Encode a record."""
    kind = type(record.entry).__name__
    return msgspec.msgpack.encode(
        (record.written_ms, record.retain_ms, kind, record.entry)
    )


def decode_record(encoded: bytes) -> Record:
    """Decode a record."""
    written_ms, retain_ms, kind, fields = msgspec.msgpack.decode(encoded)
    entry = msgspec.convert(fields, messages.MESSAGE_TYPES[kind])
    return Record(written_ms, retain_ms, entry)
