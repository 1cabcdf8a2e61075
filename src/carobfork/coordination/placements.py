"""Placements: which worker of a pool gets the next call.

Policies fill a registry by decorator; the bundle names the one in force.
A policy may return no worker: the call then waits for a busy one.
"""

from collections.abc import Callable, Mapping, Sequence

import attrs

from carobfork.coordination import queue_orders, slot_limiters

DEFAULT_PREFILL_TOKENS_PER_MS = 10
INITIAL_RETRY_DELAY_MS = 200
MAX_RETRY_DOUBLINGS = 5
_SAMPLE_WEIGHT = 0.1


@attrs.define
class WorkerLoad:
    """What the dispatcher knows of one worker."""

    name: str
    limiter: slot_limiters.SlotLimiter
    busy: int = 0
    leaving: bool = False
    deferred_calls: int = 0
    """Calls that wait for this worker while others are free."""
    granted_total: int = 0
    """Slots granted since the start."""
    hold_ms: float = 0
    """How long a slot is held on average, 0 where unknown."""
    prefill_tokens_per_ms: float = DEFAULT_PREFILL_TOKENS_PER_MS
    failures: int = 0
    """Calls that failed since one succeeded."""
    retry_at_ms: float = 0
    """When a call may try a worker again that failed."""

    @property
    def slot_limit(self) -> int:
        """Most slots to grant at a time."""
        return self.limiter.limit

    @property
    def free(self) -> int:
        """Slots that may be granted now, but for failures."""
        return 0 if self.leaving else self.slot_limit - self.busy

    def is_available(self, now_ms: float) -> bool:
        """Tell whether a slot may be granted.

        After a failure, one call at a time finds out whether it is over.
        """
        if self.failures and (self.busy or now_ms < self.retry_at_ms):
            return False
        return self.free > 0

    @property
    def expected_wait_ms(self) -> float:
        """How long until a slot comes free for one more call."""
        return self.hold_ms * (self.deferred_calls + 1) / max(self.busy, 1)

    def is_awaitable(self, request: queue_orders.SlotRequest) -> bool:
        """Tell whether a call may wait for this worker."""
        failing = self.failures or self.name in request.avoided
        return not failing and not self.leaving

    def adopt_slot(self) -> None:
        """Count a slot that another dispatcher had granted.

        The limit learnt there was no lower than the slots in use.
        """
        self.busy += 1
        self.limiter.limit = max(self.limiter.limit, self.busy)

    def observe(self, report: slot_limiters.CallReport, now_ms: float) -> None:
        """Learn from a slot that was released."""
        if report.failed:
            doublings = min(self.failures, MAX_RETRY_DOUBLINGS)
            self.failures += 1
            self.retry_at_ms = now_ms + (INITIAL_RETRY_DELAY_MS << doublings)
            return
        self.failures = 0
        self.limiter.observe(report, self.busy)
        self.hold_ms = moving_average(self.hold_ms, report.held_ms)
        if report.first_token_ms and report.prefilled_tokens:
            self.prefill_tokens_per_ms = moving_average(
                self.prefill_tokens_per_ms,
                report.prefilled_tokens / report.first_token_ms,
            )


@attrs.frozen
class Candidates:
    """What a placement chooses from.

    ``passed_ms`` is how long the call has been passed over already.
    """

    free: Sequence[WorkerLoad]
    workers: Mapping[str, WorkerLoad]
    deferred_ms: float = 0


PlacementPolicy = Callable[
    [queue_orders.SlotRequest, Candidates], WorkerLoad | None
]
PLACEMENTS: dict[str, PlacementPolicy] = {}  # noqa: WPS407


def register(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under a name."""

    def decorator(policy: PlacementPolicy) -> PlacementPolicy:  # noqa: WPS430
        PLACEMENTS[name] = policy
        return policy

    return decorator


def moving_average(mean: float, sample: float) -> float:
    """Return a moving average; a mean of 0 stands for no samples yet."""
    return mean + _SAMPLE_WEIGHT * (sample - mean) if mean else sample


@register('round_robin')
def place_round_robin(
    request: queue_orders.SlotRequest, candidates: Candidates
) -> WorkerLoad | None:
    """Take turns."""
    return min(candidates.free, key=lambda load: load.granted_total)


@register('least_loaded')
def place_least_loaded(
    request: queue_orders.SlotRequest, candidates: Candidates
) -> WorkerLoad | None:
    """Choose the worker with the most free slots."""
    return max(
        candidates.free, key=lambda load: (load.free, -load.granted_total)
    )


@register('affinity')
def place_by_affinity(
    request: queue_orders.SlotRequest, candidates: Candidates
) -> WorkerLoad | None:
    """Return to the worker that holds the prefix, else the least loaded."""
    for load in candidates.free:
        if load.name == request.last_worker:
            return load
    return place_least_loaded(request, candidates)


@register('affinity_by_cost')
def place_by_cost(
    request: queue_orders.SlotRequest, candidates: Candidates
) -> WorkerLoad | None:
    """Wait for the worker that holds the prefix while that is cheaper.

    Waiting is given up once it has lasted as long as the prefill elsewhere.
    """
    best = place_by_affinity(request, candidates)
    cached = candidates.workers.get(request.last_worker)
    if cached is None or best is cached or not cached.is_awaitable(request):
        return best
    prefill_ms = request.prompt_tokens / best.prefill_tokens_per_ms
    if candidates.deferred_ms + cached.expected_wait_ms < prefill_ms:
        return None
    return best
