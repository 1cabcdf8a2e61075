"""Queue the calls of a service that wait for a slot of a backend server.

Calls are ordered by rank. Within a rank, tenants share the slots by what they
may spend, and a tenant's calls are ordered by the time that their program has
left. A call that is not expected to get a slot in time is refused on arrival,
not after it has waited.
"""

from collections.abc import Callable

from carobfork import clock
from carobfork.gateway import (
    grant_rounds,
    limiters,
    placements,
    program_admissions,
    queued_calls,
    ranks,
    selections,
    wait_estimates,
    waiting_calls,
    worker_tables,
    workers,
)

INITIAL_HOLD_MS = wait_estimates.INITIAL_HOLD_MS
MAX_OVERDUE_CALLS_PER_SLOT = 1.1
"""Maximum number of calls per slot on a worker that takes overdue calls of
tenants. The rest of its own queue is left to tenants that have got less than
their share; this much keeps its slots in use."""


def _do_nothing() -> None:
    """Ignore waiting calls in a queue that its owner processes itself."""


class CallQueue:
    """Grant the slots of one service's workers to its calls.

    :ivar refused_on_arrival: calls that could not have got a slot in time.
    :ivar refused_overdue: calls that waited as long as they may.
    :ivar programs: decides which programs may begin.
    :ivar sent_ahead: calls that went to a worker's own queue past others.
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
        self.calls = waiting_calls.WaitingCalls()
        self.refused_on_arrival = 0
        self.refused_overdue = 0
        self.sent_ahead = 0
        self.programs = program_admissions.ProgramAdmission(timer)
        self._on_wait = on_wait
        self._service = service
        self._table = table
        self._timer = timer
        self.selector = selections.WorkerSelector(service, table, timer, policy)
        self._waits = wait_estimates.WaitEstimator(
            service, table, self.selector, self.calls, timer
        )
        self._ranks = ranks.RankMemory()

    @property
    def waiting(self) -> list[queued_calls.QueuedCall]:
        """The waiting calls, by arrival."""
        return list(self.calls)

    def submit(self, queued: queued_calls.QueuedCall) -> None:
        """Grant the call a slot, enqueue it or refuse it."""
        queued.arrived_ms = self._timer.now_ms()
        self._ranks.record(queued.rank, queued.arrived_ms)
        if queued.start is not None or queued.is_admitted_turn:
            self.programs.record_pressure(
                queued.rank, self._waits.calls_ahead_per_slot(queued.rank)
            )
        try_at_once = self._overflow_if_urgent if self.calls else self._try_call
        gives_way = queued.start is not None and self.programs.gives_way(
            queued.rank, queued.start
        )
        if not gives_way and try_at_once(queued):
            return
        wait_ms = self.expected_wait_ms(queued)
        if queued.start is not None and (
            gives_way or self.selector.peek(queued) is None
        ):
            queued.refusal = self.programs.decide(
                queued.rank, queued.start, wait_ms, queued.max_wait_ms
            )
        is_in_time = queued.is_committed or wait_ms <= queued.max_wait_ms
        if (
            is_in_time
            and not queued.refusal
            and self.selector.candidates(queued)
        ):
            self.calls.add(queued)
            self._on_wait()
        else:
            self.refused_on_arrival += 1
            queued.resolve(None)

    def preview(self, queued: queued_calls.QueuedCall) -> workers.Worker | None:
        """Return the worker that a call would get now, if there is one."""
        return self.selector.choose(
            queued,
            limiters.ROUTINE_MAX_WAIT_MS
            if self._has_more_urgent(queued)
            else limiters.MAX_WAIT_MS,
        )

    def cancel(self, queued: queued_calls.QueuedCall) -> None:
        """Remove a call whose caller no longer waits."""
        if queued in self.calls:
            self.calls.remove(queued)

    def release(self, worker: workers.Worker, held_ms: float) -> None:
        """Release a slot and grant it to the next waiting call.

        :param worker: the worker that the slot belongs to.
        :param held_ms: how long the slot was held, 0 if it was not used.
        """
        worker.in_flight -= 1
        if held_ms > 0:
            self._waits.record_hold(held_ms)
        self.process_waiting()

    def process_waiting(self) -> None:
        """Grant free slots to waiting calls.

        An overdue call goes to a worker's own queue if one is short enough,
        or is refused. So is a stream that no worker may go on with any more.
        """
        grant_rounds.GrantRound(self.calls, self.selector, self._try_call).run()
        for queued in self.calls.pop_overdue(self._timer.now_ms()):
            if queued in self.calls:
                self._end_wait(queued)

    def expected_wait_ms(self, queued: queued_calls.QueuedCall) -> float:
        """Estimate how long a call waits, in ms."""
        return self._waits.expected_wait_ms(queued)

    def retry_after_ms(
        self, left_ms: float, jitter: float, start_rank: int | None = None
    ) -> float:
        """Return the delay after which a refused call should be retried.

        :param left_ms: time until the caller's deadline.
        :param jitter: number from 0 to 1 that spreads the retries of a burst.
        :param start_rank: the call's rank, if it would begin a program.
        """
        if start_rank is None:
            return self._waits.retry_after_ms(left_ms, jitter)
        return self.programs.retry_after_ms(
            start_rank,
            wait_estimates.MIN_RETRY_AFTER_MS + self._waits.backlog_ms(),
            left_ms * wait_estimates.MAX_RETRY_AFTER_RATIO,
        )

    def _try_call(self, queued: queued_calls.QueuedCall) -> bool:
        """Grant a call a slot or a place in a worker's own queue."""
        if self._assign(queued, self.preview(queued)):
            return True
        if self._overflow_if_urgent(queued):
            return True
        return (
            queued.is_admitted_turn
            and not self._has_more_urgent(queued)
            and self._overflow(queued, program_admissions.MAX_CALLS_PER_SLOT)
        )

    def _end_wait(self, queued: queued_calls.QueuedCall) -> None:
        """Send an overdue call to a worker's own queue, or refuse it.

        A place in that queue goes to the call that its rank serves next, if
        the same workers may run it, so that a tenant's flood can't pass others
        by becoming overdue. The overdue call then waits on. A program that has
        not begun is refused.
        """
        following = queued
        if queued.tenant:
            first = self.calls.first(queued.precedence, ()) or queued
            if first.eligibility == queued.eligibility:
                following = first
        max_calls_per_slot = placements.MAX_CALLS_PER_SLOT
        if queued.tenant:
            max_calls_per_slot = MAX_OVERDUE_CALLS_PER_SLOT
        elif self._has_more_urgent(queued):
            max_calls_per_slot = placements.MAX_ROUTINE_CALLS_PER_SLOT
        if queued.start is not None:
            queued.refusal = self.programs.refuse_overdue()
        if not queued.refusal and self._overflow(following, max_calls_per_slot):
            self.calls.remove(following)
            if following is not queued:
                self.calls.postpone(queued, self._timer.now_ms())
        else:
            self.calls.remove(queued)
            self.refused_overdue += 1
            queued.resolve(None)

    def _has_more_urgent(self, queued: queued_calls.QueuedCall) -> bool:
        return self._ranks.has_more_urgent(queued.rank, self._timer.now_ms())

    def _goes_first(self, queued: queued_calls.QueuedCall) -> bool:
        """Return whether less urgent calls wait here or at other hosts.

        Each host orders its own queue only, and a slot that becomes free goes
        to the host that sees it first, whatever waits at the others. A worker
        takes calls in the order of their arrival, so a call in its own queue
        gets the next slot. Urgent calls are sent there while less urgent ones
        wait in the hosts' queues. So are those of programs under way while
        others wait here to begin, and those of a tenant that has got less than
        its share while another tenant crowds this queue.
        """
        rank = queued.rank
        return (
            self._table.remote_waiting(self._service, behind=rank) > 0
            or self.calls.count_behind(queued.precedence) > 0
            or (queued.start is None and self.calls.is_owed(queued))
        )

    def _overflow_if_urgent(self, queued: queued_calls.QueuedCall) -> bool:
        max_calls_per_slot: float = placements.MAX_CALLS_PER_SLOT
        if queued.start is not None:
            max_calls_per_slot = program_admissions.MAX_CALLS_PER_SLOT
        is_sent = self._goes_first(queued) and self._overflow(
            queued, max_calls_per_slot
        )
        self.sent_ahead += is_sent
        return is_sent

    def _overflow(
        self, queued: queued_calls.QueuedCall, max_calls_per_slot: float
    ) -> bool:
        """Send a call to a worker's own queue if one is short enough."""
        return not queued.is_standby and self._assign(
            queued, self.selector.choose_overflow(queued, max_calls_per_slot)
        )

    def _assign(
        self, queued: queued_calls.QueuedCall, worker: workers.Worker | None
    ) -> bool:
        if worker is None:
            return False
        self._table.limiter.take(worker)
        worker.pace.take()
        worker.in_flight += 1
        self.calls.charge(queued)
        if queued.start is not None:
            self.programs.record_begin()
        queued.resolve(worker)
        return True
