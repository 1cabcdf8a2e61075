"""Define the records of a host's journal.

Applying all records of a journal in order rebuilds its programs, with the
answers of the backend servers to their calls.
"""

import attrs

from carobfork.state import bundles, identifiers, spending


@attrs.frozen
class ProgramOpened:
    """A program was opened.

    :param program: the program's identifier.
    :param kind: the name of its kind.
    :param rank: the name of its rank.
    :param budget: its limits.
    :param token_digest: digest of the token that callers present.
    :param parent: the identifier of its parent, empty for a root program.
    """

    program: str
    kind: str
    rank: str
    budget: bundles.Budget
    token_digest: str
    parent: str = ''


@attrs.frozen
class IntentRecorded:
    """A call that must not be repeated is about to be sent.

    :param program: the program's identifier.
    :param key: the call's key.
    :param digest: digest of the call's content.
    :param target: the service.
    """

    program: str
    key: str
    digest: str
    target: str


@attrs.frozen
class AnswerRecorded:
    """A call was answered.

    :param program: the program's identifier.
    :param key: the call's key.
    :param digest: digest of the call's content.
    :param target: the ``service/server`` or ``model/worker`` that answered.
    :param status: the answer's HTTP status.
    :param body: the service's answer, or the text of a model's answer.
    :param content_type: the media type of the body.
    :param tokens: tokens that the call spent.
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
    """A call with a recorded intent was not sent and never will be."""

    program: str
    key: str


@attrs.frozen
class ProgramClosed:
    """A program ended and accepts no further calls."""

    program: str
    reason: str


@attrs.frozen
class Sealed:
    """The journal is closed because another host took over its programs.

    :param successor: the incarnation that took over.
    """

    successor: str


@attrs.frozen
class Adopted:
    """An incarnation's programs belong here if its journal's seal says so.

    :param incarnation: the former owner.
    :param merged: whether its records were copied into this journal.
    """

    incarnation: identifiers.Incarnation
    merged: bool = False


@attrs.frozen
class SegmentStarted:
    """A segment was started.

    :param last_record: number of the last record in the segment.
    """

    last_record: int


@attrs.frozen
class Compacted:
    """Segments were replaced by chunks.

    :param last_segment: number of the last segment that was replaced.
    :param chunks: the keys of the chunks.
    """

    last_segment: int
    chunks: tuple[str, ...]


@attrs.frozen
class OwnershipChecked:
    """The owner found its journal still open."""


JOURNAL_RECORDS = (SegmentStarted, Compacted, OwnershipChecked, Sealed)
"""Records that concern only the journal, not a program."""

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
