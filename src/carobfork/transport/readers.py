"""Readers: HTTP requests read in bounded time and memory.

Head and body of a request are read whole before any endpoint sees it, so a
slow sender holds a connection for a bounded time and nothing else. What is
refused here gets the same coded errors as anywhere else.
"""

import contextlib
import io
from collections.abc import Callable, Iterator

import attrs
import gevent
from gevent import pywsgi, socket

from carobfork import clock, exceptions
from carobfork.protocol import responses
from carobfork.state import bundles, validators

CONNECTIONS = 400
BODY_BYTES = 2_000_000
READING_BYTES = 32_000_000
IDLE_MS = 30_000
HEAD_MS = 10_000
BODY_MS = 20_000
LINGER_MS = 1000
REFUSING_FACTOR = 1.5
"""Beyond the limit times this, connections are closed without an answer."""
_PIECE_BYTES = 65_536
_READ = 'read request'


def _limit(default: int):
    return attrs.field(default=default, validator=validators.at_least(1))


@attrs.frozen
class Limits:
    """What one listener accepts.

    :param connections: most connections open at a time.
    :param body_bytes: largest body of a request.
    :param reading_bytes: most bytes of bodies being read at a time.
    :param idle_ms: longest wait for the next request of a connection.
    :param head_ms: longest time to send a request's head.
    :param body_ms: longest time to send a request's body.
    """

    connections: int = _limit(CONNECTIONS)
    body_bytes: int = _limit(BODY_BYTES)
    reading_bytes: int = _limit(READING_BYTES)
    idle_ms: int = _limit(IDLE_MS)
    head_ms: int = _limit(HEAD_MS)
    body_ms: int = _limit(BODY_MS)


@attrs.frozen
class Traffic:
    """What one listener holds and has sent."""

    open_connections: int
    reading_bytes: int
    sent_bytes: int


