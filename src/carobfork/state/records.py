"""Records: what a host's journal holds about its programs.

Applying all records of a journal in order rebuilds its programs.
"""

import attrs

from carobfork.state import budgets, bundles


@attrs.frozen
class ProgramOpened:
    """A program was opened at this host."""

    program: str
    kind: str
    rank: str
    budget: bundles.Budget
    token_digest: str
    parent: str = ''


@attrs.frozen
class IntentRecorded:
    """A call that may not be repeated is about to be sent."""

    program: str
    key: str
    digest: str
    target: str


@attrs.frozen
class AnswerRecorded:
    """A call's outcome is known.

    ``body`` is the service's answer, or the text of a model's answer.
    """

    program: str
    key: str
    digest: str
    target: str
    status: int
    body: bytes
    content_type: str
    tokens: int = 0
    messages: bytes = b''
    """The request's new messages as JSON, for a model call."""

    @property
    def worker(self) -> str:
        """The backend server that answered."""
        return self.target.rpartition('/')[-1]


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
    def reservation(self) -> str:
        """The identifier of the attempt's reservation."""
        return budgets.attempt_reservation(self.key, self.attempt)


@attrs.frozen
class AttemptFailed:
    """An attempt at a model call brought no answer, but may have cost."""

    program: str
    key: str
    attempt: int
    tokens: int

    @property
    def reservation(self) -> str:
        """The identifier of the attempt's reservation."""
        return budgets.attempt_reservation(self.key, self.attempt)


@attrs.frozen
class TimeSpent:
    """How old open programs are, in ms since each was opened."""

    spent_ms: dict[str, int]


@attrs.frozen
class IntentWithdrawn:
    """A recorded intent was never sent and never will be."""

    program: str
    key: str


@attrs.frozen
class ProgramClosed:
    """A program ended and takes no further calls."""

    program: str
    reason: str


@attrs.frozen
class Sealed:
    """Another host took the journal's programs over."""

    successor: str


Record = (
    ProgramOpened
    | IntentRecorded
    | AnswerRecorded
    | CallDispatched
    | AttemptFailed
    | TimeSpent
    | IntentWithdrawn
    | ProgramClosed
    | Sealed
)
