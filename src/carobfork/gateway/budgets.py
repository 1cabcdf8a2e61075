"""Check whether a program's token budget covers one more turn.

Tokens are charged for every attempt to run a turn on a backend server.
"""

from collections.abc import Mapping

from carobfork.gateway import calls


def covers(
    call: calls.Call,
    charges: Mapping[str, tuple[int, bool]],
    own: str = '',
) -> bool:
    """Return whether the budget covers a turn.

    An attempt that has not ended is charged with the maximum that it may
    generate, so that turns of one program that start at the same time on
    several hosts can't exceed its budget together.

    :param call: the call that the turn consists of.
    :param charges: tokens and whether they are settled, by attempt; includes
        the reservation of this turn.
    :param own: the name of this turn's charge, by default the attempt.
    """
    if call.budget_tokens is None:
        return True
    others = sum(
        tokens
        for attempt, (tokens, _settled) in charges.items()
        if attempt != (own or call.attempt)
    )
    return others + call.output_tokens <= call.budget_tokens
