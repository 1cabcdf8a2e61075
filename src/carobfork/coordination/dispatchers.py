"""Queue the calls of a pool and grant them slots on its workers.

A worker, which stands for one backend server, is chosen only when a slot is
granted. No call therefore waits for one worker while another one is idle.
"""

import collections
from collections.abc import Sequence

import attrs

from carobfork import clock
from carobfork.coordination import (
    accounts,
    backlogs,
    isolations,
    placements,
    placers,
    pools,
    queue_orders,
    slot_limiters,
    worker_tables,
)
from carobfork.state import bundles

MAX_DEFERRED_CALLS = 8


@attrs.frozen
class Grant:
    """A slot on a worker that was granted to a call.

    :param request: the call.
    :param worker: the worker's name.
    :param charged_tokens: estimate that was charged to the call's rank.
    """

    request: queue_orders.SlotRequest
    worker: str
    charged_tokens: float = 0


class Dispatcher:
    """Queue of one pool's calls and the slots of its workers.

    :param pool: the pool whose workers are used.
    :param bundle: the bundle with the ranks and policies in force.
    :param timer: the clock for arrival times, deferrals and retries.
    """

    def __init__(
        self, pool: pools.Pool, bundle: bundles.Bundle, timer: clock.Clock
    ) -> None:
        """Create a dispatcher without calls."""
        self.backlog = backlogs.Backlog(bundle)
        self.granted: dict[str, Grant] = {}
        self.workers = worker_tables.WorkerTable(timer)
        self._timer = timer
        self._isolation = isolations.WorkerIsolation(bundle.ranks, timer)
        self._account = accounts.DeficitAccount(
            lambda: self.backlog.waiting_ranks()
        )
        self.apply_bundle(pool, bundle)

    def apply_bundle(self, pool: pools.Pool, bundle: bundles.Bundle) -> None:
        """Apply the workers, ranks and policies of a bundle.

        Waiting calls stay in the queue. Slots on removed workers are held
        until their calls end.
        """
        waiting = list(self.backlog)
        self.backlog = backlogs.Backlog(bundle)
        for request in waiting:
            self.backlog.push(request)
        busy = collections.Counter(
            grant.worker for grant in self.granted.values()
        )
        self.workers.apply(pool, bundle.policy, busy)
        self._isolation.apply(bundle.ranks)
        self._placer = placers.Placer(
            placements.PLACEMENTS[bundle.policy.placement], self._timer
        )

    def submit(self, request: queue_orders.SlotRequest) -> None:
        """Queue a call, unless it already waits or holds a slot.

        :raises OverloadedError: if the admission policy refuses the call or
            the queue is full.
        """
        if not self.has_call(request.identifier):
            self.backlog.check_admission(request, self.workers.slot_interval_ms)
            self._enqueue(request)

    def enqueue_admitted(self, request: queue_orders.SlotRequest) -> None:
        """Queue a call that another dispatcher admitted."""
        if not self.has_call(request.identifier):
            self._enqueue(request)

    def adopt_grant(
        self, request: queue_orders.SlotRequest, worker: str
    ) -> None:
        """Record a slot that another dispatcher granted."""
        if request.identifier not in self.granted:
            self._dequeue(request.identifier)
            self.granted[request.identifier] = Grant(request, worker)
            self.workers.adopt_slot(worker)
            self._isolation.record_grant(self.backlog.rank_of(request), worker)

    def has_call(self, identifier: str) -> bool:
        """Return whether a call waits or holds a slot."""
        return identifier in self.granted or identifier in self.backlog

    def release(
        self, identifier: str, report: slot_limiters.CallReport | None = None
    ) -> None:
        """Remove a call, whether it waits or holds a slot.

        :param identifier: the call's identifier; unknown ones are ignored.
        :param report: measurements of the call, if a worker ran it.
        """
        self._dequeue(identifier)
        grant = self.granted.pop(identifier, None)
        if grant is None:
            return
        measured = report or slot_limiters.CallReport()
        rank = self.backlog.rank_of(grant.request)
        busy = self.workers.busy(grant.worker)
        self.workers.release(grant.worker, report)
        self._isolation.record_release(rank, grant.worker, measured, busy)
        self._account.settle(
            self.backlog.deficits, rank, grant.charged_tokens, measured
        )

    def grant_next(self) -> Grant | None:
        """Grant a slot to the next call.

        Returns None if no slot is available or no waiting call can use one.
        """
        free = self.workers.available()
        if not free:
            return None
        ranks = list(
            self.backlog.deficits.order_ranks(self.backlog.waiting_ranks())
        )
        for position, rank in enumerate(ranks):
            # Ranks sort before more urgent ones only while they have a
            # deficit. Isolation must not withhold their share.
            is_owed = rank > min(ranks[position:])
            eligible = free
            if not is_owed:
                eligible = self._isolation.eligible_workers(rank, free)
            grant = self._grant_from_rank(rank, eligible)
            if grant is not None:
                return grant
        return None

    def shed_excess(self) -> list[queue_orders.SlotRequest]:
        """Remove and return the calls beyond the ranks' queue limits."""
        excess = self.backlog.excess(self.workers.slot_interval_ms)
        for request in excess:
            self._dequeue(request.identifier)
        return excess

    def expected_wait_ms(self, rank: int) -> float:
        """Return the expected wait of a rank's next arrival, in ms."""
        return self.backlog.expected_wait_ms(
            rank, self.workers.slot_interval_ms
        )

    def _enqueue(self, request: queue_orders.SlotRequest) -> None:
        arrived_ms = self._timer.now_ms() - request.waited_ms
        self.backlog.push(attrs.evolve(request, arrived_ms=arrived_ms))

    def _grant_from_rank(
        self, rank: int, free: Sequence[placements.WorkerLoad]
    ) -> Grant | None:
        """Grant a slot to the first call of a rank that accepts a worker.

        Calls that the placement policy defers are put back into the queue.
        At most ``MAX_DEFERRED_CALLS`` calls are tried.
        """
        deferred = []
        grant = None
        while free and grant is None and len(deferred) < MAX_DEFERRED_CALLS:
            request = self.backlog.pop(rank)
            if request is None:
                break
            not_avoided = [
                load for load in free if load.name not in request.avoided
            ]
            load = self._placer.place(
                request, not_avoided or free, self.workers.loads
            )
            if load is None:
                deferred.append(request)
            else:
                grant = self._grant(request, load, rank)
        for request in deferred:
            self.backlog.push(request)
        return grant

    def _grant(
        self,
        request: queue_orders.SlotRequest,
        load: placements.WorkerLoad,
        rank: int,
    ) -> Grant:
        self._placer.remove(request.identifier)
        load.busy += 1
        load.granted_total += 1
        self._isolation.record_grant(rank, load.name)
        tokens = self._account.charge(self.backlog.deficits, rank)
        grant = Grant(request, load.name, tokens)
        self.granted[request.identifier] = grant
        return grant

    def _dequeue(self, identifier: str) -> None:
        self.backlog.remove(identifier)
        self._placer.remove(identifier)
