"""Floors: the part of the capacity that each rank keeps in any flood.

While a rank has waiting calls, it is owed its share of every token that
the pool serves, and what it is served is taken off again. A rank that is
owed tokens goes first; otherwise the most urgent one does.
"""

from collections.abc import Iterable, Sequence

MAX_DEFICIT_TOKENS = 50_000


class RankDeficits:
    """Choose the rank to serve next.

    :param shares: each rank's share, the most urgent first.
    """

    def __init__(self, shares: Sequence[float]) -> None:
        """Start with nothing owed."""
        self.deficit_tokens = [0 for _ in shares]
        self._shares = tuple(shares)

    def order_ranks(self, waiting: Iterable[int]) -> list[int]:
        """Return the waiting ranks in the order in which to serve them."""
        return sorted(
            waiting, key=lambda rank: (self.deficit_tokens[rank] <= 0, rank)
        )

    def charge(self, served: int, tokens: float, waiting: set[int]) -> None:
        """Account tokens served to one rank while others wait.

        :param served: the rank that was served.
        :param tokens: negative to correct what was charged too much.
        :param waiting: ranks with waiting calls; others are owed nothing.
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
