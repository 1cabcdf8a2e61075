"""Keep batches small on the workers that run latency-sensitive calls.

A backend server with a model engine runs its whole batch at one speed and
does not know ranks, so the order of the queue alone does not protect a
stream from a batch full of other calls. A rank with a target for the time
between tokens therefore gets as many workers as it needs mostly to itself;
other ranks fill the remaining ones.
"""

import collections
import math
from collections.abc import Sequence

from carobfork import clock
from carobfork.coordination import latency_models, placements, slot_limiters
from carobfork.state import bundles

ISOLATION_TTL_MS = 3000
"""How long a worker stays isolated after its last isolating grant."""
_OTHER_RANKS_RATIO = 0.5
"""Fraction of an isolated worker's batch limit that calls of other ranks may
fill."""
_FILL_RATIO = 0.8
"""Fraction of the isolated workers' batch limits that isolating calls fill
before another worker is isolated."""


class WorkerIsolation:
    """Select the workers that a rank's calls may use.

    Calls of a rank with a target for the time between tokens are called
    isolating, since they isolate the workers that run them.

    :param ranks: the bundle's ranks, most urgent first.
    :param timer: the clock for the time that a worker stays isolated.
    """

    def __init__(
        self, ranks: Sequence[bundles.Rank], timer: clock.Clock
    ) -> None:
        """Create an instance without isolated workers."""
        self._ranks = ranks
        self._timer = timer
        self._latency_models: dict[str, latency_models.LatencyModel] = {}
        self._isolating_calls: collections.Counter[str] = collections.Counter()
        self._isolated_until_ms: dict[str, float] = {}

    def apply(self, ranks: Sequence[bundles.Rank]) -> None:
        """Apply the ranks of a bundle."""
        self._ranks = ranks

    def has_latency_target(self, rank: int) -> bool:
        """Return whether a rank has a target for the time between tokens."""
        return bool(self._target_ms(rank))

    def record_grant(self, rank: int, worker: str) -> None:
        """Record a slot that was granted to a rank's call."""
        if self.has_latency_target(rank):
            self._isolating_calls[worker] += 1
            self._isolated_until_ms[worker] = (
                self._timer.now_ms() + ISOLATION_TTL_MS
            )

    def record_release(
        self,
        rank: int,
        worker: str,
        report: slot_limiters.CallReport,
        busy: int,
    ) -> None:
        """Record a released slot and update the worker's latency model.

        :param rank: the call's rank.
        :param worker: the worker's name.
        :param report: measurements of the call.
        :param busy: slots that were held on the worker, this one included.
        """
        if self.has_latency_target(rank):
            self._isolating_calls[worker] = max(
                0, self._isolating_calls[worker] - 1
            )
        if report.between_tokens_ms:
            model = self._latency_models.setdefault(
                worker, latency_models.LatencyModel()
            )
            model.observe(busy, report.between_tokens_ms)

    def eligible_workers(
        self, rank: int, free: Sequence[placements.WorkerLoad]
    ) -> Sequence[placements.WorkerLoad]:
        """Return the free workers that a rank's call may use now.

        Isolating calls may use any free worker if all batches are at their
        limits. They use isolated workers below the limit first, so that few
        workers are isolated.
        """
        isolated_names = self._isolated_workers(free)
        if not self.has_latency_target(rank):
            return [
                load
                for load in free
                if self._has_room_for_others(load, isolated_names)
            ]
        below_limit = [
            load for load in free if load.busy < self._batch_limit(load, rank)
        ]
        isolated = [load for load in below_limit if load.name in isolated_names]
        return isolated or below_limit or free

    def _isolated_workers(
        self, free: Sequence[placements.WorkerLoad]
    ) -> set[str]:
        """Return the names of the workers to keep isolated.

        Workers with the most isolating calls are kept first. Their number is
        bounded by what the isolating calls and one more need.
        """
        now_ms = self._timer.now_ms()
        isolated = sorted(
            (
                name
                for name, until in self._isolated_until_ms.items()
                if now_ms < until
            ),
            key=lambda name: -self._isolating_calls[name],
        )
        batch_limit = min(
            (self._min_batch_limit(load) for load in free), default=1
        )
        calls = self._isolating_calls.total() + 1
        return set(isolated[: math.ceil(calls / (batch_limit * _FILL_RATIO))])

    def _has_room_for_others(
        self, load: placements.WorkerLoad, isolated_names: set[str]
    ) -> bool:
        if (
            load.name not in isolated_names
            and not self._isolating_calls[load.name]
        ):
            return True
        return load.busy < self._min_batch_limit(load) * _OTHER_RANKS_RATIO

    def _min_batch_limit(self, load: placements.WorkerLoad) -> float:
        batch_limits = [
            self._batch_limit(load, rank)
            for rank in range(len(self._ranks))
            if self.has_latency_target(rank)
        ]
        return min(batch_limits, default=load.slot_limit)

    def _batch_limit(self, load: placements.WorkerLoad, rank: int) -> float:
        model = self._latency_models.get(load.name)
        if model is None:
            return load.slot_limit
        return model.max_slots(self._target_ms(rank))

    def _target_ms(self, rank: int) -> float:
        if rank >= len(self._ranks):
            return 0
        return self._ranks[rank].between_tokens_ms
