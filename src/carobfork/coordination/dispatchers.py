"""Dispatchers: one queue and the slots of all workers of a model.

A worker is chosen only when a slot is granted, so no call waits behind
another at a worker while a second worker idles.
"""

import attrs

from carobfork import clock, exceptions
from carobfork.coordination import orders, placements
from carobfork.state import bundles

INITIAL_SLOTS = 4
QUEUE_LIMIT = 2000


@attrs.frozen
class Grant:
    """A slot on a worker, given to one request."""

    request: orders.SlotRequest
    worker: str


class Dispatcher:
    """Grant the slots of one model's workers.

    :param model: the model as the bundle lists it.
    :param policy: names of the order and placement policies in force.
    :param timer: the clock that arrival times refer to.
    """

    def __init__(
        self,
        model: bundles.Model,
        policy: bundles.Policy,
        timer: clock.Clock,
    ) -> None:
        """Start with every worker idle."""
        self.waiting: dict[str, orders.SlotRequest] = {}
        self.granted: dict[str, Grant] = {}
        self.workers = {
            worker.name: placements.WorkerLoad(worker.name, INITIAL_SLOTS)
            for worker in model.workers
        }
        self._order = orders.ORDERS[policy.order]
        self._placement = placements.PLACEMENTS[policy.placement]
        self._timer = timer

    def submit(self, request: orders.SlotRequest) -> None:
        """Queue a request.

        :raises OverloadedError: the queue is full.
        """
        if len(self.waiting) >= QUEUE_LIMIT:
            raise exceptions.OverloadedError(
                f'{len(self.waiting)} calls wait already',
                step='queue',
                peer=request.model,
            )
        self.waiting[request.identifier] = request

    def withdraw(self, identifier: str) -> None:
        """Forget a request, whether it waits or holds a slot."""
        self.waiting.pop(identifier, None)
        grant = self.granted.pop(identifier, None)
        if grant is not None:
            self.workers[grant.worker].busy -= 1

    def grant_next(self) -> Grant | None:
        """Grant a slot to the next request, if both exist."""
        free = [load for load in self.workers.values() if load.free > 0]
        if not free or not self.waiting:
            return None
        now_ms = self._timer.now_ms()
        request = min(
            self.waiting.values(),
            key=lambda waiting: self._order(waiting, now_ms),
        )
        load = self._placement(request, _preferred(request, free))
        load.busy += 1
        load.granted += 1
        grant = Grant(request, load.name)
        self.granted[request.identifier] = grant
        del self.waiting[request.identifier]  # noqa: WPS420
        return grant


def _preferred(
    request: orders.SlotRequest, free: list[placements.WorkerLoad]
) -> list[placements.WorkerLoad]:
    """Return the workers at which a call has not failed, if any."""
    fresh = [load for load in free if load.name not in request.avoided]
    return fresh or free
