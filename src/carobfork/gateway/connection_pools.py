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
from carobfork.gateway import framing, routes, workers

CONNECT_TIMEOUT_MS = 400
"""Above a few round trips and a busy server, below a lost packet's second."""
MAX_IDLE_RATIO = 0.7
"""Of the server's idle time-out that a connection is kept."""
DEFAULT_MAX_IDLE_MS = 2000
"""For servers that don't tell their time-out."""
MAX_UNSAFE_IDLE_MS = 400
"""For calls that run at most once: a server may have dropped the connection
without a word, and then nobody knows whether the call ran."""
MAX_STREAM_IDLE_MS = 4000
"""For turns that run at most once: callers send a turn again from its start."""
USER_TIMEOUT_MS = 1200
"""For unacknowledged bytes: above the second after which a lost packet is
sent again."""
MAX_IDLE_CONNECTIONS = 24
"""Kept connections to one server: as many as one host's calls in a burst."""


@attrs.define(eq=False)
class Connection:
    """A connection to a backend server."""

    sock: socket.socket
    reader: framing.Reader
    is_reused: bool = False
    idle_since_ms: float = 0
    max_idle_ms: float = DEFAULT_MAX_IDLE_MS
    has_partial_request: bool = False
    """Whether the server may still wait for bytes of a request."""

    def close(self) -> None:
        """Close it, which cancels what runs on it."""
        self.sock.close()

    def is_clean(self) -> bool:
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


class ConnectionPool:
    """Connections to all backend servers.

    :param timer: measures idle times.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without connections."""
        self.opened = 0
        self._timer = timer
        self._idle: dict[tuple, collections.deque[Connection]] = {}

    def acquire(self, worker: workers.Worker, max_idle_ms: float) -> Connection:
        """Return a connection to a server, kept or new.

        :param most_idle_ms: how long it may have been idle.
        :raises ConnectionFailedError: the server can't be reached; nothing
            was sent.
        """
        idle = self._idle.get(_key(worker), ())
        while idle:
            connection = idle.pop()
            worker.idle_connections = len(idle)
            if self._is_usable(connection, max_idle_ms):
                connection.is_reused = True
                return connection
            connection.close()
        return self._open(worker)

    def release(
        self,
        worker: workers.Worker,
        connection: Connection,
        idle_ms: float | None,
    ) -> None:
        """Keep a connection whose response was read whole.

        :param idle_ms: how long the server keeps it, if told.
        """
        if connection.has_partial_request:
            connection.close()
            return
        if idle_ms is not None:
            connection.max_idle_ms = idle_ms * MAX_IDLE_RATIO
        connection.idle_since_ms = self._timer.now_ms()
        idle = self._idle.setdefault(_key(worker), collections.deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().close()
        worker.idle_connections = len(idle)
        worker.last_kept_ms = connection.idle_since_ms

    def discard_idle(self, worker: workers.Worker) -> None:
        """Close all kept connections to a server that has failed."""
        for connection in self._idle.pop(_key(worker), ()):
            connection.close()
        worker.idle_connections = 0

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        for key, idle in list(self._idle.items()):
            while idle and not self._is_usable(idle[0], idle[0].max_idle_ms):
                idle.popleft().close()
            if not idle:
                self._idle.pop(key)

    def close(self) -> None:
        """Close all kept connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _is_usable(self, connection: Connection, max_idle_ms: float) -> bool:
        idle_ms = self._timer.now_ms() - connection.idle_since_ms
        limit_ms = min(connection.max_idle_ms, max_idle_ms)
        return idle_ms < limit_ms and connection.is_clean()

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


def max_idle_ms(route: routes.Route) -> float:
    """Return how long a connection may have been idle for a request."""
    if route.is_repeatable:
        return float('inf')
    if route.kind == routes.Kind.stream:
        return MAX_STREAM_IDLE_MS
    return MAX_UNSAFE_IDLE_MS
