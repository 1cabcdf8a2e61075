"""Programs: their calls, history and what they have spent."""

import enum
import functools

import attrs

from carobfork import exceptions
from carobfork.state import budgets, identifiers, records


class CallPhase(enum.StrEnum):
    """How far a call has come."""

    intended = 'intended'
    answered = 'answered'


@attrs.define
class Call:
    """One recorded call of a program."""

    key: str
    digest: str
    target: str
    phase: CallPhase
    answer: records.AnswerRecorded | None = None


@attrs.define
class Program:
    """A program homed at this host."""

    identifier: str
    kind: str
    rank: str
    ledger: budgets.Ledger
    token_digest: str
    parent: str = ''
    calls: dict[str, Call] = attrs.Factory(dict)
    closed_reason: str = ''

    def history(self) -> list[records.AnswerRecorded]:
        """Return the model calls' answers in the order they were made."""
        answers = (call.answer for call in self.calls.values())
        return [answer for answer in answers if answer and answer.messages]


class ProgramTable:
    """The programs of one journal, rebuilt by applying its records."""

    def __init__(self) -> None:
        """Start without programs."""
        self.programs: dict[str, Program] = {}

    def find(self, identifier: str) -> Program:
        """Return a program.

        :raises UnknownProgramError: it is not in the table.
        """
        if identifier not in self.programs:
            raise exceptions.UnknownProgramError(
                f'program "{identifier}" is not known here', step='look up'
            )
        return self.programs[identifier]

    def replay(self, record: records.Record) -> None:
        """Apply a record unless its program was forgotten meanwhile."""
        name = getattr(record, 'program', '')
        opens = isinstance(record, records.ProgramOpened)
        if opens or not name or name in self.programs:
            self.apply(record)

    def incarnations(self) -> set[identifiers.Incarnation]:
        """Return the incarnations at which the programs were opened."""
        return {identifiers.home_of(name) for name in self.programs}

    @functools.singledispatchmethod
    def apply(self, record: records.Record) -> None:
        """Bring the table up to date with one record."""

    @apply.register
    def _opened(self, record: records.ProgramOpened) -> None:
        self.programs[record.program] = Program(
            identifier=record.program,
            kind=record.kind,
            rank=record.rank,
            ledger=budgets.Ledger(record.budget),
            token_digest=record.token_digest,
            parent=record.parent,
        )

    @apply.register
    def _intended(self, record: records.IntentRecorded) -> None:
        self.find(record.program).calls[record.key] = Call(
            key=record.key,
            digest=record.digest,
            target=record.target,
            phase=CallPhase.intended,
        )

    @apply.register
    def _answered(self, record: records.AnswerRecorded) -> None:
        program = self.find(record.program)
        program.ledger.spend(record.tokens)
        program.calls[record.key] = Call(
            key=record.key,
            digest=record.digest,
            target=record.target,
            phase=CallPhase.answered,
            answer=record,
        )

    @apply.register
    def _withdrawn(self, record: records.IntentWithdrawn) -> None:
        self.find(record.program).calls.pop(record.key, None)

    @apply.register
    def _closed(self, record: records.ProgramClosed) -> None:
        self.find(record.program).closed_reason = record.reason
