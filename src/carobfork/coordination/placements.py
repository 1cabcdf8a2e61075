"""Choose the worker (backend server) of a pool that runs the next call.

Policies register themselves by a decorator; the bundle names the one in
force. A policy that returns no worker defers the call: it waits for a busy
worker although others are free.
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
    """Load and learned figures of one worker.

    :param name: the worker's name.
    :param limiter: the policy that sets the worker's slot limit.
    :param busy: slots that are held.
    :param leaving: whether the worker gets no further slots.
    """

    name: str
    limiter: slot_limiters.SlotLimiter
    busy: int = 0
    leaving: bool = False
    deferred_calls: int = 0
    """Calls that were deferred to wait for this worker."""
    granted_total: int = 0
    """Slots granted since this object was created."""
    hold_ms: float = 0
    """Moving average of the time that a slot is held, 0 if unknown."""
    prefill_tokens_per_ms: float = DEFAULT_PREFILL_TOKENS_PER_MS
    failures: int = 0
    """Consecutive failed calls."""
    retry_at_ms: float = 0
    """Earliest time of the next attempt at a worker whose last call failed."""

    @property
    def slot_limit(self) -> int:
        """Maximum number of slots that may be held."""
        return self.limiter.limit

    @property
    def free(self) -> int:
        """Slots that are free, regardless of failures."""
        return 0 if self.leaving else self.slot_limit - self.busy

    def is_available(self, now_ms: float) -> bool:
        """Return whether a slot may be granted.

        After a failure, only one call at a time is sent to the worker, and
        none before ``retry_at_ms``, until a call succeeds.
        """
        if self.failures and (self.busy or now_ms < self.retry_at_ms):
            return False
        return self.free > 0

    @property
    def expected_wait_ms(self) -> float:
        """Expected wait of one more deferred call for a slot, in ms."""
        return self.hold_ms * (self.deferred_calls + 1) / max(self.busy, 1)

    def is_awaitable(self, request: queue_orders.SlotRequest) -> bool:
        """Return whether a call may be deferred to wait for this worker."""
        failing = self.failures or self.name in request.avoided
        return not failing and not self.leaving

    def adopt_slot(self) -> None:
        """Count a slot that another dispatcher granted.

        The limit is raised to the slots in use, since the other dispatcher's
        limit was at least that high.
        """
        self.busy += 1
        self.limiter.limit = max(self.limiter.limit, self.busy)

    def observe(self, report: slot_limiters.CallReport, now_ms: float) -> None:
        """Update failures, slot limit and averages from a released slot.

        The delay before the next attempt doubles with each consecutive
        failure, at most ``MAX_RETRY_DOUBLINGS`` times.
        """
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
    """Workers that a placement policy chooses from.

    :param free: the workers with a free slot that the call may use.
    :param workers: all workers of the pool by name.
    :param deferred_ms: time since the call was first deferred, 0 if it was
        not.
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
    """Return an exponential moving average updated with a sample.

    :param mean: the average so far; 0 means that there are no samples.
    :param sample: the new sample.
    """
    return mean + _SAMPLE_WEIGHT * (sample - mean) if mean else sample


@register('round_robin')
def place_round_robin(
    request: queue_orders.SlotRequest, candidates: Candidates
) -> WorkerLoad | None:
    """Choose the worker that was granted the fewest slots so far."""
    return min(candidates.free, key=lambda load: load.granted_total)


@register('least_loaded')
def place_least_loaded(
    request: queue_orders.SlotRequest, candidates: Candidates
) -> WorkerLoad | None:
    """Choose the worker with the most free slots.

    Among equals it is the one that was granted the fewest slots so far.
    """
    return max(
        candidates.free, key=lambda load: (load.free, -load.granted_total)
    )


@register('affinity')
def place_by_affinity(
    request: queue_orders.SlotRequest, candidates: Candidates
) -> WorkerLoad | None:
    """Choose the worker that has the prefix cached, else the least loaded."""
    for load in candidates.free:
        if load.name == request.last_worker:
            return load
    return place_least_loaded(request, candidates)


@register('affinity_by_cost')
def place_by_cost(
    request: queue_orders.SlotRequest, candidates: Candidates
) -> WorkerLoad | None:
    """Defer the call while waiting for its cached prefix costs less.

    The time already deferred plus the expected wait is compared with the
    time that the prefill takes on another worker. The wait is therefore
    bounded by that prefill time.
    """
    best = place_by_affinity(request, candidates)
    cached = candidates.workers.get(request.last_worker)
    if cached is None or best is cached or not cached.is_awaitable(request):
        return best
    prefill_ms = request.prompt_tokens / best.prefill_tokens_per_ms
    if candidates.deferred_ms + cached.expected_wait_ms < prefill_ms:
        return None
    return best
