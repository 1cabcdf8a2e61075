"""Framing: HTTP/1.1 heads and bodies, read strictly from a socket.

Requests with an ambiguous length are refused, since a peer that frames them
otherwise would read a second request inside the first.
"""

import string
from collections.abc import Iterator

import attrs
from gevent import socket

from carobfork import exceptions

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
"""Longest head of a backend server's response."""
LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'
_NAME_BYTES = frozenset(
    b"!#$%&'*+-.^_`|~0123456789"
    b'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz'
)
_HEX = 16
_HEX_DIGITS = string.hexdigits.encode()
_MAX_CHUNK_LINE_BYTES = 256
_CONTENT_LENGTH = 'content-length'
_TRANSFER_ENCODING = 'transfer-encoding'
_BODILESS_STATUSES = frozenset((204, 304))
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        _TRANSFER_ENCODING,
        'upgrade',
        _CONTENT_LENGTH,
    )
)


class FramingError(exceptions.BadRequestError):
    """The bytes are no HTTP message that can be framed safely."""

    code = 'bad_framing'


class HeadTooLargeError(exceptions.BadRequestError):
    """The head is larger than this system accepts."""

    code = 'head_too_large'
    http_status = 431


@attrs.frozen
class Head:
    """First line and headers of a message; names are in lower case.

    :param first: the three parts of the first line.
    :param fields: names, values and the names as they were spelled.
    """

    first: tuple[str, str, str]
    fields: tuple[tuple[str, str, str], ...]

    def get(self, name: str, default: str = '') -> str:
        """Return the first value of a header."""
        for known, text, _spelled in self.fields:
            if known == name:
                return text
        return default

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header."""
        return [text for known, text, _ in self.fields if known == name]

    def end_to_end(self) -> list[tuple[str, str]]:
        """Return the headers that concern more than one connection."""
        named = self.get('connection').lower().split(',')
        dropped = _HOP_BY_HOP.union(name.strip() for name in named)
        return [
            (spelled, text)
            for known, text, spelled in self.fields
            if known not in dropped
        ]

    @property
    def keeps_open(self) -> bool:
        """Whether the sender goes on using the connection."""
        options = self.get('connection').lower()
        if 'close' in options:
            return False
        return 'HTTP/1.1' in self.first or 'keep-alive' in options


def parse_head(raw: bytes) -> Head:
    """Parse a head without its closing empty line.

    :raises FramingError: it is malformed.
    """
    text = raw.decode('latin-1')
    if '\0' in text:
        raise FramingError('a zero byte in the head', step='parse head')
    lines = text.split('\r\n')
    first = lines[0].split(' ', 2)
    if len(first) != 3:
        raise FramingError('the first line is malformed', step='parse head')
    return Head(tuple(first), tuple(_parse_field(line) for line in lines[1:]))


def _parse_field(line: str) -> tuple[str, str, str]:
    name, colon, content = line.partition(':')
    is_valid = bool(colon and name) and _NAME_BYTES.issuperset(
        name.encode('latin-1')
    )
    if not is_valid or '\n' in content or '\r' in content:
        raise FramingError('a header is malformed', step='parse head')
    return name.lower(), content.strip(' \t'), name


@attrs.frozen
class BodyShape:
    """How a body ends: after a length, by chunks, or with the connection."""

    length: int | None = None
    is_chunked: bool = False

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return self.length is None and not self.is_chunked


def request_shape(head: Head) -> BodyShape:
    """Return how a request's body ends.

    :raises FramingError: its length is ambiguous.
    """
    shape = _declared_shape(head)
    if shape.ends_with_connection:
        return BodyShape(length=0)
    return shape


def response_shape(head: Head, method: str) -> BodyShape:
    """Return how a response's body ends.

    :raises FramingError: its length is ambiguous.
    """
    if method == 'HEAD' or int(head.first[1]) in _BODILESS_STATUSES:
        return BodyShape(length=0)
    return _declared_shape(head)


def _declared_shape(head: Head) -> BodyShape:
    encodings = head.get_all(_TRANSFER_ENCODING)
    lengths = set(head.get_all(_CONTENT_LENGTH))
    if encodings:
        if lengths or [text.lower() for text in encodings] != ['chunked']:
            raise FramingError('the body has two lengths', step='frame body')
        return BodyShape(is_chunked=True)
    if not lengths:
        return BodyShape()
    length = lengths.pop()
    if lengths or not (length.isascii() and length.isdigit()):
        raise FramingError('the content length is wrong', step='frame body')
    return BodyShape(length=int(length))


class Reader:
    """Read messages from a socket, keeping what came too early.

    :param sock: a connected gevent socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Start with nothing read."""
        self.buffered = bytearray()
        self._sock = sock

    def read_head(self, limit: int) -> Head | None:
        """Return the next head, or nothing at a clean end.

        :raises FramingError: the bytes are no head.
        :raises HeadTooLargeError: it is longer than ``limit``.
        :raises OSError: the connection failed.
        """
        self._skip_empty_lines()
        end = self.buffered.find(HEAD_END)
        while end < 0:
            if len(self.buffered) > limit:
                raise HeadTooLargeError('the head is too long', step='read')
            if not self._fill():
                return self._end_before_head()
            self._skip_empty_lines()
            end = self.buffered.find(HEAD_END)
        if end > limit:
            raise HeadTooLargeError('the head is too long', step='read')
        raw = bytes(self.buffered[:end])
        self._drop(end + len(HEAD_END))
        return parse_head(raw)

    def iter_body(self, shape: BodyShape) -> Iterator[bytes]:
        """Yield a body's bytes as they come.

        :raises FramingError: chunks are malformed.
        :raises EOFError: the connection ended inside the body.
        """
        if shape.is_chunked:
            yield from self._chunks()
        elif shape.length is None:
            yield from self._until_end()
        else:
            yield from self._counted(shape.length)

    def read_body(self, shape: BodyShape, limit: int) -> bytes:
        """Return a whole body.

        :raises TooLargeError: it is longer than ``limit`` bytes.
        """
        if (shape.length or 0) > limit:
            raise exceptions.TooLargeError('the body is too large', step='read')
        body = bytearray()
        for piece in self.iter_body(shape):
            body.extend(piece)
            if len(body) > limit:
                raise exceptions.TooLargeError(
                    'the body is too large', step='read'
                )
        return bytes(body)

    def _skip_empty_lines(self) -> None:
        while self.buffered.startswith(LINE_END):
            self._drop(len(LINE_END))

    def _end_before_head(self) -> None:
        if self.buffered:
            raise EOFError('the connection ended inside a head')

    def _fill(self) -> bool:
        received = self._sock.recv(READ_BYTES)
        self.buffered.extend(received)
        return bool(received)

    def _fill_or_raise(self) -> None:
        if not self._fill():
            raise EOFError('the connection ended inside a body')

    def _drop(self, count: int) -> None:
        del self.buffered[:count]  # noqa: WPS420

    def _take(self, limit: int) -> bytes:
        taken = bytes(self.buffered[:limit])
        self._drop(len(taken))
        return taken

    def _counted(self, length: int) -> Iterator[bytes]:
        left = length
        while left:
            if not self.buffered:
                self._fill_or_raise()
            piece = self._take(left)
            left -= len(piece)
            yield piece

    def _until_end(self) -> Iterator[bytes]:
        while True:
            if self.buffered:
                yield self._take(READ_BYTES)
            if not self.buffered and not self._fill():
                return

    def _chunks(self) -> Iterator[bytes]:
        size = self._chunk_size()
        while size:
            yield from self._counted(size)
            self._expect_line_end()
            size = self._chunk_size()
        trailer = self._line()
        while trailer:
            trailer = self._line()

    def _chunk_size(self) -> int:
        digits = self._line().partition(b';')[0].strip(b' \t')
        if not digits or digits.strip(_HEX_DIGITS):
            raise FramingError('a chunk has no size', step='frame body')
        return int(digits, _HEX)

    def _expect_line_end(self) -> None:
        while len(self.buffered) < len(LINE_END):
            self._fill_or_raise()
        if self._take(len(LINE_END)) != LINE_END:
            raise FramingError('a chunk has no end', step='frame body')

    def _line(self) -> bytes:
        end = self.buffered.find(LINE_END)
        while end < 0:
            if len(self.buffered) > _MAX_CHUNK_LINE_BYTES:
                raise FramingError('a chunk line is too long', step='read')
            self._fill_or_raise()
            end = self.buffered.find(LINE_END)
        line = self._take(end)
        self._drop(len(LINE_END))
        return line


def encode_head(first: str, fields: list[tuple[str, str]]) -> bytes:
    """Return the bytes of a head, with its closing empty line."""
    lines = [first, *(f'{name}: {text}' for name, text in fields), '', '']
    return '\r\n'.join(lines).encode('latin-1')


def encode_chunk(piece: bytes) -> bytes:
    """Return a piece of a body as a chunk."""
    return b'%x\r\n%b\r\n' % (len(piece), piece)


LAST_CHUNK = b'0\r\n\r\n'
