"""Locate stored turns on a disk and read their bytes in parts."""

from collections.abc import Iterable, Iterator
from typing import Any

import attrs
import msgspec
import structlog

from carobfork import exceptions
from carobfork.storage import chain_messages, messages, segments

MAX_CHAIN_TURNS = 512
"""Most turns that are listed at a time; bounds the work of one request."""
_RAW_RECORD = tuple[Any, Any, str, dict[str, msgspec.Raw]]

logger = structlog.get_logger(part='keeper')


class UnknownTurnError(exceptions.BadRequestError):
    """The store host does not hold a turn or a part of it."""

    code = 'unknown_turn'


@attrs.define
class TurnEntry:
    """The location of a turn and the time at which it expires.

    :param request_bytes: length of its request.
    :param events_bytes: length of its events.
    :param field_ends: where the values of its fields end in the record, once
        it has been read.
    """

    previous: str
    location: segments.RecordLocation
    expires_ms: float
    request_bytes: int
    events_bytes: int
    field_ends: dict[str, int] | None = None

    @property
    def length(self) -> int:
        """The length of the turn in a history, in bytes."""
        return self.request_bytes + self.events_bytes

    def locate(
        self, start: int, length: int
    ) -> Iterator[segments.RecordLocation]:
        """Yield where a part of the request and the events is stored.

        :param start: position in the turn's bytes.
        :param length: number of bytes.
        """
        field_start = 0
        for name, field_bytes in (
            ('request', self.request_bytes),
            ('events', self.events_bytes),
        ):
            first = max(start - field_start, 0)
            last = min(start + length - field_start, field_bytes)
            if first < last:
                begin = self.field_ends[name] - field_bytes + first
                yield segments.RecordLocation(
                    self.location.segment,
                    self.location.offset + begin,
                    last - first,
                )
            field_start += field_bytes


class StoredTurns:
    """The turns on one disk.

    :ivar entries: where they are, by the attempts that name them.
    :param files: the disk's record files.
    """

    def __init__(self, files: segments.Segments) -> None:
        """Create a set without turns."""
        self.entries: dict[str, TurnEntry] = {}
        self._files = files

    def list_chain(self, attempt: str) -> tuple[list[messages.TurnLength], str]:
        """Return a turn and its predecessors with their lengths, oldest first.

        :return: the part of the chain that is stored here, and the name of
            the newest turn that was not listed, or an empty string.
        """
        turns: list[messages.TurnLength] = []
        name = attempt
        while name and len(turns) < MAX_CHAIN_TURNS:
            entry = self.entries.get(name)
            if entry is None:
                break
            turns.append(messages.TurnLength(name, entry.length))
            name = entry.previous
        return list(reversed(turns)), name

    def read_short(
        self, turns: list[messages.TurnLength], max_bytes: int | None
    ) -> tuple[list[messages.TurnLength], bytes]:
        """Return the turns to be read later, and the bytes of the others.

        :param max_bytes: the longest chain to read now; ``None`` for any.
        """
        if max_bytes is not None:
            if sum(turn.length for turn in turns) > max_bytes:
                return turns, b''
        parts = (
            chain_messages.TurnPart(turn.turn, 0, turn.length) for turn in turns
        )
        return [], self._read_parts(parts)

    def handle_read(
        self, message: chain_messages.ReadTurns
    ) -> chain_messages.TurnBytes:
        """Return the reply to a request for parts of turns."""
        if message.length > chain_messages.PAGE_BYTES:
            return chain_messages.TurnBytes(None)
        try:
            return chain_messages.TurnBytes(self._read_parts(message.parts))
        except (UnknownTurnError, OSError) as error:
            logger.info('turns not read', reason=str(error))
            return chain_messages.TurnBytes(None)

    def _read_parts(self, parts: Iterable[chain_messages.TurnPart]) -> bytes:
        return b''.join(
            self._files.read(location)
            for part in parts
            for location in self._locate(part)
        )

    def _locate(
        self, part: chain_messages.TurnPart
    ) -> Iterator[segments.RecordLocation]:
        """Yield where a part of a turn is stored.

        :raises UnknownTurnError: if the turn is not, or is shorter.
        """
        entry = self.entries.get(part.turn)
        end = part.start + part.length
        if entry is None or end > entry.length:
            raise UnknownTurnError(
                f'no bytes {part.start} to {end} of turn {part.turn}',
                step='read',
            )
        if entry.field_ends is None:
            encoded = self._files.read(entry.location)
            entry.field_ends = _find_field_ends(encoded)
        yield from entry.locate(part.start, part.length)


def _find_field_ends(encoded: bytes) -> dict[str, int]:
    """Return where the values of a turn's fields end in its record."""
    fields = msgspec.msgpack.decode(encoded, type=_RAW_RECORD)[-1]
    ends = {}
    end = len(encoded)
    # The fields come last in a record, each after its name.
    for name in reversed(fields):
        ends[name] = end
        value_bytes = memoryview(fields[name]).nbytes
        end -= value_bytes + len(msgspec.msgpack.encode(name))
    return ends
