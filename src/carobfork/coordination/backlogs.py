"""Hold the waiting calls of a pool by rank and estimate their waits.

The calls wait for slots on the pool's workers, its backend servers.
"""

from collections.abc import Iterator

from carobfork import exceptions
from carobfork.coordination import (
    admissions,
    queue_orders,
    queues,
    rank_deficits,
)
from carobfork.state import bundles

MAX_QUEUED_CALLS = 5000
MIN_RETRY_AFTER_MS = 100
MIN_CAPACITY_RATIO = 0.01


class Backlog:
    """Queues of a pool's waiting calls, one for each rank.

    :param bundle: the bundle with the ranks and the policies for order and
        admission.
    """

    def __init__(self, bundle: bundles.Bundle) -> None:
        """Create an empty backlog."""
        order = queue_orders.ORDERS[bundle.policy.order]
        self.deficits = rank_deficits.RankDeficits(
            [rank.share for rank in bundle.ranks]
        )
        self._ranks = bundle.ranks
        self._by_rank = order.by_rank
        self._admit = admissions.ADMISSIONS[bundle.policy.admission]
        self._queues = [queues.RankQueue(order) for _ in bundle.ranks]
        self._kind_counts: list[dict[str, int]] = [{} for _ in bundle.ranks]

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return sum(map(len, self._queues))

    def __contains__(self, identifier: str) -> bool:
        """Return whether a call waits."""
        return any(identifier in queue.requests for queue in self._queues)

    def __iter__(self) -> Iterator[queue_orders.SlotRequest]:
        """Yield the waiting calls."""
        for queue in self._queues:
            yield from queue.requests.values()

    @property
    def lengths_by_rank(self) -> dict[str, int]:
        """Number of waiting calls by the rank's name."""
        pairs = zip(self._ranks, self._queues, strict=True)
        return {rank.name: len(queue) for rank, queue in pairs}

    def waiting_ranks(self) -> set[int]:
        """Return the positions of the ranks with waiting calls."""
        return {
            rank for rank, queue in enumerate(self._queues) if queue.requests
        }

    def push(self, request: queue_orders.SlotRequest) -> None:
        """Add a call to its rank's queue."""
        rank = self.rank_of(request)
        self._queues[rank].push(request)
        kinds = self._kind_counts[rank]
        kinds[request.kind] = kinds.get(request.kind, 0) + 1

    def remove(self, identifier: str) -> queue_orders.SlotRequest | None:
        """Remove and return a call, or return None if it does not wait."""
        for queue in self._queues:
            request = queue.remove(identifier)
            if request is not None:
                self._uncount_kind(request)
                return request
        return None

    def pop(self, rank: int) -> queue_orders.SlotRequest | None:
        """Remove and return a rank's next call, or None if there is none."""
        request = self._queues[rank].pop()
        if request is not None:
            self._uncount_kind(request)
        return request

    def rank_of(self, request: queue_orders.SlotRequest) -> int:
        """Return the position of the queue that a call waits in.

        A host with another bundle version may send a rank that this bundle
        does not have; such calls are put into the last rank.
        """
        if not self._by_rank:
            return 0
        return min(request.rank, len(self._queues) - 1)

    def expected_wait_ms(self, rank: int, slot_interval_ms: float) -> float:
        """Return the expected wait of a rank's next arrival, in ms.

        :param rank: the rank's position.
        :param slot_interval_ms: mean time between two released slots.
        """
        return (
            len(self._queues[rank])
            * slot_interval_ms
            / self._capacity_ratio(rank)
        )

    def check_admission(
        self, request: queue_orders.SlotRequest, slot_interval_ms: float
    ) -> None:
        """Check that a call may be queued.

        :param request: the call.
        :param slot_interval_ms: mean time between two released slots.
        :raises OverloadedError: if the queue is full or the admission policy
            refuses the call; nothing has run.
        """
        rank = self.rank_of(request)
        wait_ms = self.expected_wait_ms(rank, slot_interval_ms)
        if len(self) >= MAX_QUEUED_CALLS or not self._admit(
            self._describe_arrival(request, wait_ms)
        ):
            raise overloaded_error(request.model, wait_ms)

    def excess(self, slot_interval_ms: float) -> list[queue_orders.SlotRequest]:
        """Return the waiting calls beyond the ranks' queue limits.

        :param slot_interval_ms: mean time between two released slots; there
            is no excess while it is unknown (0).
        """
        if self._admit is admissions.admit_all or not slot_interval_ms:
            return []
        excess = []
        for rank, queue in enumerate(self._queues):
            limit_ms = self._ranks[rank].queue_limit_ms
            limit_ms *= admissions.STARTED_PROGRAM_LIMIT_RATIO
            max_waiting = (
                int(limit_ms * self._capacity_ratio(rank) / slot_interval_ms)
                + 1
            )
            if len(queue) > max_waiting:
                excess.extend(queue.shed_candidates(len(queue) - max_waiting))
        return excess

    def _capacity_ratio(self, rank: int) -> float:
        """Return the fraction of the released slots that a rank can expect.

        The shares of waiting lower ranks are subtracted. While a more urgent
        rank waits, a rank can expect no more than its own share.
        """
        ratio = 1 - sum(
            self._ranks[lower].share
            for lower in self.waiting_ranks()
            if lower > rank
        )
        if any(higher < rank for higher in self.waiting_ranks()):
            ratio = min(ratio, self._ranks[rank].share)
        return max(ratio, MIN_CAPACITY_RATIO)

    def _describe_arrival(
        self, request: queue_orders.SlotRequest, wait_ms: float
    ) -> admissions.Arrival:
        rank = self.rank_of(request)
        kinds = self._kind_counts[rank]
        other_kinds = sum(1 for kind in kinds if kind != request.kind)
        same_kind = kinds.get(request.kind, 0)
        return admissions.Arrival(
            expected_wait_ms=wait_ms,
            queue_limit_ms=self._ranks[rank].queue_limit_ms,
            started=request.started,
            kind_ratio=same_kind / max(len(self._queues[rank]), 1),
            kind_count=other_kinds + 1,
        )

    def _uncount_kind(self, request: queue_orders.SlotRequest) -> None:
        kinds = self._kind_counts[self.rank_of(request)]
        kinds[request.kind] -= 1
        if not kinds[request.kind]:
            kinds.pop(request.kind)


def overloaded_error(peer: str, wait_ms: float) -> exceptions.OverloadedError:
    """Return the error for a call that would wait too long for a slot.

    :param peer: the model, pool or other subject of the wait.
    :param wait_ms: the expected wait.
    """
    return exceptions.OverloadedError(
        f'the expected wait for a slot is {wait_ms:.0f} ms',
        step='queue',
        peer=peer,
        retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_ms)),
    )
