"""Charge ranks an estimate when a slot is granted and settle it later."""

from collections.abc import Callable

from carobfork.coordination import placements, rank_deficits, slot_limiters

DEFAULT_ESTIMATE_TOKENS = 200


class DeficitAccount:
    """Charges rank deficits with estimates while calls are in flight.

    The estimate for a rank is the moving average of the tokens that its
    calls took.

    :param waiting_ranks: returns the ranks with waiting calls.
    """

    def __init__(self, waiting_ranks: Callable[[], set[int]]) -> None:
        """Initialize without averages."""
        self._waiting_ranks = waiting_ranks
        self._mean_tokens: dict[int, float] = {}

    def charge(self, deficits: rank_deficits.RankDeficits, rank: int) -> float:
        """Charge a rank for a slot and return the tokens charged.

        The charge is ``DEFAULT_ESTIMATE_TOKENS`` until a call of the rank was
        served.
        """
        tokens = self._mean_tokens.get(rank, DEFAULT_ESTIMATE_TOKENS)
        deficits.charge(rank, tokens, self._waiting_ranks() | {rank})
        return tokens

    def settle(
        self,
        deficits: rank_deficits.RankDeficits,
        rank: int,
        charged_tokens: float,
        report: slot_limiters.CallReport,
    ) -> None:
        """Correct a charge by the tokens that were served.

        :param charged_tokens: tokens returned by ``charge``.
        :param report: report of the call that held the slot.
        """
        deficits.charge(
            rank, report.tokens - charged_tokens, self._waiting_ranks()
        )
        if report.tokens:
            self._mean_tokens[rank] = placements.moving_average(
                self._mean_tokens.get(rank, 0), report.tokens
            )
