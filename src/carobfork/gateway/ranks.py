"""Remember which ranks of a service's calls are being made.

The load pattern: in a burst of several ranks at many hosts, overdue routine
calls fill the workers' own queues, and urgent calls find no room there.
"""

RANK_MEMORY_MS = 3000
"""How long a call shows that calls of its rank are being made: many hosts see
few calls each."""


class RankMemory:
    """When a call of each rank last arrived at this host."""

    def __init__(self) -> None:
        """Create a memory without calls."""
        self._last_arrival_ms: dict[int, float] = {}

    def record(self, rank: int, now_ms: float) -> None:
        """Record the arrival of a call."""
        self._last_arrival_ms[rank] = now_ms

    def has_more_urgent(self, rank: int, now_ms: float) -> bool:
        """Return whether more urgent calls have been made lately.

        :param rank: the rank to compare with.
        """
        return any(
            other_rank < rank and now_ms - arrived_ms < RANK_MEMORY_MS
            for other_rank, arrived_ms in self._last_arrival_ms.items()
        )
