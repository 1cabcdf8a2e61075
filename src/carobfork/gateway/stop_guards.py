"""Decide which requests a host that stops still takes.

The load: hosts are stopped in turn under requests that take seconds, some of
which may not be repeated. A request that is still running when its host ends
gets no answer, while another host could have run it.
"""

from carobfork import clock, exceptions
from carobfork.gateway import contexts, duration_estimates, routes

DEVIATIONS = 4
"""How many mean deviations above the mean a request may take, as in TCP's
timeout."""
_STEP = 'stop'


class HostStoppingError(exceptions.NotRunError):
    """The host stops before the request could be over; another one runs it."""

    code = 'host_stopping'


class StopGuard:
    """Refuse requests that a host can't end before it stops.

    :param timer: the clock for the end of the host.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create a guard of a host that does not stop."""
        self.refused = 0
        self._timer = timer
        self._ends_at_ms = float('inf')
        self._is_closed = False
        self._estimates: dict[str, duration_estimates.DurationEstimate] = {}

    def record(self, route: routes.Route, took_ms: float) -> None:
        """Record how long a request took that was answered."""
        self._estimates.setdefault(
            route.name, duration_estimates.DurationEstimate()
        ).record(took_ms)

    def begin(self, left_ms: float) -> None:
        """Begin to refuse what can't be over in time.

        :param left_ms: time left to end requests.
        """
        self._ends_at_ms = self._timer.now_ms() + left_ms

    def close(self) -> None:
        """Begin to refuse all requests."""
        self._is_closed = True

    def check(self, context: contexts.RequestContext) -> None:
        """Refuse a request that was not sent and can't be over in time.

        A request of a kind whose durations are unknown is taken.

        :raises HostStoppingError: if it is refused.
        """
        if context.is_sent or self._ends_at_ms == float('inf'):
            return
        now_ms = self._timer.now_ms()
        expected_ms = self._expected_ms(context.route)
        until_ms = min(now_ms + expected_ms, context.deadline_at_ms)
        if self._is_closed or until_ms > self._ends_at_ms:
            self.refused += 1
            raise HostStoppingError(
                f'the host ends in {self._ends_at_ms - now_ms:.0f} ms, the'
                f' request would take {expected_ms:.0f} ms',
                step=_STEP,
            )

    def _expected_ms(self, route: routes.Route) -> float:
        estimate = self._estimates.get(route.name)
        return (estimate and estimate.high_ms(DEVIATIONS)) or 0
