"""Streams: an engine's answers, resumed and cancelled by identifier."""

import collections
from collections.abc import Iterator

import attrs
import gevent

from carobfork import clock
from carobfork.protocol import sse
from carobfork_standins import batching

STREAM_LIMIT = 2000


@attrs.define
class Stream:
    """A sequence and how many read it."""

    sequence: batching.Sequence
    readers: int = 0


class StreamTable:
    """Keep streams for a while after their readers left.

    :param linger_ms: how long.
    """

    def __init__(self, linger_ms: float) -> None:
        """Start without streams."""
        self.streams: collections.OrderedDict[str, Stream] = (
            collections.OrderedDict()
        )
        self._linger_ms = linger_ms

    def add(self, sequence: batching.Sequence) -> Stream:
        """Keep a sequence, dropping the oldest beyond the limit."""
        stream = Stream(sequence)
        self.streams[sequence.identifier] = stream
        while len(self.streams) > STREAM_LIMIT:
            self.streams.popitem(last=False)[1].sequence.cancel()
        return stream

    def cancel(self, identifier: str) -> bool:
        """Cancel a stream and tell whether it was known."""
        stream = self.streams.pop(identifier, None)
        if stream is not None:
            stream.sequence.cancel()
        return stream is not None

    def cancel_all(self, owner: str) -> int:
        """Cancel all streams of a program and return how many."""
        found = self.identifiers_of(owner)
        for identifier in found:
            self.cancel(identifier)
        return len(found)

    def identifiers_of(self, owner: str) -> list[str]:
        """Return the identifiers of a program's streams."""
        return [
            identifier
            for identifier, stream in self.streams.items()
            if stream.sequence.owner == owner
        ]

    def running(self) -> collections.Counter[str]:
        """Count the streams that still produce, by program."""
        return collections.Counter(
            stream.sequence.owner
            for stream in self.streams.values()
            if not stream.sequence.finished
        )

    def follow(self, stream: Stream, offset: int) -> Iterator[bytes]:
        """Yield a stream's events from a text offset in bytes."""
        stream.readers += 1
        try:
            yield from _events(stream.sequence, offset)
        finally:
            stream.readers -= 1
            gevent.spawn_later(
                clock.to_seconds(self._linger_ms), self._expire, stream
            )

    def _expire(self, stream: Stream) -> None:
        if not stream.readers:
            self.cancel(stream.sequence.identifier)


def _events(sequence: batching.Sequence, offset: int) -> Iterator[bytes]:
    sent, skip = 0, offset
    while sent < sequence.max_tokens:
        if sent == len(sequence.produced):
            if sequence.cancelled:
                raise ConnectionAbortedError('the stream was cancelled')
            sequence.progress.clear()
            sequence.progress.wait()
        fresh = sequence.produced[sent:]
        sent += len(fresh)
        text = ''.join(fresh).encode()
        if text[skip:]:
            yield b''.join(_encode(fresh, skip))
        skip = max(skip - len(text), 0)
    yield sse.encode_event({'choices': [], 'usage': sequence.usage()})
    yield sse.DONE


def _encode(tokens: list[str], skip: int) -> Iterator[bytes]:
    """Yield an event a token, without the first ``skip`` bytes of text."""
    for token in tokens:
        text = token.encode()[skip:]
        skip = max(skip - len(token.encode()), 0)
        if text:
            yield sse.encode_text(text.decode())
