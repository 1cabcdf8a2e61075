"""Index the software versions that write streams, by attempt."""

import attrs

from carobfork.storage import messages


@attrs.frozen
class _StreamEntry:
    """The version that writes a stream, and when it expires."""

    stream: messages.StreamVersion
    expires_ms: float


class StreamIndex:
    """The last choice of a version for each attempt that began a stream."""

    def __init__(self) -> None:
        """Create an empty index."""
        self._entries: dict[str, _StreamEntry] = {}
        self._versions: dict[
            messages.StreamVersion, messages.StreamVersion
        ] = {}

    def apply(self, charge: messages.Charge, expires_ms: float) -> None:
        """Add the version of a charge's stream, unless a later one is known."""
        if charge.stream is None:
            return
        stream = charge.stream
        known = self._entries.get(charge.attempt)
        if known is not None:
            stream = max(known.stream, stream, key=number_of)
            expires_ms = max(known.expires_ms, expires_ms)
        # Most streams have the same version, which is kept in memory once.
        stream = self._versions.setdefault(stream, stream)
        self._entries[charge.attempt] = _StreamEntry(stream, expires_ms)

    def get(self, attempt: str) -> messages.StreamVersion | None:
        """Return the version that writes an attempt's stream, if known."""
        entry = self._entries.get(attempt)
        return entry.stream if entry else None

    def number(self, attempt: str) -> int:
        """Return the number of the last choice for an attempt, 0 if none."""
        return number_of(self.get(attempt))

    def covers(self, charge: messages.Charge) -> bool:
        """Return whether a charge brings no later choice of a version."""
        return number_of(charge.stream) <= self.number(charge.attempt)

    def expire(self, now_ms: float) -> None:
        """Remove expired entries."""
        for attempt, entry in list(self._entries.items()):
            if entry.expires_ms < now_ms:
                self._entries.pop(attempt)


def number_of(stream: messages.StreamVersion | None) -> int:
    """Return the number of a choice, 0 if there is none."""
    return stream.number if stream else 0
