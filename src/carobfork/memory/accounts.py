"""Decide which bytes of its peers a host takes into its memory.

The load: many callers send large bodies of legal size at once, most of them
stop just short of the end and stay open. Each body is legal, all of them
together exceed the memory of the host. A part of the room is reserved for
small messages, so that ordinary callers go on.
"""

import attrs

from carobfork import clock

SMALL_BYTES = 16_384
"""Longest message that may use the reserved part of the room."""
RESERVE_RATIO = 0.25
"""Part of the room that only small messages use."""
STALL_MS = 1000
"""How long a peer may pause before its bytes may give way to others: a lost
packet is sent again within this time."""
PROGRESS_BYTES = 16_384
"""Least number of bytes that count as progress, unless they are the last: a
peer that sends single bytes stands still."""
PROCESS_BYTES = 67_108_864
"""What a process needs by itself, for its code, tables and connections."""
MIN_ROOM_BYTES = 16_777_216
"""Least room of a host, enough for a few of the longest bodies."""
MAX_OVERSLEPT_RATIO = 3
"""How many times as long as asked a sleep may take."""
BODY_RATIO = 0.5
"""Part of a host's room for the bodies of callers."""
ANSWER_RATIO = 0.25
"""Part of a host's room for answers and events of backend servers."""
BUFFER_RATIO = 0.125
"""Part of a host's room for received bytes of callers that wait for room."""
HISTORY_RATIO = 0.0625
"""Part of a host's room for pages of histories on their way to servers."""
_MB = 1_048_576


@attrs.frozen
class RoomSizes:
    """Sizes of the parts of a host's memory that peers may fill.

    :param body_bytes: for the bodies of callers.
    :param answer_bytes: for answers and events of backend servers.
    :param buffer_bytes: for received bytes of callers that wait for room.
    :param history_bytes: for pages of histories on their way to servers.
    """

    body_bytes: float = float('inf')
    answer_bytes: float = float('inf')
    buffer_bytes: float = float('inf')
    history_bytes: float = float('inf')

    @property
    def is_bounded(self) -> bool:
        """Whether the host has a memory limit."""
        return self.body_bytes < float('inf')


def divide_memory(memory_mb: int) -> RoomSizes:
    """Return the sizes that follow from the memory limit of a process.

    :param memory_mb: the limit; 0 if there is none.
    """
    if not memory_mb:
        return RoomSizes()
    room_bytes = max(memory_mb * _MB - PROCESS_BYTES, MIN_ROOM_BYTES)
    return RoomSizes(
        room_bytes * BODY_RATIO,
        room_bytes * ANSWER_RATIO,
        room_bytes * BUFFER_RATIO,
        room_bytes * HISTORY_RATIO,
    )


def is_own_pause(slept_ms: float, asked_ms: float) -> bool:
    """Return whether a sleep took so long that this process stood still.

    Its peers' bytes have arrived then but are not read yet, so none of them
    counts as stalled.
    """
    return slept_ms > asked_ms * MAX_OVERSLEPT_RATIO


@attrs.define(eq=False)
class Holding:
    """What is reserved for one message of a peer.

    :param progress_ms: when the peer last made progress.
    :param reserved_bytes: room that the message may fill.
    :param received_bytes: bytes received at the last progress.
    :param is_arriving: whether the message has not arrived whole.
    :param is_withdrawn: whether it must give way to others.
    """

    progress_ms: float
    reserved_bytes: int = 0
    received_bytes: int = 0
    is_arriving: bool = True
    is_withdrawn: bool = False


class Account:
    """Account of the bytes reserved for the messages of peers.

    :ivar longest_bytes: the room for all but small messages.
    :param capacity_bytes: the room for all of them.
    :param timer: the clock for their progress.
    """

    def __init__(self, capacity_bytes: float, timer: clock.Clock) -> None:
        """Create an account without holdings."""
        self.reserved_bytes = 0
        self.longest_bytes = capacity_bytes * (1 - RESERVE_RATIO)
        self._capacity_bytes = capacity_bytes
        self._timer = timer
        self._holdings: set[Holding] = set()

    def open(self) -> Holding:
        """Return a new holding that reserves nothing."""
        return Holding(self._timer.now_ms())

    def try_reserve(self, holding: Holding, total_bytes: int) -> bool:
        """Reserve room for a message and return whether there is enough.

        :param total_bytes: the room for the whole message; a holding never
            becomes smaller.
        """
        added_bytes = total_bytes - holding.reserved_bytes
        if added_bytes <= 0:
            return True
        is_small = total_bytes <= SMALL_BYTES
        limit_bytes = self._capacity_bytes if is_small else self.longest_bytes
        if self.reserved_bytes + added_bytes > limit_bytes:
            return False
        # Until now, the peer may have waited for this host.
        holding.progress_ms = self._timer.now_ms()
        self._holdings.add(holding)
        holding.reserved_bytes = total_bytes
        self.reserved_bytes += added_bytes
        return True

    def record_received(self, holding: Holding, received_bytes: int) -> None:
        """Record how many bytes of a message have arrived."""
        if received_bytes - holding.received_bytes >= PROGRESS_BYTES:
            holding.received_bytes = received_bytes
            holding.progress_ms = self._timer.now_ms()

    def withdraw(self, needy: Holding) -> Holding | None:
        """Choose the holding that gives way to another one.

        It is the one whose peer has stood still for the longest time, and for
        longer than a sound peer does. It must be released by its owner.

        :param needy: the one that room is needed for.
        """
        until_ms = self._timer.now_ms() - STALL_MS
        stalled = [
            holding
            for holding in self._holdings
            if holding.is_arriving
            and not holding.is_withdrawn
            and holding is not needy
            and holding.progress_ms < until_ms
        ]
        if not stalled:
            return None
        chosen = min(stalled, key=lambda holding: holding.progress_ms)
        chosen.is_withdrawn = True
        return chosen

    def release(self, holding: Holding) -> None:
        """Release all that is reserved for a message."""
        self._holdings.discard(holding)
        self.reserved_bytes -= holding.reserved_bytes
        holding.reserved_bytes = 0
