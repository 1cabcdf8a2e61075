"""Dispatchers: one queue and the slots of all workers of a pool.

A worker is chosen only when a slot is granted, so no call waits behind
another at a worker while a second worker idles.
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
    """A slot on a worker, given to one call.

    ``charged_tokens`` is what the call's rank was charged in advance.
    """

    request: queue_orders.SlotRequest
    worker: str
    charged_tokens: float = 0


class Dispatcher:
    """Grant the slots of one pool's workers.

    :param pool: the workers.
    :param bundle: ranks and policies.
    :param timer: the clock that arrival times refer to.
    """

    def __init__(
        self, pool: pools.Pool, bundle: bundles.Bundle, timer: clock.Clock
    ) -> None:
        """Start with every worker idle."""
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
        """Take over the workers, ranks and policies of a bundle.

        Calls that wait stay; slots on workers that were removed run out.
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
        """Queue a call; one that is known already stays as it is.

        :raises OverloadedError: it is refused.
        """
        if not self.has_call(request.identifier):
            self.backlog.check_admission(request, self.workers.slot_interval_ms)
            self._enqueue(request)

    def enqueue_admitted(self, request: queue_orders.SlotRequest) -> None:
        """Queue a call that another dispatcher had admitted."""
        if not self.has_call(request.identifier):
            self._enqueue(request)

    def adopt_grant(
        self, request: queue_orders.SlotRequest, worker: str
    ) -> None:
        """Note a slot that another dispatcher had granted."""
        if request.identifier not in self.granted:
            self._dequeue(request.identifier)
            self.granted[request.identifier] = Grant(request, worker)
            self.workers.adopt_slot(worker)
            self._isolation.record_grant(self.backlog.rank_of(request), worker)

    def has_call(self, identifier: str) -> bool:
        """Tell whether a call waits or holds a slot."""
        return identifier in self.granted or identifier in self.backlog

    def release(
        self, identifier: str, report: slot_limiters.CallReport | None = None
    ) -> None:
        """Forget a call, whether it waits or holds a slot.

        :param served: what its holder saw, if it was served.
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
        """Grant a slot to the next call, if both exist."""
        free = self.workers.available()
        if not free:
            return None
        ranks = list(
            self.backlog.deficits.order_ranks(self.backlog.waiting_ranks())
        )
        for position, rank in enumerate(ranks):
            # A rank that goes before a more urgent one is owed its share.
            is_owed = rank > min(ranks[position:])
            eligible = free
            if not is_owed:
                eligible = self._isolation.eligible_workers(rank, free)
            grant = self._grant_from_rank(rank, eligible)
            if grant is not None:
                return grant
        return None

    def shed_excess(self) -> list[queue_orders.SlotRequest]:
        """Take out and return calls that would wait too long."""
        excess = self.backlog.excess(self.workers.slot_interval_ms)
        for request in excess:
            self._dequeue(request.identifier)
        return excess

    def expected_wait_ms(self, rank: int) -> float:
        """Return how long a rank's next arrival will wait."""
        return self.backlog.expected_wait_ms(
            rank, self.workers.slot_interval_ms
        )

    def _enqueue(self, request: queue_orders.SlotRequest) -> None:
        arrived_ms = self._timer.now_ms() - request.waited_ms
        self.backlog.push(attrs.evolve(request, arrived_ms=arrived_ms))

    def _grant_from_rank(
        self, rank: int, free: Sequence[placements.WorkerLoad]
    ) -> Grant | None:
        """Grant to one of the first calls of a rank that takes a slot."""
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
