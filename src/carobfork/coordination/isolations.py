"""Isolation: keep batches short on the engines where urgent calls run.

An engine serves its whole batch at one pace and knows no ranks, so order in
the queue alone does not protect a stream from a batch full of other work. A
rank that asks for a time between tokens gets engines to itself as far as it
needs them; other ranks fill the remaining ones.
"""

import collections
import math
from collections.abc import Sequence

from carobfork import clock
from carobfork.coordination import latency_models, placements, slot_limiters
from carobfork.state import bundles

ISOLATION_TTL_MS = 3000
"""How long an engine stays isolated after its last isolating grant."""
_OTHERS_PART = 0.5
"""Part of the short batch that calls of other ranks may fill."""
_FILL = 0.8
"""Part of the short batches that isolating calls fill before one more worker
is isolated."""


class WorkerIsolation:
    """Choose the workers that a rank's calls may use.

    :param ranks: the bundle's ranks, most urgent first.
    :param timer: measures how long a worker stays isolated.
    """

    def __init__(
        self, ranks: Sequence[bundles.Rank], timer: clock.Clock
    ) -> None:
        """Start without isolated workers."""
        self._ranks = ranks
        self._timer = timer
        self._paces: dict[str, latency_models.LatencyModel] = {}
        self._isolating: collections.Counter[str] = collections.Counter()
        self._until_ms: dict[str, float] = {}

    def apply(self, ranks: Sequence[bundles.Rank]) -> None:
        """Take over the ranks of a bundle."""
        self._ranks = ranks

    def has_latency_target(self, rank: int) -> bool:
        """Tell whether a rank asks for a time between tokens."""
        return bool(self._target_ms(rank))

    def record_grant(self, rank: int, worker: str) -> None:
        """Note a slot that was granted."""
        if self.has_latency_target(rank):
            self._isolating[worker] += 1
            self._until_ms[worker] = self._timer.now_ms() + ISOLATION_TTL_MS

    def record_release(
        self,
        rank: int,
        worker: str,
        report: slot_limiters.CallReport,
        busy: int,
    ) -> None:
        """Note a slot that came free, and learn from it."""
        if self.has_latency_target(rank):
            self._isolating[worker] = max(0, self._isolating[worker] - 1)
        if report.between_tokens_ms:
            pace = self._paces.setdefault(worker, latency_models.LatencyModel())
            pace.observe(busy, report.between_tokens_ms)

    def eligible_workers(
        self, rank: int, free: Sequence[placements.WorkerLoad]
    ) -> Sequence[placements.WorkerLoad]:
        """Return the free workers that a rank's call may use now.

        A call that isolates is never left without a worker; it takes
        isolated ones with room first, so that few are isolated.
        """
        kept = self._kept(free)
        if not self.has_latency_target(rank):
            return [load for load in free if self._admits_others(load, kept)]
        short = [load for load in free if load.busy < self._short(load, rank)]
        isolated = [load for load in short if load.name in kept]
        return isolated or short or free

    def _kept(self, free: Sequence[placements.WorkerLoad]) -> set[str]:
        """Return the workers to keep isolated, those used most first."""
        now_ms = self._timer.now_ms()
        isolated = sorted(
            (name for name, until in self._until_ms.items() if now_ms < until),
            key=lambda name: -self._isolating[name],
        )
        shortest = min((self._shortest(load) for load in free), default=1)
        calls = self._isolating.total() + 1
        return set(isolated[: math.ceil(calls / (shortest * _FILL))])

    def _admits_others(
        self, load: placements.WorkerLoad, kept: set[str]
    ) -> bool:
        if load.name not in kept and not self._isolating[load.name]:
            return True
        return load.busy < self._shortest(load) * _OTHERS_PART

    def _shortest(self, load: placements.WorkerLoad) -> float:
        shorts = [
            self._short(load, rank)
            for rank in range(len(self._ranks))
            if self.has_latency_target(rank)
        ]
        return min(shorts, default=load.slot_limit)

    def _short(self, load: placements.WorkerLoad, rank: int) -> float:
        pace = self._paces.get(load.name)
        if pace is None:
            return load.slot_limit
        return pace.max_slots(self._target_ms(rank))

    def _target_ms(self, rank: int) -> float:
        if rank >= len(self._ranks):
            return 0
        return self._ranks[rank].between_tokens_ms
