"""Runs: model calls under way, followed by any number of readers."""

from collections.abc import Iterator

from gevent import event

from carobfork.state import records


class ModelRun:
    """Buffer one model call's events for the callers that read them.

    The engine's stream fills the buffer at its own pace, so a slow reader
    stalls neither the engine nor other readers. The program's budget bounds
    the buffer.
    """

    def __init__(self, digest: str) -> None:
        """Start without events."""
        self.digest = digest
        self.answer: records.AnswerRecorded | None = None
        self.worker = ''
        self.followers = 0
        self._events: list[bytes] = []
        self._error: Exception | None = None
        self._finished = False
        self._changed = event.Event()

    @property
    def finished(self) -> bool:
        """Whether the call has ended, well or not."""
        return self._finished

    def push(self, events: bytes) -> None:
        """Add whole events."""
        self._events.append(events)
        self._notify()

    def finish(self, answer: records.AnswerRecorded) -> None:
        """End the run with its recorded answer."""
        self.answer = answer
        self.worker = answer.worker
        self._finished = True
        self._notify()

    def fail(self, error: Exception) -> None:
        """End the run with an error for every reader."""
        self._error = error
        self._finished = True
        self._notify()

    def raw_events(self) -> bytes:
        """Return all events so far."""
        return b''.join(self._events)

    def follow(self) -> Iterator[bytes]:
        """Yield events from the first on until the run ends.

        :raises CarobforkError: what the run failed with.
        """
        self.followers += 1
        position = 0
        try:
            while position < len(self._events) or not self._finished:
                if position == len(self._events):
                    self._changed.wait()
                fresh = self._events[position:]
                position += len(fresh)
                # A run that fails wakes its readers without events.
                if fresh:
                    yield b''.join(fresh)
        finally:
            self.followers -= 1
        if self._error is not None:
            raise self._error

    def _notify(self) -> None:
        changed = self._changed
        self._changed = event.Event()
        changed.set()
