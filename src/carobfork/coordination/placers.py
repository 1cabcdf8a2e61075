"""Apply a placement policy and track the calls that it defers.

A deferred call waits for a certain worker (backend server).
"""

from collections.abc import Mapping, Sequence

import attrs

from carobfork import clock
from carobfork.coordination import placements, queue_orders


@attrs.frozen
class _Deferral:
    """The worker that a deferred call waits for, and since when."""

    load: placements.WorkerLoad
    since_ms: float


class Placer:
    """Placement policy with the deferrals that it decided on.

    :param policy: the placement policy in force.
    :param timer: the clock for the time that calls are deferred.
    """

    def __init__(
        self, policy: placements.PlacementPolicy, timer: clock.Clock
    ) -> None:
        """Create a placer without deferred calls."""
        self._policy = policy
        self._timer = timer
        self._deferrals: dict[str, _Deferral] = {}

    def place(
        self,
        request: queue_orders.SlotRequest,
        free: Sequence[placements.WorkerLoad],
        workers: Mapping[str, placements.WorkerLoad],
    ) -> placements.WorkerLoad | None:
        """Return a free worker, or None if the call is deferred.

        :param request: the call.
        :param free: the workers with a free slot that the call may use.
        :param workers: all workers of the pool by name.
        """
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
        """Remove the deferral of a call that was placed or has ended."""
        deferral = self._deferrals.pop(identifier, None)
        if deferral is not None:
            deferral.load.deferred_calls -= 1
