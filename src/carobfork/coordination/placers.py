"""Placers: apply a placement policy, and remember who waits for a worker."""

from collections.abc import Mapping, Sequence

import attrs

from carobfork import clock
from carobfork.coordination import placements, queue_orders


@attrs.frozen
class _Deferral:
    """A call that was passed over to wait for a worker."""

    load: placements.WorkerLoad
    since_ms: float


class Placer:
    """Choose workers, or pass calls over for a while.

    :param policy: the placement policy in force.
    :param timer: measures how long a call has been passed over.
    """

    def __init__(
        self, policy: placements.PlacementPolicy, timer: clock.Clock
    ) -> None:
        """Start without calls passed over."""
        self._policy = policy
        self._timer = timer
        self._deferrals: dict[str, _Deferral] = {}

    def place(
        self,
        request: queue_orders.SlotRequest,
        free: Sequence[placements.WorkerLoad],
        workers: Mapping[str, placements.WorkerLoad],
    ) -> placements.WorkerLoad | None:
        """Return a free worker, or nothing to pass the call over."""
        now_ms = self._timer.now_ms()
        deferral = self._deferrals.get(request.identifier)
        since_ms = deferral.since_ms if deferral else now_ms
        load = self._policy(
            request, placements.Candidates(free, workers, now_ms - since_ms)
        )
        if load is None and deferral is None:
            awaited = workers[request.last_worker]
            awaited.deferred_calls += 1
            self._deferrals[request.identifier] = _Deferral(awaited, now_ms)
        return load

    def remove(self, identifier: str) -> None:
        """Forget a call that was placed or went away."""
        deferral = self._deferrals.pop(identifier, None)
        if deferral is not None:
            deferral.load.deferred_calls -= 1
