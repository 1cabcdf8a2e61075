"""Connections: HTTP/1.1 exchanges that are sent once and never re-sent.

A client that re-sends by itself would break the promise that some calls run
at most once, so each exchange here uses a connection of its own and tells,
when it fails, whether any byte of the request may have left.
"""

from collections.abc import Iterator, Mapping
from types import TracebackType

import attrs
from gevent import socket
from geventhttpclient.response import HTTPResponse

from carobfork import clock, exceptions
from carobfork.state import bundles

CONNECT_TIMEOUT_MS = 1000
READ_BYTES = 65_536
MAX_BODY_BYTES = 4_000_000
_STEP = 'exchange'


@attrs.frozen
class HttpRequest:
    """An HTTP request.

    :param read_timeout_ms: longest silence of the peer before it counts as
        broken.
    """

    method: str
    path: str
    body: bytes = b''
    headers: Mapping[str, str] = attrs.field(factory=dict)
    read_timeout_ms: int = 10_000

    def encode(self, address: bundles.Address) -> bytes:
        """Return the bytes to send."""
        lines = [f'{self.method} {self.path} HTTP/1.1', f'Host: {address}']
        lines.extend(f'{name}: {text}' for name, text in self.headers.items())
        lines.append(f'Content-Length: {len(self.body)}')
        lines.append('Connection: close')
        head = '\r\n'.join([*lines, '', ''])
        return head.encode('latin-1') + self.body


class _Parser(HTTPResponse):
    """Parse a response and hand out its body as it comes."""

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self._pieces: list[bytes] = []

    def take(self) -> bytes:
        """Return the body bytes parsed since the last call."""
        body = b''.join(self._pieces)
        self._pieces.clear()
        return body

    def _on_body(self, buf: bytearray) -> None:
        self._pieces.append(bytes(buf))


class Exchange:
    """One request and its response, as a context manager.

    :param address: the peer.
    :param request: what to send.
    """

    def __init__(self, address: bundles.Address, request: HttpRequest) -> None:
        """Prepare the exchange; entering it sends the request."""
        self._address = address
        self._request = request
        self._parser = _Parser(request.method)
        self._socket: socket.socket | None = None
        self._sent = False

    def __enter__(self) -> 'Exchange':
        """Connect, send the request and read the response's head.

        :raises ConnectionFailedError: no response came.
        """
        try:
            self._open()
        except BaseException:
            self._close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection, which cancels an unfinished response."""
        self._close()

    @property
    def status(self) -> int:
        """The response's status code."""
        return self._parser.status_code

    def header(self, name: str) -> str:
        """Return a header of the response, empty where it is missing."""
        return self._parser.get(name, '') or ''

    def pieces(self) -> Iterator[bytes]:
        """Yield the body as it comes.

        :raises ConnectionFailedError: the peer broke off.
        """
        while True:
            piece = self._parser.take()
            if piece:
                yield piece
            if self._parser.message_complete:
                return
            if not piece:
                self._receive()

    def read(self) -> bytes:
        """Return the whole body.

        :raises ConnectionFailedError: the peer broke off.
        :raises CallFailedError: the body is too large.
        """
        body = bytearray()
        for piece in self.pieces():
            body.extend(piece)
            if len(body) > MAX_BODY_BYTES:
                raise exceptions.CallFailedError(
                    'the answer is too large',
                    step=_STEP,
                    peer=str(self._address),
                )
        return bytes(body)

    def _open(self) -> None:
        try:
            self._connect()
        except OSError as error:
            raise self._failure(str(error)) from error
        while not self._parser.headers_complete:
            self._receive()

    def _connect(self) -> None:
        self._socket = socket.create_connection(
            (self._address.ip, self._address.port),
            timeout=clock.to_seconds(CONNECT_TIMEOUT_MS),
        )
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket.settimeout(clock.to_seconds(self._request.read_timeout_ms))
        self._sent = True
        self._socket.sendall(self._request.encode(self._address))

    def _receive(self) -> None:
        try:
            received = self._socket.recv(READ_BYTES)
        except OSError as error:
            raise self._failure(str(error)) from error
        if not received:
            raise self._failure('the peer closed the connection')
        self._parser.feed(received)

    def _failure(self, message: str) -> exceptions.ConnectionFailedError:
        return exceptions.ConnectionFailedError(
            message, sent=self._sent, step=_STEP, peer=str(self._address)
        )

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
