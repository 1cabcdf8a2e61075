"""Runs: model calls under way, followed by any number of readers."""

from collections.abc import Iterator

from gevent import event

from carobfork import clock
from carobfork.state import records


class ModelRun:
    """Buffer one model call's events for the callers that read them.

    The engine's stream fills the buffer at its own pace, so a slow reader
    stalls neither the engine nor other readers. The call's most tokens bound
    the buffer.

    :param digest: what a repeated call must match.
    :param timer: tells for how long nobody has read.
    """

    def __init__(self, digest: str, timer: clock.Clock) -> None:
        """Start without events."""
        self.digest = digest
        self.answer: records.AnswerRecorded | None = None
        self.worker = ''
        self.readers = 0
        self._timer = timer
        self._unread_since_ms = timer.now_ms()
        self._events: list[bytes] = []
        self._error: Exception | None = None
        self._finished = False
        self._changed = event.Event()

    @property
    def is_empty(self) -> bool:
        """Whether no event has come yet."""
        return not self._events

    @property
    def unread_ms(self) -> float:
        """For how long the run has had no reader."""
        if self.readers:
            return 0
        return self._timer.now_ms() - self._unread_since_ms

    def push(self, events: bytes) -> None:
        """Add whole events."""
        self._events.append(events)
        self._changed.set()

    def finish(self, answer: records.AnswerRecorded) -> None:
        """End the run with its recorded answer."""
        self.answer = answer
        self.worker = answer.worker
        self._finished = True
        self._changed.set()

    def fail(self, error: Exception) -> None:
        """End the run with an error for every reader."""
        self._error = error
        self._finished = True
        self._changed.set()

    def raw_events(self) -> bytes:
        """Return all events so far."""
        return b''.join(self._events)

    def read_events(self) -> Iterator[bytes]:
        """Yield events from the first on until the run ends.

        :raises CarobforkError: what the run failed with.
        """
        self.readers += 1
        position = 0
        try:
            while position < len(self._events) or not self._finished:
                self._wait_for_events(position)
                new_events = self._events[position:]
                position += len(new_events)
                # A run that fails wakes its readers without events.
                if new_events:
                    yield (
                        new_events[0]
                        if len(new_events) == 1
                        else b''.join(new_events)
                    )
        finally:
            self.readers -= 1
            self._unread_since_ms = self._timer.now_ms()
        if self._error is not None:
            raise self._error

    def _wait_for_events(self, position: int) -> None:
        """Wait for further events or the end."""
        if position == len(self._events):
            self._changed.clear()
            self._changed.wait()
