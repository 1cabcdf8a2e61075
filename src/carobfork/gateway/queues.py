"""Queue the calls of a service that wait for a slot of a backend server.

Calls are ordered by rank and, within a rank, by the time that their program
has left. A call that is not expected to get a slot in time is refused on
arrival, not after it has waited.
"""

from collections.abc import Callable

import attrs

from carobfork import clock
from carobfork.gateway import (
    calls,
    connection_pools,
    placements,
    ranks,
    routes,
    worker_tables,
    workers,
)

MAX_WAIT_RATIO = 0.3
"""Share of a call's remaining time that it may wait; the rest is needed to run
it."""
MAX_WAIT_MS = 800
"""Upper bound of that wait."""
MIN_RETRY_AFTER_MS = 60
MAX_RETRY_AFTER_RATIO = 0.25
"""Upper bound of the retry delay, as a share of the caller's remaining time:
callers do not wait longer than a third of it."""
INITIAL_HOLD_MS = 250
"""Assumed time that a call holds a slot until the first one has ended: the
duration of a short turn."""
HOLD_MEAN_WEIGHT = 0.05
"""Weight of the latest call in the moving mean of hold times."""


def _do_nothing() -> None:
    """Ignore waiting calls in a queue that its owner processes itself."""


@attrs.define(eq=False)
class QueuedCall:
    """A call that needs a slot.

    :param call: the caller's metadata.
    :param route: the route that the request matched.
    :param left_ms: time until the caller's deadline.
    :param resolve: called once with the granted worker, or with ``None`` if
        the call is refused.
    :param avoided: workers that have failed or refused this call.
    :param arrived_ms: when the call was submitted, set by the queue.
    """

    call: calls.Call
    route: routes.Route
    left_ms: float
    resolve: Callable[[workers.Worker | None], None]
    avoided: frozenset[str] = frozenset()
    arrived_ms: float = 0

    @property
    def max_wait_ms(self) -> float:
        """How long the call may wait in the queue."""
        return min(self.left_ms * MAX_WAIT_RATIO, MAX_WAIT_MS)

    def priority_key(self) -> tuple[int, bool, float]:
        """Return the sort key: rank, then the program's due time.

        Programs that are already late come after those that can still be in
        time. Under overload, ordering by due time alone would make all of
        them late.
        """
        finish_ms = self.call.program_deadline_ms
        due_ms = self.left_ms if finish_ms is None else finish_ms
        return self.route.rank, due_ms <= 0, self.arrived_ms + due_ms


