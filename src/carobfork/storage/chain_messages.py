"""Define the messages by which entry hosts read stored turns in parts."""

import attrs

from carobfork.storage import messages

PAGE_BYTES = 131_072
"""Most bytes in one reply: a few milliseconds on the slowest link of a store
host, and little of a host's memory even if many are on their way."""


@attrs.frozen
class TurnPart:
    """A part of a turn's request and events.

    :param start: position of its first byte.
    :param length: number of bytes.
    """

    turn: str
    start: int
    length: int


@messages.register
@attrs.frozen
class ReadTurns:
    """Request parts of turns, together ``PAGE_BYTES`` at most."""

    parts: list[TurnPart]

    @property
    def length(self) -> int:
        """The length of all parts in bytes."""
        return sum(part.length for part in self.parts)


@messages.register
@attrs.frozen
class TurnBytes:
    """The reply to ``ReadTurns``.

    :param content: the parts, one after the other; ``None`` if the member does
        not hold them all, or has no room for them now.
    """

    content: bytes | None
