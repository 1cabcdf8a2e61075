"""Select a backend server for a call among those that may get it."""

from collections.abc import Iterable

from carobfork import clock
from carobfork.gateway import (
    connection_pools,
    placements,
    queued_calls,
    worker_tables,
    workers,
)


class WorkerSelector:
    """Select workers of one service by a policy and their request limits.

    :param service: the service's name.
    :param table: the workers of all services.
    :param timer: the clock for loads and failures.
    :param policy: the placement policy.
    """

    def __init__(
        self,
        service: str,
        table: worker_tables.WorkerTable,
        timer: clock.Clock,
        policy: placements.PlacementPolicy,
    ) -> None:
        """Create a selector."""
        self._service = service
        self._table = table
        self._timer = timer
        self._policy = policy

    def candidates(
        self, queued: queued_calls.QueuedCall, *, any_version: bool = False
    ) -> list[workers.Worker]:
        """Return the workers that a call may run on, full or not.

        :param any_version: include workers of other software versions than
            the one that the call requires.
        """
        usable = self._table.usable(
            self._service, None if any_version else queued.version
        )
        if queued.excluded:
            usable = [
                worker
                for worker in usable
                if worker.instance != queued.excluded
            ]
        if not queued.avoided:
            return usable
        untried = [
            worker for worker in usable if worker.instance not in queued.avoided
        ]
        if untried or not queued.route.is_repeatable:
            return untried
        sound = [
            worker for worker in usable if worker.instance not in queued.failed
        ]
        return sound or usable

    def is_in_vain(self, queued: queued_calls.QueuedCall) -> bool:
        """Return whether a call without a candidate waits for nothing.

        No other worker gets the version that it requires, and leaving workers
        don't come back in time. One that has lost its entry may.
        """
        if queued.version is not None:
            return True
        known = [
            worker
            for worker in self._table
            if worker.entry.service == self._service
        ]
        return all(
            worker.leaving_since_ms is not None or worker.entry.is_draining
            for worker in known
        ) and any(
            worker.leaving_since_ms is not None
            and worker.unlisted_since_ms is None
            for worker in known
        )

    def choose(
        self, queued: queued_calls.QueuedCall, max_permit_wait_ms: float
    ) -> workers.Worker | None:
        """Return the worker for a call, or ``None`` if there is none now.

        If the best one is limited and there is no permit for it, a permit is
        requested for this call or the next one. Meanwhile others are used.

        :param max_permit_wait_ms: longest wait until that permit is valid.
        """
        candidates = self._paced(queued, self.candidates(queued))
        chosen = self._place(queued, candidates)
        if chosen is None or self._table.limiter.may_send(chosen):
            return chosen
        self._table.limiter.request(chosen, max_permit_wait_ms)
        return self._place(queued, self._sendable(candidates))

    def peek(self, queued: queued_calls.QueuedCall) -> workers.Worker | None:
        """Return the worker that a call might get now, without effects."""
        return self._place(queued, self._sendable(self.candidates(queued)))

    def choose_overflow(
        self, queued: queued_calls.QueuedCall, max_calls_per_slot: float
    ) -> workers.Worker | None:
        """Return a worker whose own queue is short enough, if there is one.

        :param max_calls_per_slot: workers with more calls are excluded.
        """
        candidates = self._sendable(self.candidates(queued))
        now_ms = self._timer.now_ms()
        return placements.place_overflow(
            self._paced(queued, candidates), now_ms, max_calls_per_slot
        ) or placements.place_overflow(candidates, now_ms, max_calls_per_slot)

    def calls_per_ms(
        self, candidates: Iterable[workers.Worker], hold_ms: float
    ) -> float:
        """Return the rate at which workers take the calls of all hosts.

        :param hold_ms: how long a call holds a slot.
        """
        rates = (
            _calls_per_ms(worker, worker.entry.slots / hold_ms)
            for worker in candidates
        )
        return max(sum(rates), 1 / hold_ms)

    def _paced(
        self,
        queued: queued_calls.QueuedCall,
        candidates: list[workers.Worker],
    ) -> list[workers.Worker]:
        """Return the workers that the pace lets have a call now.

        A call with a home may go to all: a worker is home to a small part of
        the programs, and hosts that differ in where a program may run would
        have its prompt read at several workers.
        """
        if self._policy is placements.place_at_home and queued.call.home_key:
            return candidates
        return self._table.pacer.sendable(candidates)

    def _sendable(
        self, candidates: list[workers.Worker]
    ) -> list[workers.Worker]:
        """Return the workers that are not limited or have a permit."""
        return [
            worker
            for worker in candidates
            if self._table.limiter.may_send(worker)
        ]

    def _place(
        self,
        queued: queued_calls.QueuedCall,
        candidates: list[workers.Worker],
    ) -> workers.Worker | None:
        """Apply the policy to candidates.

        A stream that can be resumed goes to a worker whose version is not
        known yet only if no other has room: it could not go on elsewhere.
        """
        if queued.route.is_resumable:
            known = [
                worker for worker in candidates if worker.renewed_from is None
            ]
            if len(known) < len(candidates):
                chosen = self._place_trusted(queued, known)
                if chosen is not None:
                    return chosen
        return self._place_trusted(queued, candidates)

    def _place_trusted(
        self,
        queued: queued_calls.QueuedCall,
        candidates: list[workers.Worker],
    ) -> workers.Worker | None:
        """Apply the policy, to workers without a recent failure first.

        A call that must not run twice goes to a worker with a recent failure
        only if there is no other: if the connection broke, it would be
        unknown whether the call ran.
        """
        now_ms = self._timer.now_ms()
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


def _calls_per_ms(worker: workers.Worker, by_slots: float) -> float:
    """Return the rate of one worker, given the rate that its slots allow."""
    if worker.limit_per_s is None:
        return by_slots
    return min(by_slots, clock.per_ms(worker.limit_per_s))
