"""Orders: who is next among the calls that wait for a slot.

Policies fill a registry by decorator; the bundle names the one in force.
A policy returns a sort key that does not change while a call waits, so a
heap can hold the queue; the smallest key is served first.
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
    arrived_ms: float = 0
    """Arrival on the dispatcher's own clock."""
    last_worker: str = ''
    """Where the program's prefix was last cached."""
    prompt_tokens: int = 0
    kind: str = ''
    """The program's kind."""
    started: bool = True
    """Whether the program, or its parent, has been served before."""
    avoided: tuple[str, ...] = ()
    """Workers at which the call failed, to be avoided where others are."""
    waited_ms: float = 0
    """What the call has waited already, by its holder's clock."""


KeyFunction = Callable[[SlotRequest], float]


@attrs.frozen
class OrderPolicy:
    """A sort key, and whether ranks are kept apart."""

    key: KeyFunction
    by_rank: bool = True


ORDERS: dict[str, OrderPolicy] = {}  # noqa: WPS407


def register(
    name: str, *, by_rank: bool = True
) -> Callable[[KeyFunction], KeyFunction]:
    """Register a sort key under a name."""

    def decorator(key: KeyFunction) -> KeyFunction:  # noqa: WPS430
        ORDERS[name] = OrderPolicy(key, by_rank)
        return key

    return decorator


@register('rank_fifo')
@register('fifo', by_rank=False)
def by_arrival(request: SlotRequest) -> float:
    """Serve in order of arrival; ``fifo`` does so whatever the rank."""
    return request.arrived_ms


@register('least_attained')
def least_attained_first(request: SlotRequest) -> float:
    """Serve, within a rank, the program that has been served least.

    Each ms of waiting counts as tokens not yet attained. As all waiting
    calls age alike, arrival times order them as their ages would.
    """
    return request.attained_tokens + request.arrived_ms * AGEING_TOKENS_PER_MS


@register('most_attained')
def most_attained_first(request: SlotRequest) -> float:
    """Serve, within a rank, the program that has been served most.

    Ageing is the same as that of ``least_attained``.
    """
    return request.arrived_ms * AGEING_TOKENS_PER_MS - request.attained_tokens