class BoundedServer(pywsgi.WSGIServer):
    """Serve a WSGI application within limits.

    :param address: where to listen.
    :param application: a WSGI application.
    :param accepted: the limits.
    """

    def __init__(
        self,
        address: bundles.Address,
        application: Callable,
        accepted: Limits,
    ) -> None:
        """Prepare the server; starting it listens."""
        super().__init__(
            (address.ip, address.port),
            application,
            log=None,
            handler_class=BoundedHandler,
        )
        self.limits = accepted
        self.open_connections = 0
        self.reading_bytes = 0
        self.sent_bytes = 0

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serve a connection, or refuse it where there are too many."""
        self.open_connections += 1
        try:
            self._admit(self.handler_class(sock, address, self))
        finally:
            self.open_connections -= 1
            sock.close()

    def traffic(self) -> Traffic:
        """Return what the listener holds and has sent."""
        return Traffic(
            self.open_connections, self.reading_bytes, self.sent_bytes
        )

    @contextlib.contextmanager
    def reserve(self, body_bytes: int) -> Iterator[None]:
        """Account for a body while it is read.

        :raises OverloadedError: too many are being read.
        """
        if self.reading_bytes + body_bytes > self.limits.reading_bytes:
            raise exceptions.OverloadedError(
                'too many bodies are being read', step=_READ
            )
        self.reading_bytes += body_bytes
        try:
            yield
        finally:
            self.reading_bytes -= body_bytes

    def _admit(self, handler: 'BoundedHandler') -> None:
        limit = self.limits.connections
        if self.open_connections <= limit:
            handler.handle()
        elif self.open_connections <= limit * REFUSING_FACTOR:
            handler.refuse_connection()


class BoundedHandler(pywsgi.WSGIHandler):
    """Serve the requests of one connection."""

    server: BoundedServer

    def refuse_connection(self) -> None:
        """Answer that there are too many connections, and close."""
        overloaded = exceptions.OverloadedError(
            f'{self.server.limits.connections} connections are open',
            step='accept',
            retry_after_ms=clock.MS_PER_SECOND,
        )
        with contextlib.suppress(OSError):
            self._refuse(overloaded)
        self.socket.close()

    def handle_one_request(self):
        """Serve one request; anything but ``True`` closes the connection."""
        try:
            proceeding = super().handle_one_request()
        except exceptions.CarobforkError as error:
            return self._refuse(error)
        if isinstance(proceeding, tuple):
            # pywsgi refuses overlong request lines by status and text.
            return self._refuse(_bad_request('the request line is too long'))
        return proceeding

    def handle_one_response(self) -> None:
        """Answer a request and count what was sent."""
        super().handle_one_response()
        self.server.sent_bytes += self.response_length

    def read_requestline(self) -> str:
        """Wait for the next request's first line; empty when none comes."""
        idle_seconds = clock.to_seconds(self.server.limits.idle_ms)
        with gevent.Timeout(idle_seconds, exception=False):
            return super().read_requestline()
        return ''

    def read_request(self, raw_requestline: str) -> bool:
        """Read the rest of a request's head."""
        with self._within(self.server.limits.head_ms, 'head'):
            return super().read_request(raw_requestline)

    def get_environ(self) -> dict:
        """Read the body and return the request's WSGI environment."""
        environ = super().get_environ()
        limit = self.server.limits.body_bytes
        expected_bytes = self._expected_bytes(environ, limit)
        if expected_bytes > limit:
            raise _too_large(limit)
        with self.server.reserve(expected_bytes):
            with self._within(self.server.limits.body_ms, 'body'):
                body = self._read_body(limit)
        environ['wsgi.input'] = io.BytesIO(body)
        environ['CONTENT_LENGTH'] = str(len(body))
        return environ

    def _expected_bytes(self, environ: dict, limit: int) -> int:
        encoding = environ.get('HTTP_TRANSFER_ENCODING', '').lower()
        if encoding == 'chunked':
            return limit
        if encoding:
            raise _bad_request(f'transfer encoding "{encoding}" is unknown')
        return self.content_length or 0

    def _read_body(self, limit: int) -> bytes:
        try:
            body = self.wsgi_input.read(limit + 1)
        except OSError as error:
            raise _bad_request(f'the body broke off: {error}') from error
        if len(body) > limit:
            raise _too_large(limit)
        return body

    def _handle_client_error(self, error: Exception):
        if isinstance(error, exceptions.CarobforkError):
            raise error
        raise _bad_request('the head is no HTTP request') from error

    @contextlib.contextmanager
    def _within(self, span_ms: int, part: str) -> Iterator[None]:
        timeout = gevent.Timeout(clock.to_seconds(span_ms))
        timeout.start()
        try:
            yield
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            raise exceptions.RequestTimeoutError(
                f'the {part} took more than {span_ms} ms',
                step=_READ,
            ) from None
        finally:
            timeout.close()

    def _refuse(self, error: exceptions.CarobforkError) -> None:
        """Send an error and let the peer read it before closing."""
        ip, port = self.client_address[:2]
        error.peer = error.peer or f'caller {ip}:{port}'
        with contextlib.suppress(OSError):
            self.socket.sendall(encode_refusal(error))
            self.socket.shutdown(socket.SHUT_WR)
            self._drain()

    def _drain(self) -> None:
        with gevent.Timeout(clock.to_seconds(LINGER_MS), exception=False):
            while self.socket.recv(_PIECE_BYTES):
                gevent.sleep(0)


def encode_refusal(error: exceptions.CarobforkError) -> bytes:
    """Return the bytes of an error's response, which closes."""
    response = responses.error_response(error)
    response.headers['Connection'] = 'close'
    lines = [f'HTTP/1.1 {response.status}']
    lines.extend(f'{name}: {text}' for name, text in response.headers)
    head = '\r\n'.join([*lines, '', ''])
    return head.encode('latin-1') + response.get_data()


def _too_large(limit: int) -> exceptions.TooLargeError:
    return exceptions.TooLargeError(
        f'the body exceeds {limit} bytes', step=_READ
    )


def _bad_request(message: str) -> exceptions.BadRequestError:
    return exceptions.BadRequestError(message, step=_READ)
