"""Queue the calls of one rank that wait for a backend server's slot."""

import heapq

from carobfork.coordination import queue_orders

_MAX_SPARE_ENTRIES = 64


class RankQueue:
    """Priority queue of waiting calls.

    Removal is lazy: the heap entry of a removed call stays until it reaches
    the top or the heap is compacted.

    :param policy: the queue order with the sort key.
    """

    def __init__(self, policy: queue_orders.OrderPolicy) -> None:
        """Create an empty queue."""
        self.requests: dict[str, queue_orders.SlotRequest] = {}
        self._policy = policy
        self._heap: list[tuple[float, int, str]] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
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
        """Remove and return a call, or return None if it does not wait."""
        return self.requests.pop(identifier, None)

    def pop(self) -> queue_orders.SlotRequest | None:
        """Remove and return the next call, or None if there is none."""
        while self._heap:
            identifier = heapq.heappop(self._heap)[-1]
            request = self.requests.pop(identifier, None)
            if request is not None:
                return request
        return None

    def shed_candidates(self, count: int) -> list[queue_orders.SlotRequest]:
        """Return the calls to shed when the queue is too long.

        Calls of new programs come first, then those that would be served
        last.

        :param count: the maximum number of calls.
        """
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
