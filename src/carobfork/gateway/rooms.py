"""Let messages of peers wait for room in the memory of the host.

While a message waits, nothing more of it is read, so that its peer can't send
more than the buffers of the connection take.
"""

import contextlib
import socket as sockets
from collections.abc import Callable, Iterator

import gevent
import structlog
from gevent import socket

from carobfork import clock, exceptions
from carobfork.memory import accounts, allocators

MAX_BUFFER_BYTES = 65_536
"""Longest buffers of a connection, for each direction: what has arrived or
isn't sent counts towards the memory limit, and this is enough for a few ms of a
fast link."""
MIN_BUFFER_BYTES = 16_384
"""Shortest buffers, which take an ordinary request."""
WAITING_BYTES = 262_144
"""What a message that waits may fill: what was read with its head, and the
buffer of its connection, which the system doubles."""
MAX_WAIT_MS = 1000
"""How long a message waits for room by default: others that stand still for as
long give way meanwhile."""
RETRY_AFTER_MS = 1000
"""Retry delay for callers whose messages find no room: bodies arrive or are
given up meanwhile."""
_RETRY_INTERVAL_MS = 50

logger = structlog.get_logger(part='room')


class NoRoomError(exceptions.NotRunError):
    """The host has no room for a message in its memory."""

    code = 'no_room'


class Room:
    """Room for messages of one kind of peers.

    :param capacity_bytes: the room for all of them.
    :param waiting_bytes: the room for what has arrived of those that wait.
    :param timer: the clock for waits.
    :param max_wait_ms: how long a message waits for room.
    """

    def __init__(
        self,
        capacity_bytes: float,
        waiting_bytes: float,
        timer: clock.Clock,
        max_wait_ms: float = MAX_WAIT_MS,
    ) -> None:
        """Create a room that is empty."""
        self.account = accounts.Account(capacity_bytes, timer)
        self.waiting = 0
        self.refused = 0
        self.withdrawn = 0
        self._is_bounded = capacity_bytes < float('inf')
        self._max_waiting = waiting_bytes / WAITING_BYTES
        self._max_wait_ms = max_wait_ms
        self._timer = timer
        self._socks: dict[accounts.Holding, socket.socket] = {}

    @property
    def reserved_bytes(self) -> int:
        """Room that is reserved for all messages."""
        return self.account.reserved_bytes

    @contextlib.contextmanager
    def hold(
        self,
        sock: socket.socket | None = None,
        on_wait: Callable[[], None] | None = None,
    ) -> Iterator['MessageRoom']:
        """Hold what is reserved for a message in the block.

        :param sock: the connection that is closed for reading if the message
            must give way to others; by default it never has to.
        :param on_wait: called before the message waits for room.
        """
        holding = self.account.open()
        if sock is None:
            holding.is_arriving = False
        else:
            self._socks[holding] = sock
        try:
            yield MessageRoom(self, holding, on_wait)
        finally:
            self._socks.pop(holding, None)
            self.account.release(holding)

    def reserve(
        self,
        holding: accounts.Holding,
        total_bytes: int,
        on_wait: Callable[[], None] | None = None,
    ) -> None:
        """Reserve room for a message, and wait for it if there is none.

        :param on_wait: called before it waits.
        :raises NoRoomError: if there is no room in time.
        """
        if self._is_bounded and total_bytes > allocators.MAPPED_BYTES:
            allocators.map_large_blocks()
        if self.account.try_reserve(holding, total_bytes):
            return
        if on_wait is not None:
            on_wait()
        if self.waiting >= self._max_waiting:
            self._refuse(holding, total_bytes)
        self.waiting += 1
        try:
            self._wait(holding, total_bytes)
        finally:
            self.waiting -= 1

    def _wait(self, holding: accounts.Holding, total_bytes: int) -> None:
        until_ms = self._timer.now_ms() + self._max_wait_ms
        while self._timer.now_ms() < until_ms:
            self._withdraw_stalled(holding)
            gevent.sleep(clock.to_seconds(_RETRY_INTERVAL_MS))
            if holding.is_withdrawn:
                return
            if self.account.try_reserve(holding, total_bytes):
                return
        self._refuse(holding, total_bytes)

    def _withdraw_stalled(self, needy: accounts.Holding) -> None:
        stalled = self.account.withdraw(needy)
        if stalled is not None:
            self.withdrawn += 1
            logger.info(
                'message gave way to others',
                reserved_bytes=stalled.reserved_bytes,
                received_bytes=stalled.received_bytes,
            )
            with contextlib.suppress(OSError):
                self._socks[stalled].shutdown(sockets.SHUT_RD)

    def _refuse(self, holding: accounts.Holding, total_bytes: int) -> None:
        self.refused += 1
        raise NoRoomError(
            f'no room for a message of {total_bytes} bytes,'
            f' {self.account.reserved_bytes} bytes are held',
            step='read',
            retry_after_ms=RETRY_AFTER_MS,
        )


