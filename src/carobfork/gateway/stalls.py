"""Notice backend servers that do not answer, long before the deadline.

A server whose health check is good may hold some of its requests without an
answer. Callers would wait until their deadline, and further calls would go
there. How long a sound answer takes is learned from all answers of a service.
"""

from collections.abc import Callable
from types import TracebackType

import gevent

from carobfork import clock, retry_budgets
from carobfork.gateway import (
    contexts,
    duration_estimates,
    routes,
    standbys,
    workers,
)

MIN_LIMIT_MS = 500
"""Least time without an answer that counts as a stall: several lost packets or
a pause of a sound server take less."""
MAX_LEFT_RATIO = 0.5
"""Share of a call's time left up to which a stall is worth noticing: the rest
is needed for the answer of another server."""
DEVIATIONS = 8
"""How many mean deviations above the mean an answer may take."""
GAP_TARGETS = 4
"""How many times the longest pause for which a stream is on time it may pause
before it counts as stalled."""

_Key = tuple[str, routes.Kind]

FindStandby = Callable[
    [contexts.RequestContext, float], standbys.Standby | None
]
"""Finds a place at another server for a request, given the time in ms at which
the stall of its server was noticed. It may block."""


def _find_none(_context: contexts.RequestContext, _stalled_ms: float) -> None:
    """Find no place at another server."""


class StallDetector:
    """The answer times of all services, and the limits that follow from them.

    :ivar find_standby: finds a place at another server for a stalled request.
    :param timer: the clock for answer times.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create a detector that has seen no answers."""
        self.find_standby: FindStandby = _find_none
        self._timer = timer
        self._estimates: dict[_Key, duration_estimates.DurationEstimate] = {}
        self._retries = retry_budgets.RetryBudget()

    def watch(
        self, context: contexts.RequestContext, worker: workers.Worker
    ) -> 'Watch':
        """Return the watch on one exchange.

        :param worker: the backend server that the request is sent to.
        """
        return Watch(self, context, worker, self._timer)

    def first_limit_ms(
        self, context: contexts.RequestContext, worker: workers.Worker
    ) -> float | None:
        """Return how long the first part of an answer may take.

        Return ``None`` if there is no reason to expect it earlier than the
        deadline: too few answers are known, little time is left, or the
        request waits in the server's own queue.
        """
        now_ms = self._timer.now_ms()
        high_ms = self._estimate(context).high_ms(DEVIATIONS)
        if high_ms is None or worker.load(now_ms) > worker.entry.slots:
            return None
        limit_ms = max(MIN_LIMIT_MS, high_ms)
        left_ms = context.deadline_at_ms - now_ms
        return None if limit_ms > left_ms * MAX_LEFT_RATIO else limit_ms

    def record_answer(
        self, context: contexts.RequestContext, took_ms: float
    ) -> None:
        """Record the time until the first part of an answer."""
        self._estimate(context).record(took_ms)
        self._retries.earn()

    def may_retry(self, context: contexts.RequestContext) -> bool:
        """Return whether a stalled request may go to another server now.

        Retries are a small share of all calls. If most servers are slow, more
        would only add to their load.
        """
        return context.can_retry() and self._retries.take()

    def give_back_retry(self) -> None:
        """Return a retry that was not used."""
        self._retries.give_back()

    def _estimate(
        self, context: contexts.RequestContext
    ) -> duration_estimates.DurationEstimate:
        key = (context.service, context.route.kind)
        return self._estimates.setdefault(
            key, duration_estimates.DurationEstimate()
        )


class StalledError(Exception):
    """An exchange made no progress in time and may be tried elsewhere."""


class Watch:
    """A watch on the progress of one exchange, as a context manager.

    A server that makes no progress in time is reported as failing, so that
    other calls avoid it. If the request may be sent to another server, a place
    is looked for there. The exchange is interrupted once there is one, and goes
    on if the server makes progress before.

    :param detector: knows the limits.
    :param context: the request.
    :param worker: the backend server.
    :param timer: the clock for answer times.
    """

    def __init__(
        self,
        detector: StallDetector,
        context: contexts.RequestContext,
        worker: workers.Worker,
        timer: clock.Clock,
    ) -> None:
        """Create a watch; entering it starts the time."""
        self._detector = detector
        self._context = context
        self._worker = worker
        self._timer = timer
        self._greenlet = gevent.getcurrent()
        self._started_ms = timer.now_ms()
        self._limit_ms: float | None = None
        self._stalled_ms: float | None = None
        self._has_begun = False
        self._cancel: Callable[[], None] | None = None
        self._search: gevent.Greenlet | None = None

    def __enter__(self) -> 'Watch':
        """Start the time until the first part of the answer."""
        self._start(self._detector.first_limit_ms(self._context, self._worker))
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the time."""
        self.pause()

    def record_progress(self) -> None:
        """Record a part of the answer and stop the time."""
        self.pause()
        self._stalled_ms = None
        if not self._has_begun:
            self._has_begun = True
            took_ms = self._timer.now_ms() - self._started_ms
            self._detector.record_answer(self._context, took_ms)

    def restart(self) -> None:
        """Start the time again once the request was sent whole."""
        if not self._has_begun:
            self.pause()
            self._started_ms = self._timer.now_ms()
            self.__enter__()

    def expect_next(self) -> None:
        """Start the time until the next event of a stream."""
        gap_ms = self._context.route.target_gap_ms * GAP_TARGETS
        self._start(max(MIN_LIMIT_MS, gap_ms) if gap_ms else None)

    def pause(self) -> None:
        """Stop the time while the answer depends on others than the server."""
        if self._cancel is not None:
            self._cancel()
            self._cancel = None
        search = self._search
        self._search = None
        if search is not None:
            search.kill(block=False)

    def _start(self, limit_ms: float | None) -> None:
        self._limit_ms = limit_ms
        self._start_timer()

    def _start_timer(self) -> None:
        if self._limit_ms is not None:
            timer = gevent.get_hub().loop.timer(
                clock.to_seconds(self._limit_ms)
            )
            timer.start(self._expire)
            self._cancel = timer.close

    def _expire(self) -> None:
        self.pause()
        now_ms = self._timer.now_ms()
        if self._stalled_ms is None:
            self._stalled_ms = now_ms
            self._worker.record_failure(now_ms)
        if self._detector.may_retry(self._context):
            self._search = gevent.spawn(
                self._detector.find_standby, self._context, self._stalled_ms
            )
            self._search.rawlink(self._end_search)
        elif self._context.can_retry():
            self._start_timer()

    def _end_search(self, search: gevent.Greenlet) -> None:
        """Leave the exchange if a place was found and is still needed.

        Runs in the hub, as gevent's timeouts do: the greenlet of the exchange
        is still inside it.
        """
        found = search.value if search.successful() else None
        standby = found if isinstance(found, standbys.Standby) else None
        is_needed = search is self._search
        if is_needed and standby is not None:
            self._search = None
            self._context.standby = standby
            self._greenlet.throw(StalledError('no progress in time'))
            return
        self._detector.give_back_retry()
        if standby is not None:
            standby.discard()
        if is_needed:
            self._search = None
            self._start_timer()
