"""Bound the memory that messages between hosts fill at a store host.

The load: many entry hosts store turns with large requests at once, or peers
send messages that stop short of their end. Each message has a legal length, all
of them together exceed the memory of the host.
"""

import contextlib
import socket as sockets

import gevent
from gevent import socket

from carobfork import clock
from carobfork.memory import accounts, allocators

BUFFER_BYTES = 65_536
"""Receive buffer of a link. The system would let it grow to several MB, which a
peer fills while its message waits."""
MAX_WAIT_MS = 5000
"""How long a message waits for room: the disk writes many in this time. Nothing
else of its link is read meanwhile, so a peer may close it before."""
COPIES = 2
"""A message is held as it was received and as it is written to the disk."""
_RETRY_INTERVAL_MS = 10


class FrameRoom:
    """Room for messages of other hosts until they are answered.

    While a message waits for room, nothing more is read from its link.

    :param capacity_bytes: the room for all of them.
    :param timer: the clock for their progress.
    """

    def __init__(
        self, capacity_bytes: float, timer: clock.Clock | None = None
    ) -> None:
        """Create a room that is empty."""
        self._is_bounded = capacity_bytes < float('inf')
        self._timer = timer or clock.SystemClock()
        self._account = accounts.Account(capacity_bytes, self._timer)
        self._socks: dict[accounts.Holding, socket.socket] = {}

    @property
    def reserved_bytes(self) -> int:
        """Room that is reserved for all messages."""
        return self._account.reserved_bytes

    def bound_listener(self, listener: socket.socket) -> None:
        """Bound what links to come hold unread, where the system allows it."""
        if self._is_bounded:
            with contextlib.suppress(OSError):
                listener.setsockopt(
                    sockets.SOL_SOCKET, sockets.SO_RCVBUF, BUFFER_BYTES
                )

    def open(self, sock: socket.socket) -> accounts.Holding:
        """Return what is held for the next message of a link.

        :param sock: closed if the message must give way to others.
        """
        holding = self._account.open()
        self._socks[holding] = sock
        return holding

    def reserve(self, holding: accounts.Holding, total_bytes: int) -> None:
        """Reserve room for a message, and wait for it if there is none.

        Small ones need none, but wait behind those of their own link.

        :raises TimeoutError: if there is no room in time.
        """
        if total_bytes <= accounts.SMALL_BYTES:
            return
        if self._is_bounded and total_bytes > allocators.MAPPED_BYTES:
            allocators.map_large_blocks()
        # One that is longer than the room waits until it has all of it.
        wanted_bytes = min(COPIES * total_bytes, self._account.longest_bytes)
        until_ms = self._timer.now_ms() + MAX_WAIT_MS
        while not self._account.try_reserve(holding, wanted_bytes):
            if self._timer.now_ms() > until_ms:
                raise TimeoutError(f'no room for {total_bytes} bytes')
            asleep_ms = self._timer.now_ms()
            gevent.sleep(clock.to_seconds(_RETRY_INTERVAL_MS))
            slept_ms = self._timer.now_ms() - asleep_ms
            if accounts.is_own_pause(slept_ms, _RETRY_INTERVAL_MS):
                until_ms += slept_ms
            else:
                self._withdraw_stalled(holding)

    def record_received(
        self, holding: accounts.Holding, received_bytes: int
    ) -> None:
        """Record how many bytes of a message have arrived."""
        self._account.record_received(holding, received_bytes)

    def release(self, holding: accounts.Holding) -> None:
        """Release what is held for a message."""
        self._socks.pop(holding, None)
        self._account.release(holding)

    def _withdraw_stalled(self, needy: accounts.Holding) -> None:
        stalled = self._account.withdraw(needy)
        if stalled is not None:
            with contextlib.suppress(OSError):
                self._socks[stalled].shutdown(sockets.SHUT_RDWR)
