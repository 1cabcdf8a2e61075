"""Pools: kept connections to backend servers.

Nothing here sends a request again. A connection is kept for less than the
server keeps it, and looked at before it is used: one that the server has
closed, or on which unasked bytes lie, is dropped before anything is sent.
"""

import collections
import socket as sockets

import attrs
from gevent import socket

from carobfork import clock, exceptions
from carobfork.gateway import framing, workers

CONNECT_TIMEOUT_MS = 400
"""Above a few round trips and a busy server, below a lost packet's second."""
IDLE_PART = 0.5
"""Of the server's idle time-out that a connection is kept."""
IDLE_MS = 2000
"""For servers that don't tell their time-out."""
SHORT_IDLE_MS = 1000
"""For calls that run at most once: a server may close as we send."""
USER_TIMEOUT_MS = 2000
MOST_IDLE = 24
"""Kept connections to one server: as many as one host's calls in a burst."""


@attrs.define(eq=False)
class Connection:
    """A connection to a backend server."""

    sock: socket.socket
    reader: framing.Reader
    is_reused: bool = False
    idle_since_ms: float = 0
    keep_ms: float = IDLE_MS
    is_spoilt: bool = False
    """Whether the server may still wait for bytes of a request."""

    def close(self) -> None:
        """Close it, which cancels what runs on it."""
        self.sock.close()

    def is_quiet(self) -> bool:
        """Tell whether it is open and nothing unasked has arrived."""
        if self.reader.buffered:
            return False
        flags = sockets.MSG_PEEK | sockets.MSG_DONTWAIT
        try:
            # The underlying socket: gevent's would wait.
            self.sock._sock.recv(1, flags)  # noqa: WPS437
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class Pool:
    """Connections to all backend servers.

    :param timer: measures idle times.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without connections."""
        self.opened = 0
        self._timer = timer
        self._idle: dict[tuple, collections.deque[Connection]] = {}

    def take(self, worker: workers.Worker, is_repeatable: bool) -> Connection:
        """Return a connection to a server, kept or new.

        :param is_repeatable: whether the call may be sent again.
        :raises ConnectionFailedError: the server can't be reached; nothing
            was sent.
        """
        idle = self._idle.get(_key(worker), ())
        while idle:
            connection = idle.pop()
            if self._is_fresh(connection, is_repeatable):
                connection.is_reused = True
                return connection
            connection.close()
        return self._open(worker)

    def give_back(
        self,
        worker: workers.Worker,
        connection: Connection,
        idle_ms: float | None,
    ) -> None:
        """Keep a connection whose response was read whole.

        :param idle_ms: how long the server keeps it, if told.
        """
        if connection.is_spoilt:
            connection.close()
            return
        if idle_ms is not None:
            connection.keep_ms = idle_ms * IDLE_PART
        connection.idle_since_ms = self._timer.now_ms()
        idle = self._idle.setdefault(_key(worker), collections.deque())
        idle.append(connection)
        if len(idle) > MOST_IDLE:
            idle.popleft().close()

    def trim(self) -> None:
        """Close connections that were idle for too long."""
        for key, idle in list(self._idle.items()):
            while idle and not self._is_fresh(idle[0], is_repeatable=True):
                idle.popleft().close()
            if not idle:
                self._idle.pop(key)

    def close(self) -> None:
        """Close all kept connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _is_fresh(self, connection: Connection, is_repeatable: bool) -> bool:
        idle_ms = self._timer.now_ms() - connection.idle_since_ms
        most_ms = connection.keep_ms
        if not is_repeatable:
            most_ms = min(most_ms, SHORT_IDLE_MS)
        return idle_ms < most_ms and connection.is_quiet()

    def _open(self, worker: workers.Worker) -> Connection:
        self.opened += 1
        try:
            sock = socket.create_connection(
                (worker.entry.ip, worker.entry.port),
                timeout=clock.to_seconds(CONNECT_TIMEOUT_MS),
            )
        except OSError as error:
            raise exceptions.ConnectionFailedError(
                str(error), sent=False, step='connect', peer=worker.instance
            ) from error
        sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        sock.setsockopt(
            sockets.IPPROTO_TCP, sockets.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        return Connection(sock, framing.Reader(sock))


def _key(worker: workers.Worker) -> tuple:
    entry = worker.entry
    return entry.instance, entry.started_ms, entry.ip, entry.port
