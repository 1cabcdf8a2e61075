"""Order the calls that wait for a slot on a worker (backend server).

Policies register themselves by a decorator; the bundle names the one in
force. A policy returns a sort key, and the call with the smallest key is
served first. The key must not change while a call waits, since the queue is
kept in a heap.
"""

from collections.abc import Callable

import attrs

AGEING_TOKENS_PER_MS = 0.5
"""Attained tokens that one millisecond of waiting offsets."""


@attrs.frozen
class SlotRequest:
    """A call's request for a slot on one of a model's workers.

    :param identifier: the call's identifier.
    :param program: the identifier of the call's program.
    :param model: the model's name.
    """

    identifier: str
    program: str
    model: str
    rank: int
    """Position of the rank, 0 for the most urgent."""
    attained_tokens: int
    """Tokens that the program was served so far."""
    arrived_ms: float = 0
    """Time of arrival on the dispatcher's own clock."""
    last_worker: str = ''
    """The worker on which the program's prefix was last cached."""
    prompt_tokens: int = 0
    kind: str = ''
    """The program's kind."""
    started: bool = True
    """Whether the program or its parent was served before."""
    avoided: tuple[str, ...] = ()
    """Workers on which the call failed, used only if no others are free."""
    waited_ms: float = 0
    """How long the call has already waited, by the clock of its host."""


KeyFunction = Callable[[SlotRequest], float]


@attrs.frozen
class OrderPolicy:
    """A queue order.

    :param key: returns a call's sort key.
    :param by_rank: whether each rank has a queue of its own.
    """

    key: KeyFunction
    by_rank: bool = True


ORDERS: dict[str, OrderPolicy] = {}  # noqa: WPS407


def register(
    name: str, *, by_rank: bool = True
) -> Callable[[KeyFunction], KeyFunction]:
    """Register a sort key under a name.

    :param name: the name that bundles use.
    :param by_rank: whether each rank has a queue of its own.
    """

    def decorator(key: KeyFunction) -> KeyFunction:  # noqa: WPS430
        ORDERS[name] = OrderPolicy(key, by_rank)
        return key

    return decorator


@register('rank_fifo')
@register('fifo', by_rank=False)
def by_arrival(request: SlotRequest) -> float:
    """Serve in order of arrival; ``fifo`` ignores ranks."""
    return request.arrived_ms


@register('least_attained')
def least_attained_first(request: SlotRequest) -> float:
    """Serve, within a rank, the program that was served the fewest tokens.

    Each millisecond of waiting offsets ``AGEING_TOKENS_PER_MS`` attained
    tokens, so that no call starves. All waiting calls age at the same rate,
    so arrival times can stand for ages and the key stays constant.
    """
    return request.attained_tokens + request.arrived_ms * AGEING_TOKENS_PER_MS


@register('most_attained')
def most_attained_first(request: SlotRequest) -> float:
    """Serve, within a rank, the program that was served the most tokens.

    Calls age as under ``least_attained``.
    """
    return request.arrived_ms * AGEING_TOKENS_PER_MS - request.attained_tokens
