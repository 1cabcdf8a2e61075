"""Read HTTP/1.1 messages from a connection, within limits.

A peer may send bytes without end, so each part of a message has a limit.
"""

import string
from collections.abc import Callable, Iterator

import gevent
from gevent import socket

from carobfork import exceptions
from carobfork.gateway import framing, rooms

READ_BYTES = 16_384
"""Most bytes received at a time before it is known what they belong to; they
aren't counted as a part of a message."""
BODY_READ_BYTES = 65_536
"""Most bytes of a body of known length received at a time."""
YIELD_BYTES = 65_536
"""Bytes after which a reader lets others run, even if more have arrived: a peer
that sends without a pause would keep the process from all else."""
CHUNK_COST_BYTES = 256
"""What reading a chunk costs beyond its length: about the processor time for so
many bytes of a large one."""
FREE_BYTES = 2048
"""Part of a head that arrives without a reservation: most arrive whole, and the
rest is little beside what a connection takes by itself."""
_HEX = 16
_HEX_DIGITS = string.hexdigits.encode()
_MAX_CHUNK_LINE_BYTES = 256
"""Longest line with a chunk's size and extensions, or of a trailer."""
_MAX_TRAILERS = 32
"""Most trailer lines after the last chunk."""
_MAX_EMPTY_LINES = 8
"""Most empty lines before a head; HTTP allows a few for older peers."""


class _Share:
    """A peer's share of the processor while its bytes are waiting."""

    def __init__(self) -> None:
        self._spent_bytes = 0

    def spend(self, cost_bytes: int) -> None:
        """Let other greenlets run after a bounded amount of work."""
        self._spent_bytes += cost_bytes
        if self._spent_bytes >= YIELD_BYTES:
            self._spent_bytes = 0
            gevent.sleep(0)


