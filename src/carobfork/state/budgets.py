"""Budgets: reserved before a call is sent, settled after it."""

import attrs

from carobfork import exceptions
from carobfork.state import bundles

_STEP = 'reserve'


@attrs.define
class Ledger:
    """What a program may spend, has spent and has reserved.

    Tokens count prompts and answers. Calls count each call once.
    """

    limit: bundles.Budget
    spent_tokens: int = 0
    spent_calls: int = 0
    reserved_tokens: int = 0
    reserved_calls: int = 0

    @property
    def free_tokens(self) -> int:
        """Tokens neither spent nor reserved."""
        return self.limit.tokens - self.spent_tokens - self.reserved_tokens

    def reserve(self, tokens: int) -> None:
        """Reserve one call and the most tokens that it can take.

        :raises BudgetExceededError: the budget does not cover them.
        """
        if self.spent_calls + self.reserved_calls >= self.limit.calls:
            raise exceptions.BudgetExceededError(
                f'all {self.limit.calls} calls are spent', step=_STEP
            )
        if tokens > self.free_tokens:
            raise exceptions.BudgetExceededError(
                f'{tokens} tokens asked, {self.free_tokens} left', step=_STEP
            )
        self.reserved_calls += 1
        self.reserved_tokens += tokens

    def release(self, tokens: int) -> None:
        """Give a reservation back."""
        self.reserved_calls -= 1
        self.reserved_tokens -= tokens

    def spend(self, tokens: int) -> None:
        """Count one call that was made."""
        self.spent_calls += 1
        self.spent_tokens += tokens
