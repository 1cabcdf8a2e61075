"""Desks: calls of one service that wait for a slot.

Urgent calls go first, and within a rank those whose program has the least
time left. A call that can't get a slot in its time is refused when it comes,
not after it has waited.
"""

from collections.abc import Callable

import attrs
import structlog

from carobfork import clock
from carobfork.gateway import calls, placements, routes, workers

MAX_WAIT_RATIO = 0.3
"""Of the time left that a call may wait: the rest is needed to run it."""
MAX_WAIT_MS = 800
MIN_RETRY_AFTER_MS = 60
MAX_RETRY_AFTER_RATIO = 0.25
"""Of the time left: callers honour no more than a third."""
INITIAL_HOLD_MS = 250
"""Assumed duration of a call before one was seen: a short turn."""
HOLD_MEAN_WEIGHT = 0.05
"""Weight of the newest duration in the mean."""

logger = structlog.get_logger(part='desk')


def _do_nothing() -> None:
    """Do nothing for a desk that is served by its owner."""


@attrs.define(eq=False)
class QueuedCall:
    """A call that wants a slot.

    :param left_ms: time that the caller still waits.
    :param avoided: servers that failed the call before.
    :param resolve: called once, with the server, or nothing if refused.
    """

    call: calls.Call
    route: routes.Route
    left_ms: float
    resolve: Callable[[workers.Worker | None], None]
    avoided: frozenset[str] = frozenset()
    arrived_ms: float = 0

    @property
    def max_wait_ms(self) -> float:
        """How long the call may wait here."""
        return min(self.left_ms * MAX_WAIT_RATIO, MAX_WAIT_MS)

    def priority_key(self) -> tuple[int, bool, float]:
        """Return the sort key: rank, then when the program is due.

        Programs that are late already go behind those that may still be in
        time: in a flood, serving by due time alone makes all of them late.
        """
        finish_ms = self.call.program_deadline_ms
        due_ms = self.left_ms if finish_ms is None else finish_ms
        return self.route.rank, due_ms <= 0, self.arrived_ms + due_ms


class CallQueue:
    """Grant the slots of one service's servers.

    :param service: the service's name.
    :param table: all servers.
    :param timer: the clock that arrival times refer to.
    :param policy: the placement policy.
    :param on_wait: called when a call begins to wait.
    """

    def __init__(
        self,
        service: str,
        table: workers.WorkerTable,
        timer: clock.Clock,
        policy: placements.PlacementPolicy,
        on_wait: Callable[[], None] = _do_nothing,
    ) -> None:
        """Start with no call waiting."""
        self.waiting: list[QueuedCall] = []
        self._on_wait = on_wait
        self._service = service
        self._table = table
        self._timer = timer
        self._policy = policy
        self._mean_hold_ms = INITIAL_HOLD_MS

    def submit(self, queued: QueuedCall) -> None:
        """Grant a slot now, let the call wait, or refuse it."""
        queued.arrived_ms = self._timer.now_ms()
        if not self.waiting and self._try_grant(queued):
            return
        is_in_time = self.expected_wait_ms(queued) <= queued.max_wait_ms
        if is_in_time and self._candidates(queued):
            self.waiting.append(queued)
            self._on_wait()
        else:
            queued.resolve(None)

    def preview(self, queued: QueuedCall) -> str:
        """Return the server that a call would get now, if any."""
        worker = self._choose_worker(queued)
        return worker.instance if worker else ''

    def cancel(self, queued: QueuedCall) -> None:
        """Forget a call whose caller has left."""
        if queued in self.waiting:
            self.waiting.remove(queued)

    def release(self, worker: workers.Worker, held_ms: float) -> None:
        """Take a slot back and grant it again.

        :param held_ms: how long it was held.
        """
        worker.in_flight -= 1
        self._mean_hold_ms += (held_ms - self._mean_hold_ms) * HOLD_MEAN_WEIGHT
        self.process_waiting()

    def process_waiting(self) -> None:
        """Grant free slots to those who wait; refuse whose time is up."""
        for queued in sorted(self.waiting, key=QueuedCall.priority_key):
            waited_ms = self._timer.now_ms() - queued.arrived_ms
            if self._try_grant(queued):
                self.waiting.remove(queued)
            elif waited_ms > queued.max_wait_ms:
                self.waiting.remove(queued)
                self._overflow_or_refuse(queued)

    def expected_wait_ms(self, queued: QueuedCall) -> float:
        """Return how long a call would wait behind more urgent ones."""
        ahead = sum(
            other.priority_key() <= queued.priority_key()
            for other in self.waiting
        )
        ahead += self._table.remote_waiting(self._service)
        slots = sum(worker.entry.slots for worker in self._candidates(queued))
        return (ahead + 1) * self._mean_hold_ms / max(slots, 1)

    def retry_after_ms(self, left_ms: float, jitter: float) -> float:
        """Return when a refused call should come back.

        :param left_ms: time that its caller still waits.
        :param spread: from 0 to 1; spreads the return of a burst.
        """
        waiting = len(self.waiting) + self._table.remote_waiting(self._service)
        backlog_ms = waiting * self._mean_hold_ms
        slots = sum(
            worker.entry.slots for worker in self._table.usable(self._service)
        )
        delay_ms = MIN_RETRY_AFTER_MS + backlog_ms / max(slots, 1)
        max_delay_ms = left_ms * MAX_RETRY_AFTER_RATIO
        return min(delay_ms * (1 + jitter), max_delay_ms)

    def _candidates(self, queued: QueuedCall) -> list[workers.Worker]:
        usable = self._table.usable(self._service)
        untried = [
            worker for worker in usable if worker.instance not in queued.avoided
        ]
        if untried or not queued.route.is_repeatable:
            return untried
        return usable

    def _try_grant(self, queued: QueuedCall) -> bool:
        return self._assign(queued, self._choose_worker(queued))

    def _choose_worker(self, queued: QueuedCall) -> workers.Worker | None:
        """Return the server for a call, or nothing where all are full.

        A call that may not run twice is no test of a server that has just
        failed: where it breaks off, nobody knows whether it ran.
        """
        now_ms = self._timer.now_ms()
        candidates = self._candidates(queued)
        chosen = None
        if not queued.route.is_repeatable:
            trusted = [
                worker
                for worker in candidates
                if not worker.has_recent_failure(now_ms)
            ]
            chosen = self._policy(queued.call, trusted, now_ms)
        return chosen or self._policy(queued.call, candidates, now_ms)

    def _overflow_or_refuse(self, queued: QueuedCall) -> None:
        worker = placements.place_overflow(
            self._candidates(queued), self._timer.now_ms()
        )
        if not self._assign(queued, worker):
            queued.resolve(None)

    def _assign(
        self, queued: QueuedCall, worker: workers.Worker | None
    ) -> bool:
        if worker is None:
            return False
        worker.in_flight += 1
        queued.resolve(worker)
        return True
