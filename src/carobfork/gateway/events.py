"""Split event streams (server-sent events) and check their order.

The bytes of an event are kept as the backend server sent them.
"""

import attrs

from carobfork import exceptions

MAX_EVENT_BYTES = 262_144
"""Longest event: many times the longest output of one step, and little of a
host's memory even if many streams send such events."""
_SEPARATORS = (b'\n\n', b'\r\n\r\n')
_ID = b'id:'
_CONTENT = b'data:'


class EventTooLargeError(exceptions.BadRequestError):
    """A backend server's event does not end."""

    code = 'event_too_large'


class EventOrderError(exceptions.CallFailedError):
    """A backend server's stream skipped an event."""

    code = 'event_order'


@attrs.frozen
class Event:
    """A complete event.

    :param raw: its bytes, with the empty line that ends it.
    :param number: its identifier, if it is a whole number.
    """

    raw: bytes
    number: int | None = None

    @property
    def payload(self) -> bytes:
        """Content of the event's data lines, joined by newlines."""
        lines = [
            line[len(_CONTENT) :].removeprefix(b' ')
            for line in self.raw.splitlines()
            if line.startswith(_CONTENT)
        ]
        return b'\n'.join(lines)


class EventSplitter:
    """Incremental splitter of a stream's bytes into events."""

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self.remainder = bytearray()

    def feed(self, piece: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete.

        :raises EventTooLargeError: if an event is longer than accepted.
        """
        self.remainder.extend(piece)
        found = []
        while True:
            end = self._event_end()
            if end < 0:
                self._check_remainder()
                return found
            raw = bytes(self.remainder[:end])
            self.remainder = self.remainder[end:]
            found.append(Event(raw, _number(raw)))

    def _check_remainder(self) -> None:
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f'an event is longer than {MAX_EVENT_BYTES} bytes',
                step='split events',
            )

    def _event_end(self) -> int:
        ends = [
            place + len(separator)
            for separator in _SEPARATORS
            if (place := self.remainder.find(separator)) >= 0
        ]
        return min(ends, default=-1)


class EventLog:
    """Events that a caller was sent of a stream, over all attempts.

    :param last: identifier of the last event that the caller had before;
        empty if it had none.
    """

    def __init__(self, last: str = '') -> None:
        """Create an empty log that continues after an event."""
        self.count = 0
        self.last_id = last
        self._payloads: list[bytes] = []

    def accept(self, event: Event) -> bool:
        """Record an event and tell whether it is new to the caller.

        :raises EventOrderError: if an event before it is missing.
        """
        if event.number is not None and self.last_id.isdigit():
            expected = int(self.last_id) + 1
            if event.number < expected:
                return False
            if event.number > expected:
                raise EventOrderError(
                    f'received event {event.number}, expected {expected}',
                    step='relay',
                )
        if event.number is not None:
            self.last_id = str(event.number)
        self.count += 1
        self._payloads.append(event.payload)
        return True

    def content(self) -> bytes:
        """Return the data of all recorded events, each with a newline."""
        return b''.join(b'%b\n' % line for line in self._payloads)


def _number(raw: bytes) -> int | None:
    """Return an event's identifier, or None if it is not a whole number."""
    for line in raw.splitlines():
        if line.startswith(_ID):
            digits = line[len(_ID) :].strip()
            return int(digits) if digits.isdigit() else None
    return None
