"""Buffer the events of model calls in flight for any number of readers."""

from collections.abc import Iterator

from gevent import event

from carobfork import clock
from carobfork.state import records


class ModelRun:
    """Events of one model call, buffered for the callers that read them.

    The backend server's stream fills the buffer at its own pace, so a slow
    reader delays neither the server nor other readers. The buffer is bounded
    by the maximum number of tokens of the call.

    :param digest: digest that a retry of the call must match.
    :param timer: clock that measures how long the run has had no reader.
    """

    def __init__(self, digest: str, timer: clock.Clock) -> None:
        """Initialize without events and readers."""
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
        """Whether no event has arrived yet."""
        return not self._events

    @property
    def unread_ms(self) -> float:
        """Time in milliseconds for which the run has had no reader."""
        if self.readers:
            return 0
        return self._timer.now_ms() - self._unread_since_ms

    def push(self, events: bytes) -> None:
        """Append complete events."""
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
        """Return all events that have arrived, joined."""
        return b''.join(self._events)

    def read_events(self) -> Iterator[bytes]:
        """Yield the events, from the first one, until the run ends.

        :raises CarobforkError: if the run failed.
        """
        self.readers += 1
        position = 0
        try:
            while position < len(self._events) or not self._finished:
                self._wait_for_events(position)
                new_events = self._events[position:]
                position += len(new_events)
                # If the run fails, readers wake up without new events.
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
        """Wait until there are events past a position or the run ends."""
        if position == len(self._events):
            self._changed.clear()
            self._changed.wait()
