"""Know how long the files of a disk are needed."""


class SegmentRetention:
    """The time until which each segment is needed, by its number."""

    def __init__(self) -> None:
        """Start without segments."""
        self._expiry_ms: dict[int, float] = {}

    def retain(self, segment: int, expires_ms: float) -> None:
        """Keep a segment until a wall-clock time at least."""
        known_ms = self._expiry_ms.get(segment, 0)
        self._expiry_ms[segment] = max(known_ms, expires_ms)

    def find_expired(self, until_ms: float) -> list[int]:
        """Return the segments that were needed until an earlier time."""
        return [
            segment
            for segment, expires_ms in self._expiry_ms.items()
            if expires_ms < until_ms
        ]

    def forget(self, segment: int) -> None:
        """Forget a segment that was removed."""
        self._expiry_ms.pop(segment)
