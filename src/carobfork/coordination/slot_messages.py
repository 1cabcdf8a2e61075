"""Define the messages by which hosts request and grant slots.

A holder is the host that owns a call's program; the pool's host grants slots
on the pool's workers, its backend servers. All messages are one-way and may
get lost. A holder therefore sends a summary of its open calls at every tick.
If the pool's host computes another summary, the holder sends its full list.
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
    """Requests slots of a pool for calls of one holder.

    :param sender: the holder.
    :param pool: the pool's name.
    :param requests: the calls.
    """

    sender: identifiers.Incarnation
    pool: str
    requests: tuple[queue_orders.SlotRequest, ...]


@messages.register
@attrs.frozen
class SlotGranted:
    """Grants a call a slot on a worker.

    :param sender: the pool's host.
    :param pool: the pool's name.
    :param identifier: the call's identifier.
    :param worker: the worker's name.
    """

    sender: identifiers.Incarnation
    pool: str
    identifier: str
    worker: str


@messages.register
@attrs.frozen
class SlotRefused:
    """Refuses a call that would wait too long for a slot.

    :param sender: the pool's host.
    :param pool: the pool's name.
    :param identifier: the call's identifier.
    :param wait_ms: the expected wait.
    """

    sender: identifiers.Incarnation
    pool: str
    identifier: str
    wait_ms: float


@messages.register
@attrs.frozen
class SlotReleased:
    """Ends a call, whether it had a slot or not.

    :param sender: the holder.
    :param pool: the pool's name.
    :param identifier: the call's identifier.
    :param served: measurements of the call, if a worker ran it.
    """

    sender: identifiers.Incarnation
    pool: str
    identifier: str
    served: slot_limiters.CallReport | None = None


@messages.register
@attrs.frozen
class SlotsOpen:
    """Summary of the calls that a holder has open at a pool.

    :param sender: the holder.
    :param pool: the pool's name.
    :param open_digest: digest of the calls that wait or hold a slot.
    :param held_digest: digest of the calls that hold a slot.
    """

    sender: identifiers.Incarnation
    pool: str
    open_digest: int
    held_digest: int


@messages.register
@attrs.frozen
class SlotsSeen:
    """Answer to a summary.

    :param sender: the pool's host.
    :param pool: the pool's name.
    :param matches: whether the pool's host knows the same calls.
    :param waits_ms: expected waits by rank, most urgent rank first.
    """

    sender: identifiers.Incarnation
    pool: str
    matches: bool
    waits_ms: tuple[int, ...] = ()


@attrs.frozen
class Holding:
    """A call that holds a slot.

    :param request: the call.
    :param worker: the name of the slot's worker.
    """

    request: queue_orders.SlotRequest
    worker: str


@messages.register
@attrs.frozen
class SlotsListed:
    """Full list of the calls that a holder has open at a pool.

    :param sender: the holder.
    :param pool: the pool's name.
    :param waiting: the calls that wait for a slot.
    :param held: the calls that hold a slot.
    """

    sender: identifiers.Incarnation
    pool: str
    waiting: tuple[queue_orders.SlotRequest, ...] = ()
    held: tuple[Holding, ...] = ()


def calls_digest(call_ids: Iterable[str]) -> int:
    """Return a digest of a set of calls that does not depend on their order.

    The lower 32 bits combine the identifiers' checksums, the upper ones hold
    the number of calls.
    """
    combined = 0
    count = 0
    for identifier in call_ids:
        combined ^= zlib.crc32(identifier.encode())
        count += 1
    return count << _COUNT_SHIFT | combined
