"""Parse and encode HTTP/1.1 messages strictly.

Messages with an ambiguous length are refused. A backend server that frames
such a request differently would read a second request inside the first
(request smuggling).
"""

import attrs

from carobfork import exceptions

MAX_HEAD_BYTES = 65_536
"""Longest head of a response."""
LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'
_NAME_BYTES = frozenset(
    b"!#$%&'*+-.^_`|~0123456789"
    b'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz'
)
_CONTROL_CHARACTERS = frozenset((*map(chr, range(ord(' '))), '\x7f'))
SHOWN_LENGTH = 80
"""Length of the part of a malformed line that an error shows."""
_MAX_LENGTH_DIGITS = 18
"""Most digits of a content length, so that it is a number that can be used."""
_CONTENT_LENGTH = 'content-length'
_TRANSFER_ENCODING = 'transfer-encoding'
_BODILESS_STATUSES = frozenset(('204', '304'))
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
    """The bytes are not an HTTP message, or its length is ambiguous."""

    code = 'bad_framing'


class HeadTooLargeError(exceptions.BadRequestError):
    """The head of a message is longer than the limit."""

    code = 'head_too_large'
    http_status = 431


@attrs.frozen
class Head:
    """First line and headers of a message.

    :param first: the three parts of the first line.
    :param fields: each header's name in lower case, value and name as
        received.
    """

    first: tuple[str, str, str]
    fields: tuple[tuple[str, str, str], ...] = attrs.field(repr=False)

    def get(self, name: str, default: str = '') -> str:
        """Return the first value of a header.

        :param name: the header's name in lower case.
        :param default: returned if the header is absent.
        """
        for known, text, _spelled in self.fields:
            if known == name:
                return text
        return default

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header.

        :param name: the header's name in lower case.
        """
        return [text for known, text, _ in self.fields if known == name]

    def end_to_end(self) -> list[tuple[str, str]]:
        """Return the headers that a proxy passes on.

        Hop-by-hop headers and those that Connection names are left out.
        """
        named = ','.join(self.get_all('connection')).lower().split(',')
        dropped = _HOP_BY_HOP.union(name.strip() for name in named)
        return [
            (spelled, text)
            for known, text, spelled in self.fields
            if known not in dropped
        ]

    @property
    def keeps_open(self) -> bool:
        """Whether the sender keeps the connection open after the message."""
        options = ','.join(self.get_all('connection')).lower()
        if 'close' in options:
            return False
        return 'HTTP/1.1' in self.first or 'keep-alive' in options


def parse_head(raw: bytes) -> Head:
    """Parse a head.

    Control characters are refused in all lines. Some servers take a single
    line feed or carriage return for the end of a line, and would find another
    message inside this one. Source: RFC 9112, sections 2.2 and 3; RFC 9110,
    section 5.5.

    :param raw: its bytes without the empty line that ends it.
    :raises FramingError: if it is malformed.
    """
    lines = raw.decode('latin-1').split('\r\n')
    first = lines[0].split(' ', 2)
    if len(first) != 3:
        raise FramingError(
            'the first line does not have three parts', step='parse head'
        )
    if not _CONTROL_CHARACTERS.isdisjoint(lines[0]):
        raise FramingError(
            'a control character in the first line'
            f' {lines[0][:SHOWN_LENGTH]!r}',
            step='parse head',
        )
    return Head(tuple(first), tuple(_parse_field(line) for line in lines[1:]))


def _parse_field(line: str) -> tuple[str, str, str]:
    name, colon, content = line.partition(':')
    text = content.strip(' \t')
    is_valid = bool(colon) and is_token(name)
    if not is_valid or not _CONTROL_CHARACTERS.isdisjoint(
        text.replace('\t', ' ')
    ):
        # The line may hold a caller's key, so only a name is shown.
        shown = name[:SHOWN_LENGTH] if colon and is_token(name) else ''
        raise FramingError(
            f'a header line of {len(line)} characters is malformed'
            f' (its name is {shown!r})',
            step='parse head',
        )
    return name.lower(), text, name


def is_token(text: str) -> bool:
    """Return whether a text can be the name of a header or a method."""
    return bool(text) and _NAME_BYTES.issuperset(text.encode('latin-1'))


@attrs.frozen
class BodyShape:
    """How the end of a body is found.

    :param length: the body's length in bytes, if it is known.
    :param is_chunked: whether the body has the chunked transfer encoding.
    """

    length: int | None = None
    is_chunked: bool = False

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body lasts until the connection is closed."""
        return self.length is None and not self.is_chunked


def request_shape(head: Head) -> BodyShape:
    """Return how the end of a request's body is found.

    :raises FramingError: if its length is ambiguous.
    """
    shape = _declared_shape(head)
    if shape.ends_with_connection:
        return BodyShape(length=0)
    return shape


def response_shape(head: Head, method: str) -> BodyShape:
    """Return how the end of a response's body is found.

    :param method: the request's method.
    :raises FramingError: if its length is ambiguous.
    """
    if method == 'HEAD' or head.first[1] in _BODILESS_STATUSES:
        return BodyShape(length=0)
    return _declared_shape(head)


def _declared_shape(head: Head) -> BodyShape:
    encodings = head.get_all(_TRANSFER_ENCODING)
    lengths = set(head.get_all(_CONTENT_LENGTH))
    if encodings:
        if lengths or [text.lower() for text in encodings] != ['chunked']:
            raise FramingError(
                'the transfer encoding is not just chunked, '
                'or there is a content length, too',
                step='frame body',
            )
        return BodyShape(is_chunked=True)
    if not lengths:
        return BodyShape()
    length = lengths.pop()
    is_number = length.isascii() and length.isdigit()
    if lengths or not is_number or len(length) > _MAX_LENGTH_DIGITS:
        raise FramingError(
            'the content length is ambiguous, not a number or too long',
            step='frame body',
        )
    return BodyShape(length=int(length))


def encode_head(first: str, fields: list[tuple[str, str]]) -> bytes:
    """Return the bytes of a head, with the empty line that ends it.

    :param first: the first line.
    :param fields: names and values of the headers.
    """
    lines = [first, *(f'{name}: {text}' for name, text in fields), '', '']
    return '\r\n'.join(lines).encode('latin-1')


def encode_chunk(piece: bytes) -> bytes:
    """Return a piece of a body as a chunk.

    :param piece: must not be empty, since an empty chunk ends the body.
    """
    return b'%x\r\n%b\r\n' % (len(piece), piece)


LAST_CHUNK = b'0\r\n\r\n'
