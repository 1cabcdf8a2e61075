"""Serve HTTP requests of callers within size and time limits.

A caller that disconnects is noticed while its request runs, because the
backend server goes on with the call until its own connection is closed.
"""

import contextlib
import socket as sockets
from collections.abc import Callable, Iterator

import attrs
import gevent
import structlog
from gevent import server, socket

from carobfork import clock, exceptions, time_limits
from carobfork.gateway import (
    connection_limits,
    contexts,
    framing,
    message_readers,
    relays,
    rooms,
    routes,
    start_lines,
)
from carobfork.memory import accounts

LINGER_TIMEOUT_MS = 500
"""How long unread input is drained after a request was refused unread.

Closing earlier resets the connection, and the caller may lose the response.
"""
WRITE_TIMEOUT_MS = 5000
"""A caller that reads nothing for this long is treated as disconnected."""
BODY_TIMEOUT_MS = 5000
"""Least time that a caller has to send the body after the head."""
_UNAUTHORIZED = 401
CALLER_DESCRIPTORS_RATIO = 0.4
"""Part of the process's descriptors for connections of callers: each request
may take another one to a server, and the rest is for store hosts and files."""
REASON_PHRASES = {  # noqa: WPS407
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    402: 'Payment Required',
    404: 'Not Found',
    408: 'Request Timeout',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}

logger = structlog.get_logger(part='server')


class CallerGoneError(exceptions.UnknownOutcomeError):
    """The caller closed its connection before the response was complete."""

    code = 'caller_gone'


