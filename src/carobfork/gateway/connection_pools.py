"""Keep idle connections to backend servers for reuse.

The pool never sends a request again. A connection is kept for less time than
the server keeps it and is checked before reuse: if the server has closed it,
or unexpected bytes have arrived, it is closed before anything is sent.
"""

import collections
import socket as sockets

import attrs
from gevent import socket

from carobfork import clock, exceptions
from carobfork.gateway import message_readers, rooms, routes, workers

CONNECT_TIMEOUT_MS = 400
"""Longer than a few round trips to a busy server, shorter than the second
after which a lost packet is sent again."""
MAX_IDLE_RATIO = 0.7
"""Fraction of the server's idle timeout for which a connection is kept."""
DEFAULT_MAX_IDLE_MS = 2000
"""For servers that don't state their idle timeout."""
MAX_UNSAFE_IDLE_MS = 400
"""For calls that run at most once. The server may have dropped the connection
silently, and then it is unknown whether the call ran. After a longer time the
connection must be proved alive first."""
MAX_STREAM_IDLE_MS = 10_000
"""For turns that run at most once. The limit is higher than for other calls,
since callers send a failed turn again from its start."""
MAX_PAUSE_MS = 1500
"""How long a sound server may be silent, also as a host on the network."""
USER_TIMEOUT_MS = 2 * MAX_PAUSE_MS
"""How long sent bytes may stay unacknowledged (``TCP_USER_TIMEOUT``). Lost
bytes are sent again at doubling intervals, so the first time after a pause
comes before twice its length."""
MAX_ROOM_WAIT_MS = 5000
"""How long an answer waits for room: the caller of another one that reads
nothing is given up within this time."""
RECEIVE_BUFFER_BYTES = 131_072
"""Receive buffer of a connection. The system would let it grow to several MB,
which a server that sends without end fills before its answer is given up."""
MAX_IDLE_CONNECTIONS = 24
"""Idle connections kept per server: as many as the calls that one host sends
it in a burst."""


@attrs.define(eq=False)
class Connection:
    """A connection to a backend server.

    :param sock: the connected socket.
    :param reader: reads responses from the socket.
    :param worker: the server that it leads to.
    :param is_reused: whether it was idle in the pool before.
    :param idle_since_ms: time at which it was last returned to the pool.
    :param max_idle_ms: how long it may be idle before it is closed.
    :param is_confirmed: whether it leads to the process of the worker's entry.
    :param is_unproved: whether it was idle for longer than the call that has
        acquired it allows, so that it must be proved alive before.
    :param has_partial_request: whether a request on it was not sent whole,
        so that the server may wait for the rest.
    """

    sock: socket.socket
    reader: message_readers.Reader
    worker: workers.Worker
    is_reused: bool = False
    idle_since_ms: float = 0
    max_idle_ms: float = DEFAULT_MAX_IDLE_MS
    has_partial_request: bool = False
    is_confirmed: bool = False
    is_unproved: bool = False

    def close(self) -> None:
        """Close the connection, which cancels a call that runs on it."""
        self.sock.close()

    def is_clean(self) -> bool:
        """Tell whether it is open and no unexpected bytes have arrived."""
        if self.reader.buffered:
            return False
        flags = sockets.MSG_PEEK | sockets.MSG_DONTWAIT
        try:
            # The underlying socket, since recv of gevent's would block.
            self.sock._sock.recv(1, flags)  # noqa: WPS437
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class ConnectionPool:
    """Pool of idle connections to all backend servers.

    :ivar opened: number of connections opened.

    :param timer: clock for idle times.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create an empty pool."""
        self.opened = 0
        self.room = rooms.Room(float('inf'), float('inf'), timer)
        self._timer = timer
        self._idle: dict[tuple, collections.deque[Connection]] = {}

    def bound_memory(self, room_bytes: float) -> None:
        """Bound what answers of servers fill.

        :param room_bytes: room for answers and what is kept of streams.
        """
        self.room = rooms.Room(
            room_bytes, float('inf'), self._timer, MAX_ROOM_WAIT_MS
        )

    def acquire(self, worker: workers.Worker, max_idle_ms: float) -> Connection:
        """Return an idle connection to a server, or open a new one.

        A connection that was idle for longer than the call allows is marked.

        :param max_idle_ms: how long the connection may have been idle to be
            used as it is.
        :raises ConnectionFailedError: if the server can't be reached; nothing
            was sent.
        """
        idle = self._idle.get(_key(worker), ())
        while idle:
            connection = idle.pop()
            worker.idle_connections = len(idle)
            if self._is_usable(connection):
                connection.worker = worker
                connection.is_reused = True
                connection.is_unproved = (
                    self._idle_ms(connection) >= max_idle_ms
                )
                return connection
            connection.close()
        return self.open(worker)

    def open(
        self, worker: workers.Worker, timeout_ms: float = CONNECT_TIMEOUT_MS
    ) -> Connection:
        """Open a connection to a server.

        :param timeout_ms: how long the server may take to accept it.
        :raises ConnectionFailedError: if the server can't be reached; nothing
            was sent.
        """
        self.opened += 1
        try:
            sock = socket.create_connection(
                (worker.entry.ip, worker.entry.port),
                timeout=clock.to_seconds(timeout_ms),
            )
        except OSError as error:
            raise exceptions.ConnectionFailedError(
                str(error), sent=False, step='connect', peer=worker.instance
            ) from error
        sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        sock.setsockopt(
            sockets.SOL_SOCKET, sockets.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setsockopt(
            sockets.IPPROTO_TCP, sockets.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        return Connection(sock, message_readers.Reader(sock), worker)

    def release(
        self,
        worker: workers.Worker,
        connection: Connection,
        idle_ms: float | None,
    ) -> None:
        """Keep a connection for reuse after its response was read whole.

        A connection on which a request was not sent whole is closed.

        :param idle_ms: the server's idle timeout, if it stated one.
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
        """Close all idle connections to a server that has failed."""
        for connection in self._idle.pop(_key(worker), ()):
            connection.close()
        worker.idle_connections = 0

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        for key, idle in list(self._idle.items()):
            while idle and not self._is_usable(idle[0]):
                expired = idle.popleft()
                expired.close()
                expired.worker.idle_connections = len(idle)
            if not idle:
                self._idle.pop(key)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _is_usable(self, connection: Connection) -> bool:
        is_recent = self._idle_ms(connection) < connection.max_idle_ms
        is_leaving = connection.worker.leaving_since_ms is not None
        return is_recent and not is_leaving and connection.is_clean()

    def _idle_ms(self, connection: Connection) -> float:
        return self._timer.now_ms() - connection.idle_since_ms


def _key(worker: workers.Worker) -> tuple:
    entry = worker.entry
    return (
        entry.instance,
        entry.started_ms,
        entry.version,
        entry.ip,
        entry.port,
    )


def max_idle_ms(route: routes.Route) -> float:
    """Return how long a connection may have been idle to be of use to a call.

    :param route: the route of the request to be sent on it.
    """
    is_stream = route.kind == routes.Kind.stream
    if is_stream and not route.is_repeatable:
        return MAX_STREAM_IDLE_MS
    return float('inf')


def max_unproved_idle_ms(route: routes.Route) -> float:
    """Return how long a connection may have been idle to be used as it is.

    Older ones are proved alive before a request is sent on them.

    :param route: the route of the request to be sent on it.
    """
    if route.is_repeatable or route.kind == routes.Kind.stream:
        return max_idle_ms(route)
    return MAX_UNSAFE_IDLE_MS
