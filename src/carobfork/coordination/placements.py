"""Placements: which worker of a pool gets the next call.

Policies fill a registry by decorator; the bundle names the one in force.
A policy may return no worker: the call then waits for a busy one.
"""

from collections.abc import Callable, Mapping, Sequence

import attrs

from carobfork.coordination import limits, orders

DEFAULT_PREFILL_TOKENS_PER_MS = 10
FIRST_RETRY_MS = 200
MAX_DOUBLINGS = 5
_WEIGHT = 0.1


@attrs.define
class WorkerLoad:
    """What the dispatcher knows of one worker."""

    name: str
    limiter: limits.SlotLimiter
    busy: int = 0
    leaving: bool = False
    awaited: int = 0
    """Calls that wait for this worker while others are free."""
    granted: int = 0
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

    def is_free(self, now_ms: float) -> bool:
        """Tell whether a slot may be granted.

        After a failure, one call at a time finds out whether it is over.
        """
        if self.failures and (self.busy or now_ms < self.retry_at_ms):
            return False
        return self.free > 0

    @property
    def next_free_ms(self) -> float:
        """How long until a slot comes free for one more call."""
        return self.hold_ms * (self.awaited + 1) / max(self.busy, 1)

    def is_awaitable(self, request: orders.SlotRequest) -> bool:
        """Tell whether a call may wait for this worker."""
        failing = self.failures or self.name in request.avoided
        return not failing and not self.leaving

    def adopt_slot(self) -> None:
        """Count a slot that another dispatcher had granted.

        The limit learnt there was no lower than the slots in use.
        """
        self.busy += 1
        self.limiter.limit = max(self.limiter.limit, self.busy)

    def observe(self, served: limits.Served, now_ms: float) -> None:
        """Learn from a slot that was released."""
        if served.failed:
            doublings = min(self.failures, MAX_DOUBLINGS)
            self.failures += 1
            self.retry_at_ms = now_ms + (FIRST_RETRY_MS << doublings)
            return
        self.failures = 0
        self.limiter.observe(served, self.busy)
        self.hold_ms = average(self.hold_ms, served.held_ms)
        if served.first_token_ms and served.prefilled_tokens:
            self.prefill_tokens_per_ms = average(
                self.prefill_tokens_per_ms,
                served.prefilled_tokens / served.first_token_ms,
            )


@attrs.frozen
class Choice:
    """What a placement chooses from.

    ``passed_ms`` is how long the call has been passed over already.
    """

    free: Sequence[WorkerLoad]
    workers: Mapping[str, WorkerLoad]
    passed_ms: float = 0


PlacementPolicy = Callable[[orders.SlotRequest, Choice], WorkerLoad | None]
PLACEMENTS: dict[str, PlacementPolicy] = {}  # noqa: WPS407


def register(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under a name."""

    def decorator(policy: PlacementPolicy) -> PlacementPolicy:  # noqa: WPS430
        PLACEMENTS[name] = policy
        return policy

    return decorator


def average(mean: float, fresh: float) -> float:
    """Return a moving average; a mean of 0 stands for no samples yet."""
    return mean + _WEIGHT * (fresh - mean) if mean else fresh


@register('round_robin')
def fewest_granted(
    request: orders.SlotRequest, choice: Choice
) -> WorkerLoad | None:
    """Take turns."""
    return min(choice.free, key=lambda load: load.granted)


@register('least_loaded')
def most_free(request: orders.SlotRequest, choice: Choice) -> WorkerLoad | None:
    """Choose the worker with the most free slots."""
    return max(choice.free, key=lambda load: (load.free, -load.granted))


@register('affinity')
def cached_prefix(
    request: orders.SlotRequest, choice: Choice
) -> WorkerLoad | None:
    """Return to the worker that holds the prefix, else the least loaded."""
    for load in choice.free:
        if load.name == request.last_worker:
            return load
    return most_free(request, choice)


@register('affinity_by_cost')
def cheapest(request: orders.SlotRequest, choice: Choice) -> WorkerLoad | None:
    """Wait for the worker that holds the prefix while that is cheaper.

    Waiting is given up once it has lasted as long as the prefill elsewhere.
    """
    best = cached_prefix(request, choice)
    cached = choice.workers.get(request.last_worker)
    if cached is None or best is cached or not cached.is_awaitable(request):
        return best
    prefill_ms = request.prompt_tokens / best.prefill_tokens_per_ms
    if choice.passed_ms + cached.next_free_ms < prefill_ms:
        return None
    return best