class Reader:
    """Buffered reader of HTTP messages.

    Bytes received beyond the end of a message are kept for the next one.

    :param sock: a connected gevent socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Create a reader with an empty buffer."""
        self.buffered = bytearray()
        self._sock = sock
        self._empty_lines = 0
        self._share = _Share()

    def read_head(
        self, limit: int, room: rooms.MessageRoom | None = None
    ) -> framing.Head | None:
        """Read a head, or return None if the connection ended before it.

        :param limit: longest accepted head in bytes.
        :param room: the room for what arrives of a long one; by default it has
            all it needs.
        :raises framing.FramingError: if the head is malformed.
        :raises framing.HeadTooLargeError: if the head is longer than ``limit``.
        :raises EOFError: if the connection ended inside the head.
        :raises NoRoomError: if the host has no room for it.
        :raises OSError: if the connection failed.
        """
        self._empty_lines = 0
        self._skip_empty_lines()
        end = self.buffered.find(framing.HEAD_END)
        while end < 0:
            if len(self.buffered) > limit:
                raise framing.HeadTooLargeError(
                    f'the head is longer than {limit} bytes', step='read'
                )
            if not self._fill_head(limit, room):
                return _end_before_head(self.buffered)
            self._skip_empty_lines()
            end = self.buffered.find(framing.HEAD_END)
        if end > limit:
            raise framing.HeadTooLargeError(
                f'the head is longer than {limit} bytes', step='read'
            )
        raw = bytes(self.buffered[:end])
        _drop(self.buffered, end + len(framing.HEAD_END))
        return framing.parse_head(raw)

    def iter_body(self, shape: framing.BodyShape) -> Iterator[bytes]:
        """Yield a body's bytes as they arrive, without chunk framing.

        :raises framing.FramingError: if a chunk is malformed.
        :raises EOFError: if the connection ended inside the body.
        """
        if shape.is_chunked:
            yield from self._chunks()
        elif shape.length is None:
            yield from self._until_end()
        else:
            yield from self._counted(shape.length)

    def read_body(
        self,
        shape: framing.BodyShape,
        limit: int,
        room: rooms.MessageRoom | None = None,
    ) -> bytes:
        """Read a whole body.

        :param limit: longest accepted body in bytes.
        :param room: the room for the body; by default it has all it needs.
        :raises framing.FramingError: if a chunk is malformed.
        :raises TooLargeError: if the body is longer than ``limit``.
        :raises EOFError: if the connection ended inside the body.
        :raises NoRoomError: if the host has no room for it.
        """
        if shape.length is None:
            return _join_pieces(self.iter_body(shape), limit, room)
        if shape.length > limit:
            raise _too_large(limit)
        if room is not None:
            room.reserve(shape.length)
        if shape.length <= len(self.buffered):
            return self._take(shape.length)
        return self._read_counted(shape.length, room)

    def _read_counted(
        self, length: int, room: rooms.MessageRoom | None
    ) -> bytes:
        """Read a body of a known length into memory of that length."""
        body = bytearray(length)
        filled = len(self.buffered)
        with memoryview(body) as view:
            view[:filled] = self._take(filled)  # noqa: WPS362
            while filled < length:
                received = self._sock.recv_into(
                    view[filled : filled + BODY_READ_BYTES]
                )
                if not received:
                    raise EOFError('the connection ended inside a body')
                filled += received
                if room is not None:
                    room.record_received(filled)
                self._share.spend(received)
        return bytes(body)

    def _skip_empty_lines(self) -> None:
        while self.buffered.startswith(framing.LINE_END):
            _drop(self.buffered, len(framing.LINE_END))
            self._empty_lines += 1
            if self._empty_lines > _MAX_EMPTY_LINES:
                raise framing.FramingError(
                    f'more than {_MAX_EMPTY_LINES} empty lines before a head',
                    step='read',
                )

    def _fill_head(self, limit: int, room: rooms.MessageRoom | None) -> bool:
        is_filled = self._fill()
        if room is not None and len(self.buffered) > FREE_BYTES:
            room.grow(len(self.buffered), limit)
        return is_filled

    def _fill(self) -> bool:
        received = self._sock.recv(READ_BYTES)
        self.buffered.extend(received)
        self._share.spend(len(received))
        return bool(received)

    def _fill_or_raise(self) -> None:
        if not self._fill():
            raise EOFError('the connection ended inside a body')

    def _take(self, limit: int) -> bytes:
        taken = bytes(self.buffered[:limit])
        _drop(self.buffered, len(taken))
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
            self._share.spend(CHUNK_COST_BYTES)
            size = self._chunk_size()
        _skip_trailers(self._line)

    def _chunk_size(self) -> int:
        digits = self._line().partition(b';')[0].strip(b' \t')
        if not digits or digits.strip(_HEX_DIGITS):
            raise framing.FramingError(
                'the size of a chunk is not a hexadecimal number',
                step='frame body',
            )
        return int(digits, _HEX)

    def _expect_line_end(self) -> None:
        while len(self.buffered) < len(framing.LINE_END):
            self._fill_or_raise()
        if self._take(len(framing.LINE_END)) != framing.LINE_END:
            raise framing.FramingError(
                'a chunk is longer than its size', step='frame body'
            )

    def _line(self) -> bytes:
        end = self.buffered.find(framing.LINE_END)
        while end < 0:
            if len(self.buffered) > _MAX_CHUNK_LINE_BYTES:
                raise framing.FramingError(
                    'a chunk size or trailer line is longer than '
                    f'{_MAX_CHUNK_LINE_BYTES} bytes',
                    step='read',
                )
            self._fill_or_raise()
            end = self.buffered.find(framing.LINE_END)
        line = self._take(end)
        _drop(self.buffered, len(framing.LINE_END))
        return line


def _join_pieces(
    pieces: Iterator[bytes], limit: int, room: rooms.MessageRoom | None
) -> bytes:
    """Read a body of a length that is not known before its end."""
    body = bytearray()
    roomy_bytes = limit if room is None else 0
    for piece in pieces:
        total_bytes = len(body) + len(piece)
        if total_bytes > limit:
            raise _too_large(limit)
        if total_bytes > roomy_bytes:
            roomy_bytes = room.grow(total_bytes, limit)
        body.extend(piece)
    return bytes(body)


def _end_before_head(buffered: bytearray) -> None:
    if buffered:
        raise EOFError('the connection ended inside a head')


def _drop(buffered: bytearray, count: int) -> None:
    """Remove bytes from the start of a buffer, without moving the rest."""
    del buffered[:count]  # noqa: WPS420


def _too_large(limit: int) -> exceptions.TooLargeError:
    return exceptions.TooLargeError(
        f'the body is longer than {limit} bytes', step='read'
    )


def _skip_trailers(read_line: Callable[[], bytes]) -> None:
    for _ in range(_MAX_TRAILERS + 1):
        if not read_line():
            return
    raise framing.FramingError(
        f'more than {_MAX_TRAILERS} trailer lines', step='frame body'
    )
