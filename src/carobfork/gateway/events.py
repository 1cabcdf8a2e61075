"""Split event streams (server-sent events) and check their order.

The bytes of an event are kept as the backend server sent them.
"""

import re

import attrs

from carobfork import exceptions

MAX_EVENT_BYTES = 262_144
"""Longest event, and most bytes without an event in a stream: many times the
longest output of one step, and little of a host's memory even if many streams
send such events."""
_SEPARATOR = re.compile(rb'\n\n|\r\n\r\n')
_SEPARATOR_BYTES = 4
_LINE_BYTE = re.compile(rb'[^\r\n]')
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
    def has_content(self) -> bool:
        """Whether it is more than comments and lines without data."""
        return self.number is not None or any(
            line.startswith(_CONTENT) for line in self.raw.splitlines()
        )

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
    """Incremental splitter of a stream's bytes into events.

    Empty lines before an event are a part of it.
    """

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self.remainder = bytearray()
        self._searched_bytes = 0
        # Where the first line of an incomplete event begins.
        self._line_start: int | None = None

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return self._line_start is not None

    def feed(self, piece: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete.

        :raises EventTooLargeError: if an event is longer than accepted.
        """
        self.remainder.extend(piece)
        found = []
        start = 0
        while end := self._event_end():
            raw = bytes(self.remainder[start:end])
            found.append(Event(raw, _number(raw)))
            self._line_start = None
            self._searched_bytes = end
            start = end
        del self.remainder[:start]  # noqa: WPS420
        if self._line_start is not None:
            self._line_start -= start
        self._searched_bytes = len(self.remainder)
        self._check_remainder()
        return found

    def _event_end(self) -> int:
        """Return where the event that has begun ends, or 0 if it does not.

        What was searched before is not searched again.
        """
        if self._line_start is None:
            line = _LINE_BYTE.search(self.remainder, self._searched_bytes)
            if line is None:
                return 0
            self._line_start = line.start()
        overlap = self._searched_bytes - _SEPARATOR_BYTES
        separator = _SEPARATOR.search(
            self.remainder, max(self._line_start, overlap)
        )
        return separator.end() if separator else 0

    def _check_remainder(self) -> None:
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f'an event is longer than {MAX_EVENT_BYTES} bytes',
                step='split events',
            )


class EventLog:
    """Events that a caller was sent of a stream by this host.

    :param last: identifier of the last event that the caller had before;
        empty if it had none.
    :param keeps_content: whether the data of the events is needed later.
    """

    def __init__(self, last: str = '', keeps_content: bool = True) -> None:
        """Create an empty log that continues after an event."""
        self.count = 0
        self.content_bytes = 0
        self.last_id = last
        self._keeps_content = keeps_content
        self._payloads: list[bytes] = []

    def accept(self, event: Event) -> bool:
        """Record an event and tell whether it is new to the caller.

        What has no content is passed on, but is no event of the stream.

        :raises EventOrderError: if an event before it is missing.
        """
        if not event.has_content:
            return True
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
        if self._keeps_content:
            payload = event.payload
            self.content_bytes += len(payload) + 1
            self._payloads.append(payload)
        return True

    def restore(self, payloads: list[bytes]) -> None:
        """Add the data of the events that the caller had before."""
        self.content_bytes += sum(len(payload) + 1 for payload in payloads)
        self._payloads = [*payloads, *self._payloads]

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
