"""Track service calls in flight and the callers that wait for them."""

import gevent
from gevent import event

from carobfork import clock, exceptions
from carobfork.coordination import calls
from carobfork.state import records


class RunningCall:
    """A service call in flight.

    :param digest: digest that a retry of the call must match.
    """

    def __init__(self, digest: str) -> None:
        """Initialize a call that is queued and not dispatched."""
        self.digest = digest
        self.dispatched = event.Event()
        """Set before anything of the call is sent to a backend server."""
        self._answered = event.AsyncResult()
        self._abandoned = False

    def require_not_abandoned(self) -> None:
        """Check that no caller has been told that the call did not run.

        :raises NotRunError: if a caller has been told so.
        """
        if self._abandoned:
            raise _not_dispatched()

    def finish(self, answer: records.AnswerRecorded) -> None:
        """Complete the call with its recorded answer."""
        self._answered.set(answer)

    def fail(self, error: exceptions.CarobforkError) -> None:
        """Complete the call with an error for every caller."""
        self._answered.set_exception(error)

    def wait(self, service: str, timeout_ms: int) -> records.AnswerRecorded:
        """Wait until the call is dispatched, then for its answer.

        :param service: name of the service, for error messages.
        :param timeout_ms: time limit of each of the two waits.
        :raises NotRunError: if it is not dispatched in time; it will not be
            sent afterwards.
        :raises UnknownOutcomeError: if it was sent but not answered in time.
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
        'the call was not dispatched in time', step='await turn'
    )
