"""Slot messages: what a program's home and a pool's host tell each other.

All are one-way and may get lost. A holder sums up its open calls at every
tick; where the pool's host sums up otherwise, the holder lists them whole.
"""

import zlib
from collections.abc import Iterable

import attrs

from carobfork.coordination import messages, queue_orders, slot_limiters
from carobfork.state import identifiers

_COUNT_SHIFT = 32


@messages.register
@attrs.frozen
class SlotsAsked:
    """Calls of one holder want slots of a pool."""

    sender: identifiers.Incarnation
    pool: str
    requests: tuple[queue_orders.SlotRequest, ...]


@messages.register
@attrs.frozen
class SlotGranted:
    """A call has a slot on a worker."""

    sender: identifiers.Incarnation
    pool: str
    identifier: str
    worker: str


@messages.register
@attrs.frozen
class SlotRefused:
    """A call gets no slot; it would wait too long."""

    sender: identifiers.Incarnation
    pool: str
    identifier: str
    wait_ms: float


@messages.register
@attrs.frozen
class SlotReleased:
    """A call has ended, whether it had a slot or not."""

    sender: identifiers.Incarnation
    pool: str
    identifier: str
    served: slot_limiters.CallReport | None = None


@messages.register
@attrs.frozen
class SlotsOpen:
    """Sums up the calls that a holder has open at a pool."""

    sender: identifiers.Incarnation
    pool: str
    open_digest: int
    held_digest: int


@messages.register
@attrs.frozen
class SlotsSeen:
    """Answers a summary: whether it matches, and the waits by rank."""

    sender: identifiers.Incarnation
    pool: str
    matches: bool
    waits_ms: tuple[int, ...] = ()


@attrs.frozen
class Holding:
    """A call with its slot."""

    request: queue_orders.SlotRequest
    worker: str


@messages.register
@attrs.frozen
class SlotsListed:
    """All calls that a holder has open at a pool."""

    sender: identifiers.Incarnation
    pool: str
    waiting: tuple[queue_orders.SlotRequest, ...] = ()
    held: tuple[Holding, ...] = ()


def calls_digest(call_ids: Iterable[str]) -> int:
    """Return a number that stands for a set of calls, in any order."""
    combined = 0
    count = 0
    for identifier in call_ids:
        combined ^= zlib.crc32(identifier.encode())
        count += 1
    return count << _COUNT_SHIFT | combined