class MessageRoom:
    """The room of one message.

    :param room: the room that it is a part of.
    :param holding: what is reserved for the message.
    :param on_wait: called before the message waits for room.
    """

    def __init__(
        self,
        room: Room,
        holding: accounts.Holding,
        on_wait: Callable[[], None] | None,
    ) -> None:
        """Create the room of a message of unknown length."""
        self._on_wait = on_wait
        self._room = room
        self._holding = holding

    def reserve(self, total_bytes: int) -> None:
        """Reserve room for a message that is so long, or longer than known.

        :raises NoRoomError: if there is no room in time, or the message must
            give way to others.
        """
        if total_bytes > self._holding.reserved_bytes:
            self._room.reserve(self._holding, total_bytes, self._on_wait)
        self.check()

    def grow(self, received_bytes: int, limit: int | None = None) -> int:
        """Reserve room for a message of unknown length as it arrives.

        :param received_bytes: bytes that have arrived.
        :param limit: longest accepted message in bytes, if there is one.
        :return: number of bytes up to which there is no need to ask again.
        :raises NoRoomError: if there is no room in time, or the message must
            give way to others.
        """
        reserved_bytes = self._holding.reserved_bytes
        if received_bytes > reserved_bytes:
            reserved_bytes = max(received_bytes, 2 * reserved_bytes)
            reserved_bytes = max(reserved_bytes, accounts.SMALL_BYTES)
            self.reserve(min(reserved_bytes, limit or reserved_bytes))
        self.record_received(received_bytes)
        next_bytes = received_bytes + accounts.PROGRESS_BYTES
        return min(next_bytes, self._holding.reserved_bytes)

    def record_received(self, received_bytes: int) -> None:
        """Record how many bytes have arrived."""
        self._room.account.record_received(self._holding, received_bytes)

    def check(self) -> None:
        """Check that the message need not give way to others.

        :raises NoRoomError: if it must.
        """
        if self._holding.is_withdrawn:
            raise NoRoomError(
                'the message stood still and gave way to others',
                step='read',
                retry_after_ms=RETRY_AFTER_MS,
            )

    def end(self) -> None:
        """Record that the message has arrived whole.

        :raises NoRoomError: if it must give way to others.
        """
        self.check()
        self._holding.is_arriving = False


def compute_buffer_bytes(total_bytes: float, count: int) -> int:
    """Return the length of the buffers of another connection.

    :param total_bytes: room for the buffers of all connections.
    :param count: number of open connections.
    """
    share_bytes = min(total_bytes / max(count, 1), MAX_BUFFER_BYTES)
    return max(int(share_bytes), MIN_BUFFER_BYTES)


def bound_buffers(sock: socket.socket, buffer_bytes: int) -> None:
    """Bound what a connection holds before one of both sides reads it."""
    for direction in (sockets.SO_RCVBUF, sockets.SO_SNDBUF):
        sock.setsockopt(sockets.SOL_SOCKET, direction, buffer_bytes)


def bound_listener(listener: socket.socket, buffer_bytes: int) -> None:
    """Bound the buffers of connections to come, where the system allows it.

    What a peer may send at first is told when a connection is made.
    """
    with contextlib.suppress(OSError):
        bound_buffers(listener, buffer_bytes)
