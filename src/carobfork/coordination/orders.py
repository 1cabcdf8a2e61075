"""Orders: who is next among the calls that wait for a slot.

Policies fill a registry by decorator; the bundle names the one in force.
A policy returns a sort key; the smallest key is served first.
"""

from collections.abc import Callable

import attrs

AGEING_TOKENS_PER_MS = 0.5


@attrs.frozen
class SlotRequest:
    """A call that waits for a slot on one of a model's workers."""

    identifier: str
    program: str
    model: str
    rank: int
    """Position of the rank, 0 for the most urgent."""
    attained_tokens: int
    """What the program has been served so far."""
    arrived_ms: float
    """Arrival on the dispatcher's own clock."""
    last_worker: str = ''
    """Where the program's prefix was last cached."""
    prompt_tokens: int = 0
    avoided: tuple[str, ...] = ()
    """Workers at which the call failed, to be avoided where others are."""


OrderPolicy = Callable[[SlotRequest, float], tuple]
ORDERS: dict[str, OrderPolicy] = {}  # noqa: WPS407


def register(name: str) -> Callable[[OrderPolicy], OrderPolicy]:
    """Register an order policy under a name."""

    def decorator(policy: OrderPolicy) -> OrderPolicy:  # noqa: WPS430
        ORDERS[name] = policy
        return policy

    return decorator


@register('fifo')
def arrival(request: SlotRequest, now_ms: float) -> tuple:
    """Serve in order of arrival, whatever the rank."""
    return (request.arrived_ms,)


@register('rank_fifo')
def rank_then_arrival(request: SlotRequest, now_ms: float) -> tuple:
    """Serve the most urgent rank first, by arrival within it."""
    return (request.rank, request.arrived_ms)


@register('least_attained')
def rank_then_attained(request: SlotRequest, now_ms: float) -> tuple:
    """Serve, within a rank, the program that has been served least.

    A call that waits ages: each ms counts as tokens not yet attained.
    """
    waited_ms = now_ms - request.arrived_ms
    attained = request.attained_tokens - waited_ms * AGEING_TOKENS_PER_MS
    return (request.rank, attained)
