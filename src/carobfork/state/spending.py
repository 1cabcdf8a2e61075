"""Spending: records of what programs reserve and spend under way."""

import attrs

from carobfork.state import budgets


@attrs.frozen
class CallDispatched:
    """A model call is being sent; committed without anyone waiting for it.

    It tells a successor where the stream is and what may have been spent.
    """

    program: str
    key: str
    digest: str
    target: str
    attempt: int
    reserved_tokens: int

    @property
    def worker(self) -> str:
        """The model engine that was asked."""
        return self.target.rpartition('/')[-1]

    @property
    def reservation_id(self) -> str:
        """The identifier of the attempt's reservation."""
        return budgets.attempt_reservation_id(self.key, self.attempt)


@attrs.frozen
class AttemptFailed:
    """An attempt at a model call brought no answer, but may have cost."""

    program: str
    key: str
    attempt: int
    tokens: int

    @property
    def reservation_id(self) -> str:
        """The identifier of the attempt's reservation."""
        return budgets.attempt_reservation_id(self.key, self.attempt)


@attrs.frozen
class TimeSpent:
    """How old open programs are, in ms since each was opened."""

    spent_ms: dict[str, int]
