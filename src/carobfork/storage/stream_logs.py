"""Index the parts of streams on one disk, to be read when one is taken up."""

from collections.abc import Iterator

import attrs

from carobfork.storage import messages, segments

PartKey = tuple[int, str, int, bool]
"""Number of the take, its attempt, the position of the part, and whether it has
events: the part that claims a take has the position of the first events."""


@attrs.define
class _StreamLog:
    """Where the parts of one stream are, and when they expire.

    :param takes: the attempts that have taken it up, by the number of the take.
    """

    expires_ms: float
    parts: dict[PartKey, segments.RecordLocation] = attrs.Factory(dict)
    takes: dict[int, str] = attrs.Factory(dict)


class StreamLogs:
    """The parts of all streams on a disk, by the attempts that began them.

    :param files: the disk's record files.
    """

    def __init__(self, files: segments.Segments) -> None:
        """Create an empty index."""
        self._files = files
        self._logs: dict[str, _StreamLog] = {}

    def apply(
        self,
        part: messages.StreamPart,
        location: segments.RecordLocation,
        expires_ms: float,
    ) -> None:
        """Add a part that was written at a location."""
        log = self._logs.setdefault(part.stream, _StreamLog(expires_ms))
        log.expires_ms = max(log.expires_ms, expires_ms)
        log.parts[_key(part)] = location
        log.takes.setdefault(part.take, part.attempt)

    def claim(self, part: messages.StreamPart, until_ms: float) -> bool:
        """Return whether an attempt may write parts with its number.

        The first attempt that asks for a number has it, also while its part is
        being written.

        :param until_ms: the time until which the claim holds at least.
        """
        log = self._logs.setdefault(part.stream, _StreamLog(until_ms))
        return log.takes.setdefault(part.take, part.attempt) == part.attempt

    def covers(self, part: messages.StreamPart) -> bool:
        """Return whether a part is known."""
        log = self._logs.get(part.stream)
        return log is not None and _key(part) in log.parts

    def read(self, stream: str) -> list[bytes]:
        """Return the encoded records of a stream's parts."""
        log = self._logs.get(stream)
        return list(map(self._files.read, log.parts.values())) if log else []

    def dump(self) -> Iterator[tuple[segments.RecordLocation, float]]:
        """Yield where all parts are, and when they expire."""
        for log in list(self._logs.values()):
            for location in log.parts.values():
                yield location, log.expires_ms

    def expire(self, until_ms: float) -> None:
        """Remove expired streams."""
        for stream, log in list(self._logs.items()):
            if log.expires_ms < until_ms:
                self._logs.pop(stream)


def _key(part: messages.StreamPart) -> PartKey:
    return part.take, part.attempt, part.position, bool(part.events)
