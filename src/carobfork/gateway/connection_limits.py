"""Decide which callers' connections are closed when too many are open.

The load: more callers than the process has descriptors connect and never send
a request whole, or don't read its answer. Ordinary callers connect meanwhile
and are served at once.
"""

import contextlib
import socket as sockets
from collections.abc import Iterator

from gevent import socket

from carobfork import clock
from carobfork.memory import accounts

MAX_ACCEPTS = 8
"""Connections accepted before others run. Each holds a descriptor until the one
that gives way to it has been closed."""
_ANY_TIME = float('inf')
_Waiting = dict[socket.socket, float]


class ConnectionLimiter:
    """Open connections of callers, and what they wait for.

    Each group of waiting connections holds the time since when they wait, the
    longest first: for a request, the rest of a head or of a body, or until
    their callers read what is sent to them.

    :param max_connections: how many may be open.
    :param timer: the clock for waits.
    """

    def __init__(self, max_connections: int, timer: clock.Clock) -> None:
        """Create a limiter without connections."""
        self.open = 0
        self.turned_away = 0
        self.idle: _Waiting = {}
        self.in_head: _Waiting = {}
        self.in_body: _Waiting = {}
        self.unread: _Waiting = {}
        self._max_connections = max_connections
        self._timer = timer

    @contextlib.contextmanager
    def admit(self, sock: socket.socket) -> Iterator[bool]:
        """Tell whether a connection has a place, which it has in the block.

        It is closed after the block.
        """
        is_admitted = self._has_place()
        self.open += is_admitted
        try:
            yield is_admitted
        finally:
            self.open -= is_admitted
            sock.close()

    @contextlib.contextmanager
    def wait(self, sock: socket.socket, group: _Waiting) -> Iterator[None]:
        """Let a connection be one of a group in the block."""
        group[sock] = self._timer.now_ms()
        try:
            yield
        finally:
            group.pop(sock, None)

    def _has_place(self) -> bool:
        """Tell whether another connection may be open.

        An idle connection gives way first, then one inside a head, and last
        one whose body takes long or whose answer isn't read; of each group the
        one that waits for the longest time. So a crowd of callers doesn't keep
        others out, whose requests arrive at once.
        """
        if self.open < self._max_connections:
            return True
        if self._close_oldest(self.idle) or self._close_oldest(self.in_head):
            return True
        stalled_ms = self._timer.now_ms() - accounts.STALL_MS
        for group in (self.in_body, self.unread):
            if self._close_oldest(group, stalled_ms):
                return True
        self.turned_away += 1
        return False

    def _close_oldest(
        self, group: _Waiting, until_ms: float = _ANY_TIME
    ) -> bool:
        """Close the connection that waits for the longest time.

        :param until_ms: latest start of its wait.
        """
        sock = next(iter(group), None)
        if sock is None or group[sock] > until_ms:
            return False
        group.pop(sock)
        self.turned_away += 1
        with contextlib.suppress(OSError):
            sock.shutdown(sockets.SHUT_RDWR)
        return True
