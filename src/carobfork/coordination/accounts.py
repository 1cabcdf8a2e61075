"""Accounts: charge ranks for slots in advance, and settle afterwards."""

from collections.abc import Callable

from carobfork.coordination import placements, rank_deficits, slot_limiters

FIRST_ESTIMATE_TOKENS = 200


class Account:
    """Keep a floor's deficits true while calls are under way.

    :param waiting: returns the ranks with waiting calls.
    """

    def __init__(self, waiting: Callable[[], set[int]]) -> None:
        """Start without estimates."""
        self._waiting = waiting
        self._means_tokens: dict[int, float] = {}

    def charge(self, floor: rank_deficits.RankDeficits, rank: int) -> float:
        """Charge a rank for a slot and return the tokens charged."""
        tokens = self._means_tokens.get(rank, FIRST_ESTIMATE_TOKENS)
        floor.charge(rank, tokens, self._waiting() | {rank})
        return tokens

    def settle(
        self,
        floor: rank_deficits.RankDeficits,
        rank: int,
        charged_tokens: float,
        served: slot_limiters.CallReport,
    ) -> None:
        """Correct a charge by what was served."""
        floor.charge(rank, served.tokens - charged_tokens, self._waiting())
        if served.tokens:
            self._means_tokens[rank] = placements.moving_average(
                self._means_tokens.get(rank, 0), served.tokens
            )
