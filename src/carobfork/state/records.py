"""Records: what a host's journal holds about its programs.

Applying all records of a journal in order rebuilds its programs.
"""

import attrs

from carobfork.state import bundles, identifiers, spending


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


@attrs.frozen
class Adopted:
    """An incarnation's programs belong here if its journal's seal says so.

    ``merged`` tells that its records were copied into this journal.
    """

    incarnation: identifiers.Incarnation
    merged: bool = False


@attrs.frozen
class SegmentStarted:
    """A segment holds the records up to a number."""

    last_record: int


@attrs.frozen
class Compacted:
    """Chunks replace the segments up to a number."""

    last_segment: int
    chunks: tuple[str, ...]


@attrs.frozen
class OwnershipChecked:
    """The owner found its journal still open."""


JOURNAL_RECORDS = (SegmentStarted, Compacted, OwnershipChecked, Sealed)
"""Records that concern the journal alone and no program."""

Record = (
    ProgramOpened
    | IntentRecorded
    | AnswerRecorded
    | spending.CallDispatched
    | spending.AttemptFailed
    | spending.TimeSpent
    | IntentWithdrawn
    | ProgramClosed
    | Sealed
    | Adopted
    | SegmentStarted
    | Compacted
    | OwnershipChecked
)
