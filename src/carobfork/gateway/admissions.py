"""Admit calls: grant them slots of backend servers or refuse them."""

import contextlib
from collections.abc import Callable, Iterator

import attrs
import gevent
from gevent import event

from carobfork import clock, exceptions
from carobfork.gateway import (
    contexts,
    placements,
    program_admissions,
    queued_calls,
    queues,
    stop_guards,
    worker_tables,
    workers,
)

PROCESS_INTERVAL_MS = 20
"""Interval at which waiting calls are reconsidered, because slots also become
free when calls of other hosts end."""
_JITTER_STEPS = 1000


def _discard_slot(_worker: workers.Worker | None) -> None:
    """Ignore the granted worker: the call is only a preview."""


class AdmissionController:
    """The call queues of all services.

    :ivar stop_guard: refuses calls that this host can't end before it stops.
    :param table: the backend servers that calls are scheduled on.
    :param timer: the clock for deadlines and waiting times.
    :param policy: registered name of the placement policy.
    """

    def __init__(
        self, table: worker_tables.WorkerTable, timer: clock.Clock, policy: str
    ) -> None:
        """Create a controller without queues."""
        self.stop_guard = stop_guards.StopGuard(timer)
        self._table = table
        self._timer = timer
        self._policy = placements.PLACEMENTS[policy]
        self._queues: dict[str, queues.CallQueue] = {}
        self._has_waiting = event.Event()

    def queue(self, service: str) -> queues.CallQueue:
        """Return the queue of a service; create it on first use."""
        if service not in self._queues:
            self._queues[service] = queues.CallQueue(
                service,
                self._table,
                self._timer,
                self._policy,
                self._has_waiting.set,
            )
        return self._queues[service]

    def waiting(self) -> dict[str, int]:
        """Return the number of waiting calls by service, without zeros."""
        return {
            name: len(queue.calls)
            for name, queue in self._queues.items()
            if len(queue.calls)
        }

    def totals(self) -> dict[str, int]:
        """Return how many calls were refused or sent ahead since the start."""
        found = self._queues.values()
        return {
            'calls_refused_on_arrival': sum(
                queue.refused_on_arrival for queue in found
            ),
            'calls_refused_overdue': sum(
                queue.refused_overdue for queue in found
            ),
            'calls_sent_ahead': sum(queue.sent_ahead for queue in found),
            **{
                f'programs_refused_{reason}': sum(
                    queue.programs.refused[reason] for queue in found
                )
                for reason in program_admissions.Reason
            },
        }

    def waiting_ranks(self) -> dict[int, dict[str, int]]:
        """Return the number of waiting calls by rank and service."""
        ranks: dict[int, dict[str, int]] = {}
        for name, queue in self._queues.items():
            for (rank, _begins), count in queue.calls.count_by_rank().items():
                waiting = ranks.setdefault(rank, {})
                waiting[name] = waiting.get(name, 0) + count
        return ranks

    def process_waiting(self) -> None:
        """Grant free slots and refuse overdue calls in all queues."""
        for queue in list(self._queues.values()):
            queue.process_waiting()

    def run(self) -> None:
        """Process waiting calls until the greenlet is killed.

        Sleep while no call waits, which is the normal state of most hosts.
        """
        while True:
            self._has_waiting.wait()
            self.process_waiting()
            if not self.waiting():
                self._has_waiting.clear()
            gevent.sleep(clock.to_seconds(PROCESS_INTERVAL_MS))

    def preview(
        self, context: contexts.RequestContext
    ) -> workers.Worker | None:
        """Return the worker that a call would get now, if there is one.

        :param context: the request that the call belongs to.
        """
        return self.queue(context.service).preview(self._queued_call(context))

    @contextlib.contextmanager
    def slot(
        self, context: contexts.RequestContext, silent: str | None = None
    ) -> Iterator[workers.Worker]:
        """Hold a slot of a backend server while the context is open.

        :param context: the request that the call belongs to.
        :param silent: for a standby, the worker that has the request and must
            not get it again, empty if it may; else ``None``.
        :raises OverloadedError: if no slot can be granted in time.
        :raises HostStoppingError: if the host stops before.
        """
        queue = self.queue(context.service)
        worker = self._wait_for_slot(context, queue, silent)
        taken_ms = self._timer.now_ms()
        try:
            self.stop_guard.check(context)
            yield worker
        finally:
            queue.release(worker, self._timer.now_ms() - taken_ms)

    def refusal(
        self, context: contexts.RequestContext, reason: str
    ) -> exceptions.CarobforkError:
        """Return the error for a call that is not admitted.

        :param context: the request that the call belongs to.
        :param reason: why the call is refused.
        """
        queue = self.queue(context.service)
        left_ms = context.deadline_at_ms - self._timer.now_ms()
        # Attempt identifiers are random, so their hashes spread the retries
        # of a burst.
        jitter = (hash(context.call.attempt) % _JITTER_STEPS) / _JITTER_STEPS
        return exceptions.OverloadedError(
            f'{reason}; {len(queue.calls)} wait',
            step='admit',
            peer=context.service,
            retry_after_ms=int(
                queue.retry_after_ms(
                    left_ms,
                    jitter,
                    context.rank if context.program_start else None,
                )
            ),
        )

    def _wait_for_slot(
        self,
        context: contexts.RequestContext,
        queue: queues.CallQueue,
        silent: str | None,
    ) -> workers.Worker:
        asked_ms = self._timer.now_ms()
        granted = event.AsyncResult()
        queued = self._queued_call(context, granted.set)
        if silent is not None:
            queued = _limit_to_standbys(queued, context, silent)
        queue.submit(queued)
        try:
            worker = granted.get()
        except BaseException:
            queue.cancel(queued)
            if granted.ready() and granted.value is not None:
                queue.release(granted.value, 0)
            raise
        context.queued_ms += self._timer.now_ms() - asked_ms
        if worker is None:
            reason = 'no free slot'
            if queued.refusal:
                reason = f'a new program may not begin: {queued.refusal}'
            raise self.refusal(context, reason)
        return worker

    def _queued_call(
        self,
        context: contexts.RequestContext,
        resolve: Callable[[workers.Worker | None], None] = _discard_slot,
    ) -> queued_calls.QueuedCall:
        left_ms = context.deadline_at_ms - self._timer.now_ms()
        return queued_calls.QueuedCall(
            context.call,
            context.route,
            left_ms,
            resolve,
            context.avoided,
            context.required_version,
            context.rank,
            context.tenant_name,
            context.tenant.rate_per_s if context.tenant else 0,
            context.program_start,
            failed=context.failed,
            is_committed=context.is_committed,
        )


def _limit_to_standbys(
    queued: queued_calls.QueuedCall,
    context: contexts.RequestContext,
    silent: str,
) -> queued_calls.QueuedCall:
    """Return the call of a request that another worker has.

    A turn without events keeps the version on record, as the other worker may
    begin its stream meanwhile.

    :param silent: a worker that must not get the call.
    """
    version = context.required_version
    if version is None and context.turn is not None:
        version = context.server_version or None
    return attrs.evolve(
        queued, version=version, start=None, is_standby=True, excluded=silent
    )