class CallQueue:
    """Grant the slots of one service's workers to its calls.

    :param service: the service's name.
    :param table: the workers of all services.
    :param timer: the clock for arrival and waiting times.
    :param policy: the placement policy.
    :param on_wait: called when a call begins to wait.
    """

    def __init__(
        self,
        service: str,
        table: worker_tables.WorkerTable,
        timer: clock.Clock,
        policy: placements.PlacementPolicy,
        on_wait: Callable[[], None] = _do_nothing,
    ) -> None:
        """Create an empty queue."""
        self.waiting: list[QueuedCall] = []
        self._on_wait = on_wait
        self._service = service
        self._table = table
        self._timer = timer
        self._policy = policy
        self._mean_hold_ms = INITIAL_HOLD_MS
        self._ranks = ranks.RankMemory()

    def submit(self, queued: QueuedCall) -> None:
        """Grant the call a slot, enqueue it or refuse it."""
        queued.arrived_ms = self._timer.now_ms()
        self._ranks.record(queued.route.rank, queued.arrived_ms)
        if not self.waiting and self._try_grant(queued):
            return
        if self._overflow_if_urgent(queued):
            return
        is_in_time = self.expected_wait_ms(queued) <= queued.max_wait_ms
        if is_in_time and self._candidates(queued):
            self.waiting.append(queued)
            self._on_wait()
        else:
            queued.resolve(None)

    def preview(self, queued: QueuedCall) -> str:
        """Return the worker that a call would get now, or an empty string."""
        worker = self._choose_worker(queued)
        return worker.instance if worker else ''

    def cancel(self, queued: QueuedCall) -> None:
        """Remove a call whose caller no longer waits."""
        if queued in self.waiting:
            self.waiting.remove(queued)

    def release(self, worker: workers.Worker, held_ms: float) -> None:
        """Release a slot and grant it to the next waiting call.

        :param worker: the worker that the slot belongs to.
        :param held_ms: how long the slot was held.
        """
        worker.in_flight -= 1
        self._mean_hold_ms += (held_ms - self._mean_hold_ms) * HOLD_MEAN_WEIGHT
        self.process_waiting()

    def process_waiting(self) -> None:
        """Grant free slots to waiting calls.

        An overdue call goes to a worker's own queue if one is short enough,
        or is refused.
        """
        for queued in sorted(self.waiting, key=QueuedCall.priority_key):
            waited_ms = self._timer.now_ms() - queued.arrived_ms
            if self._try_grant(queued) or self._overflow_if_urgent(queued):
                self.waiting.remove(queued)
            elif waited_ms > queued.max_wait_ms:
                self.waiting.remove(queued)
                if not self._overflow_if_overdue(queued):
                    queued.resolve(None)

    def expected_wait_ms(self, queued: QueuedCall) -> float:
        """Estimate how long a call waits, in ms.

        Counts the calls with the same or a higher priority in this queue, and
        those with the same or a higher rank at other hosts.
        """
        ahead = sum(
            other.priority_key() <= queued.priority_key()
            for other in self.waiting
        )
        ahead += self._table.remote_waiting(self._service)
        ahead -= self._table.remote_waiting(
            self._service, behind=queued.route.rank
        )
        slots = sum(worker.entry.slots for worker in self._candidates(queued))
        return (ahead + 1) * self._mean_hold_ms / max(slots, 1)

    def retry_after_ms(self, left_ms: float, jitter: float) -> float:
        """Return the delay after which a refused call should be retried.

        :param left_ms: time until the caller's deadline.
        :param jitter: number from 0 to 1 that spreads the retries of a burst.
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
        """Return the worker for a call, or ``None`` if all are full.

        A call that must not run twice goes to a worker with a recent failure
        only if there is no other: if the connection broke, it would be
        unknown whether the call ran.
        """
        now_ms = self._timer.now_ms()
        candidates = self._candidates(queued)
        max_idle_ms = connection_pools.max_idle_ms(queued.route)
        chosen = None
        if not queued.route.is_repeatable:
            trusted = [
                worker
                for worker in candidates
                if not worker.has_recent_failure(now_ms)
            ]
            chosen = self._policy(queued.call, trusted, now_ms, max_idle_ms)
        return chosen or self._policy(
            queued.call, candidates, now_ms, max_idle_ms
        )

    def _goes_first(self, queued: QueuedCall) -> bool:
        """Return whether less urgent calls wait here or at other hosts.

        Each host orders its own queue only, and a slot that becomes free goes
        to the host that sees it first, whatever waits at the others. A worker
        takes calls in the order of their arrival, so a call in its own queue
        gets the next slot. Urgent calls are sent there while less urgent ones
        wait in the hosts' queues.
        """
        rank = queued.route.rank
        return self._table.remote_waiting(self._service, behind=rank) > 0 or (
            any(other.route.rank > rank for other in self.waiting)
        )

    def _overflow_if_urgent(self, queued: QueuedCall) -> bool:
        return self._goes_first(queued) and self._overflow(
            queued, placements.MAX_CALLS_PER_SLOT
        )

    def _overflow_if_overdue(self, queued: QueuedCall) -> bool:
        """Send an overdue call to a worker's own queue if it is short enough.

        If more urgent calls are being made, a part of it is left to them.
        """
        has_more_urgent = self._ranks.has_more_urgent(
            queued.route.rank, self._timer.now_ms()
        )
        return self._overflow(
            queued,
            placements.MAX_ROUTINE_CALLS_PER_SLOT
            if has_more_urgent
            else placements.MAX_CALLS_PER_SLOT,
        )

    def _overflow(self, queued: QueuedCall, max_calls_per_slot: float) -> bool:
        """Send a call to a worker's own queue if one is short enough."""
        worker = placements.place_overflow(
            self._candidates(queued), self._timer.now_ms(), max_calls_per_slot
        )
        return self._assign(queued, worker)

    def _assign(
        self, queued: QueuedCall, worker: workers.Worker | None
    ) -> bool:
        if worker is None:
            return False
        worker.in_flight += 1
        queued.resolve(worker)
        return True
