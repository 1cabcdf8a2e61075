"""Accounts: charge ranks for slots in advance, and settle afterwards."""

from collections.abc import Callable

from carobfork.coordination import placements, rank_deficits, slot_limiters

DEFAULT_ESTIMATE_TOKENS = 200


class DeficitAccount:
    """Keep a floor's deficits true while calls are under way.

    :param waiting: returns the ranks with waiting calls.
    """

    def __init__(self, waiting_ranks: Callable[[], set[int]]) -> None:
        """Start without estimates."""
        self._waiting_ranks = waiting_ranks
        self._mean_tokens: dict[int, float] = {}

    def charge(self, floor: rank_deficits.RankDeficits, rank: int) -> float:
        """Charge a rank for a slot and return the tokens charged."""
        tokens = self._mean_tokens.get(rank, DEFAULT_ESTIMATE_TOKENS)
        floor.charge(rank, tokens, self._waiting_ranks() | {rank})
        return tokens

    def settle(
        self,
        floor: rank_deficits.RankDeficits,
        rank: int,
        charged_tokens: float,
        served: slot_limiters.CallReport,
    ) -> None:
        """Correct a charge by what was served."""
        floor.charge(
            rank, served.tokens - charged_tokens, self._waiting_ranks()
        )
        if served.tokens:
            self._mean_tokens[rank] = placements.moving_average(
                self._mean_tokens.get(rank, 0), served.tokens
            )