class SocketResponseWriter:
    """Writer of one response to a caller.

    :param sock: the caller's connection.
    :param connections: all connections of callers.
    :param should_close: asked when the head is encoded; tells whether the
        connection is closed after the response.
    """

    def __init__(
        self,
        sock: socket.socket,
        connections: connection_limits.ConnectionLimiter,
        should_close: Callable[[], bool],
    ) -> None:
        """Create a writer that has sent nothing."""
        self.has_begun = False
        self.is_complete = False
        self.closes_connection = False
        self._sock = sock
        self._connections = connections
        self._should_close = should_close
        self._head = b''

    def respond(
        self, status: int, fields: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole response.

        :param status: HTTP status code.
        :param fields: names and values of the headers.
        :raises CallerGoneError: if the caller can't be written to.
        """
        length = ('Content-Length', str(len(body)))
        head = self._encode(status, [*fields, length])
        self.has_begun = True
        self._write(head + body)
        self.is_complete = True

    def begin(self, status: int, fields: list[tuple[str, str]]) -> None:
        """Prepare the head, which is sent with the first piece of the body.

        :param status: HTTP status code.
        :param fields: names and values of the headers.
        """
        chunked = ('Transfer-Encoding', 'chunked')
        self._head = self._encode(status, [*fields, chunked])

    def send(self, piece: bytes) -> None:
        """Send a piece of the body as one chunk.

        :raises CallerGoneError: if the caller can't be written to.
        """
        head = b'' if self.has_begun else self._head
        self.has_begun = True
        self._write(head + framing.encode_chunk(piece))

    def end(self) -> None:
        """Send the last chunk, which ends the body.

        :raises CallerGoneError: if the caller can't be written to.
        """
        head = b'' if self.has_begun else self._head
        self.has_begun = True
        self._write(head + framing.LAST_CHUNK)
        self.is_complete = True

    def _encode(self, status: int, fields: list[tuple[str, str]]) -> bytes:
        self.closes_connection = self._should_close()
        if self.closes_connection:
            fields = [*fields, ('Connection', 'close')]
        phrase = REASON_PHRASES.get(status, 'Status')
        return framing.encode_head(f'HTTP/1.1 {status} {phrase}', fields)

    def _write(self, payload: bytes) -> None:
        unread = self._connections.unread
        try:
            with self._connections.wait(self._sock, unread):
                self._sock.sendall(payload)
        except OSError as error:
            raise CallerGoneError(str(error), step='respond') from error


@attrs.define
class Counts:
    """Requests of a server.

    :param in_progress: requests that are being served.
    :param answered: requests that were relayed and answered.
    :param refused: requests that got an error response of this host.
    :param unidentified: those of them whose caller had no known key.
    :param broken: responses that broke off after they had begun.
    """

    in_progress: int = 0
    answered: int = 0
    refused: int = 0
    unidentified: int = 0
    broken: int = 0


class Server:
    """HTTP server that accepts callers' connections and serves requests.

    :param address: IP address and port to listen on.
    :param relay: passes requests to backend servers.
    :param timer: clock for arrival times.
    :param is_ready: tells whether callers should connect to this host.
    :param sizes: the sizes of the host's room for peers.
    :param max_descriptors: limit of open file descriptors of the process.
    """

    def __init__(
        self,
        address: tuple[str, int],
        relay: relays.Relay,
        timer: clock.Clock,
        is_ready: Callable[[], bool],
        sizes: accounts.RoomSizes,
        max_descriptors: int,
    ) -> None:
        """Create the listener without opening it."""
        self.counts = Counts()
        self._running: dict[gevent.Greenlet, SocketResponseWriter] = {}
        self.room = rooms.Room(sizes.body_bytes, sizes.buffer_bytes, timer)
        self._buffers_bytes = sizes.buffer_bytes
        self._listener_bytes = 0
        self.connections = connection_limits.ConnectionLimiter(
            int(max_descriptors * CALLER_DESCRIPTORS_RATIO), timer
        )
        self._is_ready = is_ready
        self.is_leaving = False
        self._relay = relay
        self._timer = timer
        self._server = server.StreamServer(address, self._serve_connection)
        self._server.max_accept = connection_limits.MAX_ACCEPTS

    @property
    def limits(self) -> routes.CallerLimits:
        """Limits on requests, from the configuration in force."""
        if self._relay.routes is None:
            return routes.CallerLimits()
        return self._relay.routes.limits

    def start(self) -> None:
        """Start listening."""
        self._server.init_socket()
        if self._buffers_bytes < float('inf'):
            self._bound_listener(rooms.MAX_BUFFER_BYTES)
        self._server.start()

    def stop_accepting(self) -> None:
        """Close the listener.

        Requests on kept connections are answered with what the relay says.
        """
        self._server.stop_accepting()
        self._server.close()

    def interrupt(self) -> None:
        """Answer the requests that are running, unless an answer has begun."""
        for greenlet, response in list(self._running.items()):
            if not response.has_begun:
                error = contexts.HostStoppedError('the host ends', step='stop')
                gevent.kill(greenlet, error)

    def _serve_connection(self, sock: socket.socket, _address: tuple) -> None:
        with self.connections.admit(sock) as is_admitted:
            if is_admitted:
                self._serve_requests(sock)

    def _serve_requests(self, sock: socket.socket) -> None:
        reader = message_readers.Reader(sock)
        try:
            self._prepare(sock)
            while self._serve_request(sock, reader):
                sock.settimeout(None)
                # Requests that are refused at once wait for nothing else.
                gevent.sleep(0)
        except (CallerGoneError, contexts.HostStoppedError) as error:
            logger.debug('connection given up', reason=error.message)
        except (OSError, EOFError) as error:
            logger.debug('connection ended', reason=str(error))

    def _prepare(self, sock: socket.socket) -> None:
        sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        if self._buffers_bytes < float('inf'):
            buffer_bytes = rooms.compute_buffer_bytes(
                self._buffers_bytes, self.connections.open
            )
            rooms.bound_buffers(sock, buffer_bytes)
            self._bound_listener(buffer_bytes)

    def _bound_listener(self, buffer_bytes: int) -> None:
        """Bound the buffers of connections that are not accepted yet."""
        listener = getattr(self._server, 'socket', None)
        if listener is None or buffer_bytes == self._listener_bytes:
            return
        self._listener_bytes = buffer_bytes
        rooms.bound_listener(listener, buffer_bytes)

    def _serve_request(
        self, sock: socket.socket, reader: message_readers.Reader
    ) -> bool:
        """Serve one request and tell whether the connection stays open."""
        # Callers on kept connections would not look up another host, so
        # connections are closed while this host is not ready.
        response = SocketResponseWriter(
            sock, self.connections, lambda: not self._is_ready()
        )
        with self.room.hold(sock) as room:
            try:
                request = self._read(sock, reader, room)
            except (exceptions.BadRequestError, rooms.NoRoomError) as error:
                # The frames of the traceback hold what was read.
                refusal = error.with_traceback(None)
            else:
                return request is not None and self._serve_whole(
                    sock, request, response
                )
        response.closes_connection = True
        sock.settimeout(clock.to_seconds(WRITE_TIMEOUT_MS))
        self._refuse(response, refusal, closes=True)
        _linger(sock)
        return False

    def _serve_whole(
        self,
        sock: socket.socket,
        request: contexts.Request,
        response: SocketResponseWriter,
    ) -> bool:
        """Serve a request that was read whole."""
        sock.settimeout(clock.to_seconds(WRITE_TIMEOUT_MS))
        self.counts.in_progress += 1
        self._running[gevent.getcurrent()] = response
        try:
            with _interrupt_on_disconnect(sock):
                self._answer(request, response)
        finally:
            self._running.pop(gevent.getcurrent())
            self.counts.in_progress -= 1
        return (
            response.is_complete
            and not response.closes_connection
            and request.head.keeps_open
        )

    def _answer(
        self, request: contexts.Request, response: SocketResponseWriter
    ) -> None:
        try:
            self._relay.handle(request, response)
        except CallerGoneError:
            raise
        except exceptions.CarobforkError as error:
            if response.has_begun:
                self.counts.broken += 1
                logger.info('response broken off', reason=str(error))
                return
            self._refuse(response, error)
        else:
            self.counts.answered += 1

    def _refuse(
        self,
        response: SocketResponseWriter,
        error: exceptions.CarobforkError,
        closes: bool = False,
    ) -> None:
        self.counts.refused += 1
        fields = [('Content-Type', 'text/plain')]
        if closes:
            fields.append(('Connection', 'close'))
        if error.outcome == exceptions.Outcome.not_run:
            retry_ms = error.retry_after_ms
            if retry_ms:
                seconds = clock.to_seconds(retry_ms)
                fields.append(('Retry-After', f'{seconds:.3f}'))
        self.counts.unidentified += error.http_status == _UNAUTHORIZED
        # Refusals that come in floods are counted, or logged in summary.
        if not error.is_frequent:
            logger.info(
                'request refused',
                status=error.http_status,
                outcome=error.outcome.value,
                reason=str(error),
                retry_after_ms=error.retry_after_ms,
            )
        response.respond(error.http_status, fields, f'{error}\n'.encode())

    def _read(
        self,
        sock: socket.socket,
        reader: message_readers.Reader,
        room: rooms.MessageRoom,
    ) -> contexts.Request | None:
        """Read a request, or return None if the connection ended before one.

        :raises BadRequestError: if it is malformed, too large or too slow.
        :raises NoRoomError: if the host has no room for its body.
        """
        limits = self.limits
        if not reader.buffered and not self._wait_for_byte(sock, reader):
            return None
        with (
            self.connections.wait(sock, self.connections.in_head),
            _read_limit(limits.head_ms),
        ):
            head = reader.read_head(limits.head_bytes, room)
        if head is None:
            return None
        start_lines.check_request(head)
        shape = framing.request_shape(head)
        if (shape.length or 0) > limits.body_bytes:
            raise exceptions.TooLargeError(
                f'the body is longer than {limits.body_bytes} bytes',
                step='read',
            )
        body_ms = max(limits.head_ms, BODY_TIMEOUT_MS)
        with (
            self.connections.wait(sock, self.connections.in_body),
            _read_limit(body_ms),
        ):
            room.reserve(shape.length or 0)
            if head.get('expect').lower() == '100-continue':
                sock.sendall(b'HTTP/1.1 100 Continue\r\n\r\n')
            body = _read_body(reader, shape, limits.body_bytes, room)
        return contexts.Request(head, body, self._timer.now_ms())

    def _wait_for_byte(
        self, sock: socket.socket, reader: message_readers.Reader
    ) -> bool:
        """Wait for a request's first byte; return False at the end.

        :raises OSError: if nothing arrives within the idle limit.
        """
        sock.settimeout(clock.to_seconds(self.limits.idle_ms))
        with self.connections.wait(sock, self.connections.idle):
            received = sock.recv(message_readers.READ_BYTES)
        sock.settimeout(None)
        reader.buffered.extend(received)
        return bool(received)


def _read_body(
    reader: message_readers.Reader,
    shape: framing.BodyShape,
    limit: int,
    room: rooms.MessageRoom,
) -> bytes:
    """Read a body, unless it must give way to others.

    :raises EOFError: if the connection ended inside the body.
    :raises OSError: if the connection failed.
    :raises NoRoomError: if it had to, which closes the connection for reading.
    """
    try:
        body = reader.read_body(shape, limit, room)
    except (OSError, EOFError) as error:
        broken = error.with_traceback(None)
    else:
        room.end()
        return body
    room.check()
    raise broken


def _read_limit(span_ms: float) -> contextlib.AbstractContextManager[None]:
    """Return a time limit for reading a part of a request."""
    return time_limits.time_limit(
        span_ms,
        exceptions.RequestTimeoutError(
            f'the request was not read within {span_ms:.0f} ms', step='read'
        ),
    )


@contextlib.contextmanager
def _interrupt_on_disconnect(sock: socket.socket) -> Iterator[None]:
    """Interrupt the block when the caller closes its connection.

    :raises CallerGoneError: if the connection is closed.
    """
    watcher = gevent.get_hub().loop.io(sock.fileno(), 1)
    greenlet = gevent.getcurrent()

    def on_readable() -> None:  # noqa: WPS430
        if _is_closed(sock):
            watcher.stop()
            error = CallerGoneError('the caller disconnected', step='relay')
            gevent.kill(greenlet, error)
        else:
            # A pipelined request has arrived; it is read after this one.
            watcher.stop()

    watcher.start(on_readable)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()


def _is_closed(sock: socket.socket) -> bool:
    """Tell whether the peer closed a connection, without reading from it."""
    try:
        return _peek(sock) == b''
    except OSError:
        return True


def _peek(sock: socket.socket) -> bytes | None:
    """Return a byte that has arrived without removing it.

    Return ``None`` if none has, and an empty string at the end.

    :raises OSError: if the connection failed.
    """
    flags = sockets.MSG_PEEK | sockets.MSG_DONTWAIT
    try:
        # The underlying socket, since recv of gevent's would block.
        return sock._sock.recv(1, flags)  # noqa: WPS437
    except BlockingIOError:
        return None


def _linger(sock: socket.socket) -> None:
    """Drain unread input, since closing with some of it resets the connection.

    A reset can discard the response before the caller has read it.
    """
    with contextlib.suppress(OSError):
        sock.shutdown(sockets.SHUT_WR)
        with gevent.Timeout(
            clock.to_seconds(LINGER_TIMEOUT_MS), exception=False
        ):
            while sock.recv(message_readers.BODY_READ_BYTES):
                gevent.sleep(0)
