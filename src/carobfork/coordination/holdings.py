"""Holdings: records that hosts hold for each other in a platform outage.

They are a bounded buffer, not a store. The owner commits its records itself
once the platform answers again; if it is dead by then, the host that takes
its programs over collects them from the peers and commits them before the
seal. A host that was asked for them refuses to hold more for that owner
until the owner has committed a later segment, so nothing is acknowledged
that the collector would miss.
"""

import attrs

from carobfork import exceptions
from carobfork.coordination import messages, ports
from carobfork.state import identifiers

MAX_HELD_BYTES = 32_000_000
MAX_PAGE_BYTES = 500_000
MAX_FENCES = 1000
_STEP = 'hold records'


@attrs.frozen
class HeldRecord:
    """An encoded record and its number in its owner's journal."""

    number: int
    encoded: bytes


@messages.register
@attrs.frozen
class HoldRecords:
    """Hold these records for their owner."""

    owner: identifiers.Incarnation
    entries: tuple[HeldRecord, ...]


@messages.register
@attrs.frozen
class RecordsHeld:
    """The records are held."""

    last_record: int


@messages.register
@attrs.frozen
class RecordsCommitted:
    """The owner committed its records up to a number in a segment."""

    owner: identifiers.Incarnation
    last_record: int
    last_segment: int


@messages.register
@attrs.frozen
class CollectRecords:
    """Return the records held for an owner that is about to be sealed.

    :param after_record: return only those with a higher number.
    :param last_segment: the owner's last segment as the asker knows it.
    """

    owner: identifiers.Incarnation
    after_record: int
    last_segment: int


@messages.register
@attrs.frozen
class RecordsCollected:
    """A page of held records, empty after the last one."""

    entries: tuple[HeldRecord, ...]


@messages.register
@attrs.frozen
class OwnerSealed:
    """The owner's records are all committed and its journal is sealed."""

    owner: identifiers.Incarnation


class HeldRecordBuffer:
    """Hold other hosts' records.

    :param link: where peers ask.
    """

    def __init__(self, link: ports.PeerLink) -> None:
        """Start without records."""
        self.held_bytes = 0
        self._held: dict[identifiers.Incarnation, dict[int, bytes]] = {}
        self._fences: dict[identifiers.Incarnation, int] = {}
        link.on(HoldRecords, self.hold)
        link.on(RecordsCommitted, self.release)
        link.on(CollectRecords, self.collect)
        link.on(OwnerSealed, self.forget)

    def counts(self) -> dict[str, int]:
        """Return how many records are held for each owner."""
        return {str(owner): len(held) for owner, held in self._held.items()}

    def hold(self, message: HoldRecords) -> RecordsHeld:
        """Hold records.

        :raises SealedError: the owner is being taken over.
        :raises OverloadedError: too much is held already.
        """
        if message.owner in self._fences:
            raise exceptions.SealedError(
                'the owner is being taken over', step=_STEP
            )
        size = sum(len(entry.encoded) for entry in message.entries)
        if self.held_bytes + size > MAX_HELD_BYTES:
            raise exceptions.OverloadedError(
                'too many records are held', step=_STEP
            )
        held = self._held.setdefault(message.owner, {})
        for entry in message.entries:
            if entry.number not in held:
                held[entry.number] = entry.encoded
                self.held_bytes += len(entry.encoded)
        return RecordsHeld(max(held, default=0))

    def release(self, message: RecordsCommitted) -> None:
        """Drop what the owner committed."""
        fence = self._fences.get(message.owner)
        if fence is not None and message.last_segment > fence:
            self._fences.pop(message.owner)
        held = self._held.get(message.owner, {})
        for number in sorted(held):
            if number <= message.last_record:
                self.held_bytes -= len(held.pop(number))
        if not held:
            self._held.pop(message.owner, None)

    def collect(self, message: CollectRecords) -> RecordsCollected:
        """Return a page of an owner's records and hold no more for it."""
        self._fences[message.owner] = message.last_segment
        while len(self._fences) > MAX_FENCES:
            self._fences.pop(next(iter(self._fences)))
        held = self._held.get(message.owner, {})
        size = 0
        page = []
        for number in sorted(held):
            if number > message.after_record and size < MAX_PAGE_BYTES:
                size += len(held[number])
                page.append(HeldRecord(number, held[number]))
        return RecordsCollected(tuple(page))

    def forget(self, message: OwnerSealed) -> None:
        """Drop a sealed owner's records."""
        held = self._held.pop(message.owner, {})
        self.held_bytes -= sum(len(encoded) for encoded in held.values())
