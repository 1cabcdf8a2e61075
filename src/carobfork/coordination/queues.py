"""Queues: the waiting calls of one rank, in the order policy's order."""

import heapq

from carobfork.coordination import queue_orders

_MAX_SPARE_ENTRIES = 64


class RankQueue:
    """Hold calls in a heap; a call that leaves is dropped when it surfaces.

    :param policy: gives the sort keys.
    """

    def __init__(self, policy: queue_orders.OrderPolicy) -> None:
        """Start empty."""
        self.requests: dict[str, queue_orders.SlotRequest] = {}
        self._policy = policy
        self._heap: list[tuple[float, int, str]] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Return how many calls wait."""
        return len(self.requests)

    def push(self, request: queue_orders.SlotRequest) -> None:
        """Add a call."""
        self.requests[request.identifier] = request
        self._sequence += 1
        key = self._policy.key(request)
        heapq.heappush(self._heap, (key, self._sequence, request.identifier))
        if len(self._heap) > 2 * len(self.requests) + _MAX_SPARE_ENTRIES:
            self._compact()

    def remove(self, identifier: str) -> queue_orders.SlotRequest | None:
        """Take a call out, if it waits here."""
        return self.requests.pop(identifier, None)

    def pop(self) -> queue_orders.SlotRequest | None:
        """Take out the next call, if there is one."""
        while self._heap:
            identifier = heapq.heappop(self._heap)[-1]
            request = self.requests.pop(identifier, None)
            if request is not None:
                return request
        return None

    def shed_candidates(self, count: int) -> list[queue_orders.SlotRequest]:
        """Return calls to give up: of new programs, then the last ones."""
        return heapq.nlargest(
            count,
            self.requests.values(),
            key=lambda request: (
                not request.started,
                self._policy.key(request),
            ),
        )

    def _compact(self) -> None:
        self._heap = [
            entry for entry in self._heap if entry[-1] in self.requests
        ]
        heapq.heapify(self._heap)
