"""Events: server-sent events cut at their borders, passed on as bytes."""

import attrs

from carobfork import exceptions

_SEPARATORS = (b'\n\n', b'\r\n\r\n')
_ID = b'id:'
_CONTENT = b'data:'


class EventOrderError(exceptions.CallFailedError):
    """A backend server's stream skipped or repeated an event."""

    code = 'event_order'


@attrs.frozen
class Event:
    """One whole event.

    :param raw: its bytes with the closing empty line.
    :param number: its identifier, if it has one that counts.
    """

    raw: bytes
    number: int | None = None

    @property
    def payload(self) -> bytes:
        """What the event carries, its lines joined."""
        lines = [
            line[len(_CONTENT) :].removeprefix(b' ')
            for line in self.raw.splitlines()
            if line.startswith(_CONTENT)
        ]
        return b'\n'.join(lines)


class EventSplitter:
    """Cut a stream's bytes into whole events."""

    def __init__(self) -> None:
        """Start with nothing left over."""
        self.remainder = bytearray()

    def feed(self, piece: bytes) -> list[Event]:
        """Return the events that a piece completes."""
        self.remainder.extend(piece)
        found = []
        while True:
            end = self._event_end()
            if end < 0:
                return found
            raw = bytes(self.remainder[:end])
            self.remainder = self.remainder[end:]
            found.append(Event(raw, _number(raw)))

    def _event_end(self) -> int:
        ends = [
            place + len(separator)
            for separator in _SEPARATORS
            if (place := self.remainder.find(separator)) >= 0
        ]
        return min(ends, default=-1)


class EventLog:
    """What a caller was given of a stream, over all its runs.

    :param last: the last event that the caller had before.
    """

    def __init__(self, last: str = '') -> None:
        """Start after an event."""
        self.count = 0
        self.last_id = last
        self._payloads: list[bytes] = []

    def accept(self, event: Event) -> bool:
        """Note an event; tell whether it is new to the caller.

        :raises EventOrderError: an event before it is missing.
        """
        if event.number is not None and self.last_id.isdigit():
            expected = int(self.last_id) + 1
            if event.number < expected:
                return False
            if event.number > expected:
                raise EventOrderError(
                    f'event {event.number} came instead of {expected}',
                    step='relay',
                )
        if event.number is not None:
            self.last_id = str(event.number)
        self.count += 1
        self._payloads.append(event.payload)
        return True

    def content(self) -> bytes:
        """Return the data of all events, a line each."""
        return b''.join(b'%b\n' % line for line in self._payloads)


def _number(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if line.startswith(_ID):
            digits = line[len(_ID) :].strip()
            return int(digits) if digits.isdigit() else None
    return None
