"""Waits: service calls under way that several callers may wait for."""

import gevent
from gevent import event

from carobfork import clock, exceptions
from carobfork.coordination import calls
from carobfork.state import records


class RunningCall:
    """A call under way.

    :param digest: what a repeated call must match.
    """

    def __init__(self, digest: str) -> None:
        """Start before the call's turn."""
        self.digest = digest
        self.dispatched = event.Event()
        """Set before anything may leave this host."""
        self._answered = event.AsyncResult()
        self._abandoned = False

    def require_not_abandoned(self) -> None:
        """Check that no caller was told already that the call did not run.

        :raises NotRunError: one was.
        """
        if self._abandoned:
            raise _not_dispatched()

    def finish(self, answer: records.AnswerRecorded) -> None:
        """End the call with its recorded answer."""
        self._answered.set(answer)

    def fail(self, error: exceptions.CarobforkError) -> None:
        """End the call with an error for every caller."""
        self._answered.set_exception(error)

    def wait(self, service: str, timeout_ms: int) -> records.AnswerRecorded:
        """Wait for the call's turn, then for its answer.

        :param timeout_ms: how long to wait for each.
        :raises NotRunError: its turn did not come; it will not be sent.
        :raises UnknownOutcomeError: it was sent and not answered in time.
        """
        seconds = clock.to_seconds(timeout_ms)
        gevent.wait([self.dispatched, self._answered], seconds, count=1)
        if not self.dispatched.is_set() and not self._answered.ready():
            self._abandoned = True
            self.fail(_not_dispatched())
        try:
            return self._answered.get(timeout=seconds)
        except gevent.Timeout:
            raise calls.unknown_outcome(service) from None


def _not_dispatched() -> exceptions.NotRunError:
    return exceptions.NotRunError(
        "the program's turn did not come in time", step='await turn'
    )
