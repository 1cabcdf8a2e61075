"""Hold the loads of a pool's workers (backend servers) for its dispatcher."""

from collections.abc import Iterable, Mapping

from carobfork import clock
from carobfork.coordination import placements, pools, slot_limiters
from carobfork.state import bundles


class WorkerTable:
    """Loads of a pool's workers, kept across changes of the bundle.

    :param timer: the clock for the delays after failures.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create an empty table."""
        self._timer = timer
        self.loads: dict[str, placements.WorkerLoad] = {}
        self._leaving: frozenset[str] = frozenset()
        self._policy: bundles.Policy | None = None

    @property
    def slot_interval_ms(self) -> float:
        """Mean time between two released slots of the pool, 0 if unknown."""
        loads = [load for load in self.loads.values() if not load.leaving]
        slots = sum(load.slot_limit for load in loads)
        holds_ms = [load.hold_ms for load in loads if load.hold_ms]
        if not holds_ms or not slots:
            return 0
        return sum(holds_ms) / len(holds_ms) / slots

    def available(self) -> list[placements.WorkerLoad]:
        """Return the workers on which a slot may be granted now."""
        now_ms = self._timer.now_ms()
        return [
            load for load in self.loads.values() if load.is_available(now_ms)
        ]

    def apply(
        self,
        pool: pools.Pool,
        policy: bundles.Policy,
        busy: Mapping[str, int],
    ) -> None:
        """Apply a bundle's workers.

        Known workers keep their learned limits and averages, unless the
        bundle changes the limiter or its target.

        :param pool: the pool with the workers.
        :param policy: the bundle's policies.
        :param busy: number of held slots by worker.
        """
        known = self.loads if self._has_same_limiter(policy) else {}
        self._policy = policy
        self.loads = {}
        for worker in pool.workers:
            load = known.get(worker.name) or self._create_load(worker.name)
            load.busy = busy.get(worker.name, 0)
            load.deferred_calls = 0
            self.loads[worker.name] = load
        self.mark_leaving(self._leaving)

    def mark_leaving(self, names: Iterable[str]) -> None:
        """Stop granting slots on these workers and resume on all others."""
        self._leaving = frozenset(names)
        for load in self.loads.values():
            load.leaving = load.name in self._leaving

    def adopt_slot(self, name: str) -> None:
        """Count a slot that another dispatcher granted."""
        load = self.loads.get(name)
        if load is not None:
            load.adopt_slot()

    def busy(self, name: str) -> int:
        """Return the number of held slots of a worker, 0 if it is unknown."""
        load = self.loads.get(name)
        return 0 if load is None else load.busy

    def release(
        self, name: str, report: slot_limiters.CallReport | None
    ) -> None:
        """Release a slot and update the worker's load.

        :param name: the worker's name; unknown workers are ignored.
        :param report: measurements of the call, if the worker ran it.
        """
        load = self.loads.get(name)
        if load is None:
            return
        if report is not None:
            load.observe(report, self._timer.now_ms())
        load.busy -= 1

    def _has_same_limiter(self, policy: bundles.Policy) -> bool:
        former = self._policy
        return former is not None and (
            (former.limit, former.between_tokens_target_ms)
            == (policy.limit, policy.between_tokens_target_ms)
        )

    def _create_load(self, name: str) -> placements.WorkerLoad:
        limiter = slot_limiters.LIMITERS[self._policy.limit]
        return placements.WorkerLoad(
            name, limiter(self._policy.between_tokens_target_ms)
        )
