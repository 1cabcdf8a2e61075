"""Guarantee each rank its share of a pool's capacity by deficit accounting.

While a rank has waiting calls, its deficit grows by its share of every token
that the pool's workers (backend servers) serve, and shrinks by the tokens
served to the rank itself. Ranks with a positive deficit are served first,
and otherwise the most urgent rank is.
"""

from collections.abc import Iterable, Sequence

MAX_DEFICIT_TOKENS = 50_000


class RankDeficits:
    """Token deficits that decide which rank is served next.

    :param shares: each rank's guaranteed share (0 to 1), most urgent first.
    """

    def __init__(self, shares: Sequence[float]) -> None:
        """Create deficits of zero."""
        self.deficit_tokens = [0 for _ in shares]
        self._shares = tuple(shares)

    def order_ranks(self, waiting: Iterable[int]) -> list[int]:
        """Return the waiting ranks in the order in which to serve them."""
        return sorted(
            waiting, key=lambda rank: (self.deficit_tokens[rank] <= 0, rank)
        )

    def charge(self, served: int, tokens: float, waiting: set[int]) -> None:
        """Account for tokens served to one rank.

        :param served: the rank that was served.
        :param tokens: the tokens; negative to refund an overcharge.
        :param waiting: ranks with waiting calls; the deficits of all other
            ranks are reset to zero.
        """
        for rank, share in enumerate(self._shares):
            deficit = self.deficit_tokens[rank] + share * tokens
            if rank == served:
                deficit -= tokens
            self.deficit_tokens[rank] = _clamp(deficit)
            if rank not in waiting:
                self.deficit_tokens[rank] = 0


def _clamp(deficit: float) -> float:
    return max(-MAX_DEFICIT_TOKENS, min(MAX_DEFICIT_TOKENS, deficit))
