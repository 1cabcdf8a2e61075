"""Buffer the records of peers during a platform outage.

The buffer is bounded and does not replace the journal. The owner commits its
records itself once the platform answers again. If it is dead by then, the
host that takes its programs over collects the records from the peers and
commits them before the seal. After a collection, a peer refuses to hold more
records for that owner until the owner has committed a later segment.
Otherwise a record could be acknowledged that the collector has missed.
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
    """An encoded record and its number in the journal of its owner."""

    number: int
    encoded: bytes


@messages.register
@attrs.frozen
class HoldRecords:
    """Requests that a peer holds records for their owner."""

    owner: identifiers.Incarnation
    entries: tuple[HeldRecord, ...]


@messages.register
@attrs.frozen
class RecordsHeld:
    """Confirms that records are held, up to ``last_record``."""

    last_record: int


@messages.register
@attrs.frozen
class RecordsCommitted:
    """Reports up to which record and segment the owner has committed."""

    owner: identifiers.Incarnation
    last_record: int
    last_segment: int


@messages.register
@attrs.frozen
class CollectRecords:
    """Requests the records held for an owner that is about to be sealed.

    :param after_record: return only records with a higher number.
    :param last_segment: the last segment of the owner known to the sender.
    """

    owner: identifiers.Incarnation
    after_record: int
    last_segment: int


@messages.register
@attrs.frozen
class RecordsCollected:
    """Carries a page of held records, empty after the last one."""

    entries: tuple[HeldRecord, ...]


@messages.register
@attrs.frozen
class OwnerSealed:
    """Reports that an owner's journal is sealed with all records committed."""

    owner: identifiers.Incarnation


class HeldRecordBuffer:
    """Holds records of other hosts within a size limit.

    :param link: receives the messages of peers.
    """

    def __init__(self, link: ports.PeerLink) -> None:
        """Initialize an empty buffer and register its handlers."""
        self.held_bytes = 0
        self._held: dict[identifiers.Incarnation, dict[int, bytes]] = {}
        self._fences: dict[identifiers.Incarnation, int] = {}
        link.on(HoldRecords, self.hold)
        link.on(RecordsCommitted, self.release)
        link.on(CollectRecords, self.collect)
        link.on(OwnerSealed, self.forget)

    def counts(self) -> dict[str, int]:
        """Return the number of held records of each owner."""
        return {str(owner): len(held) for owner, held in self._held.items()}

    def hold(self, message: HoldRecords) -> RecordsHeld:
        """Add records to the buffer.

        :raises SealedError: if the owner is being taken over.
        :raises OverloadedError: if the buffer is full.
        """
        if message.owner in self._fences:
            raise exceptions.SealedError(
                f'the owner {message.owner} is being taken over', step=_STEP
            )
        size = sum(len(entry.encoded) for entry in message.entries)
        if self.held_bytes + size > MAX_HELD_BYTES:
            raise exceptions.OverloadedError(
                f'the buffer of held records is full: {self.held_bytes} bytes',
                step=_STEP,
            )
        held = self._held.setdefault(message.owner, {})
        for entry in message.entries:
            if entry.number not in held:
                held[entry.number] = entry.encoded
                self.held_bytes += len(entry.encoded)
        return RecordsHeld(max(held, default=0))

    def release(self, message: RecordsCommitted) -> None:
        """Drop the records that their owner has committed."""
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
        """Return a page of an owner's records and refuse further ones."""
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
        """Drop the records of a sealed owner."""
        held = self._held.pop(message.owner, {})
        self.held_bytes -= sum(len(encoded) for encoded in held.values())
