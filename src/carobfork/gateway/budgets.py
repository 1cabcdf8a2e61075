"""Budgets: whether a program's tokens cover one more turn."""

from collections.abc import Mapping

from carobfork.gateway import calls


def covers(call: calls.Call, charges: Mapping[str, tuple[int, bool]]) -> bool:
    """Tell whether a turn may run.

    Attempts that have not ended count with the most they may generate, so
    turns of one program that start at the same time on several hosts can't
    exceed its budget together.

    :param charges: tokens by attempt, the turn's own reservation included.
    """
    if call.budget_tokens is None:
        return True
    others = sum(
        tokens
        for attempt, (tokens, _settled) in charges.items()
        if attempt != call.attempt
    )
    return others + call.output_tokens <= call.budget_tokens
