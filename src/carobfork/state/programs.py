"""Programs: their calls, history and what they have spent."""

import enum
import functools

import attrs

from carobfork import exceptions
from carobfork.state import budgets, identifiers, records, spending

TIME_SPENT_REASON = 'its time budget is spent'
IDLE_REASON = 'its caller stayed away'


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
    dispatched: dict[str, spending.CallDispatched] = attrs.Factory(dict)
    """The last attempt at each model call that is not answered."""
    workers: set[str] = attrs.Factory(set)
    """Model engines that may hold cache of this program, ``model/worker``."""
    children: list[str] = attrs.Factory(list)
    """Identifiers of the program's sub-agents."""
    closed_reason: str = ''
    ending_reason: str = ''
    """Why its home is about to record its end; not itself recorded."""
    recorded_time_ms: int = 0
    """The age that the journal holds; a successor goes on from it."""
    idle_ms: float = 0
    """For how long neither it nor a sub-agent was asked for anything."""

    @property
    def is_open(self) -> bool:
        """Whether the program takes calls."""
        return not self.closed_reason

    def is_dispatched(self, record: spending.CallDispatched) -> bool:
        """Tell whether an attempt is the last one at its call, or reserves."""
        if record.reservation_id in self.ledger.reservations:
            return True
        return self.dispatched.get(record.key) == record

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

    def subtree(self, identifier: str) -> list[Program]:
        """Return a program and all of its sub-agents, leaves first."""
        root = self.find(identifier)
        descendants = [
            program
            for child in root.children
            for program in self.subtree(child)
        ]
        return [*descendants, root]

    def apply_if_known(self, record: records.Record) -> None:
        """Apply a record unless its program was forgotten meanwhile."""
        name = getattr(record, 'program', '')
        opens = isinstance(record, records.ProgramOpened)
        if opens or not name or name in self.programs:
            self.apply(record)

    def incarnations(self) -> set[identifiers.Incarnation]:
        """Return the incarnations at which the programs were opened."""
        return {identifiers.home_of(name) for name in self.programs}

    def is_latest_time(self, record: spending.TimeSpent) -> bool:
        """Tell whether a record is the last one of any program's time."""
        return any(
            program.recorded_time_ms == record.spent_ms.get(name)
            for name, program in self.programs.items()
        )

    @functools.singledispatchmethod
    def apply(self, record: records.Record) -> None:
        """Bring the table up to date with one record."""

    @apply.register
    def _apply_opened(self, record: records.ProgramOpened) -> None:
        self.programs[record.program] = Program(
            identifier=record.program,
            kind=record.kind,
            rank=record.rank,
            ledger=budgets.Ledger(record.budget),
            token_digest=record.token_digest,
            parent=record.parent,
        )
        parent = self.programs.get(record.parent)
        if parent is not None:
            share = budgets.Reservation(
                record.budget.tokens, record.budget.calls
            )
            parent.children.append(record.program)
            identifier = budgets.share_reservation_id(record.program)
            parent.ledger.restore(identifier, share)

    @apply.register
    def _apply_intended(self, record: records.IntentRecorded) -> None:
        program = self.find(record.program)
        program.ledger.restore(
            budgets.call_reservation_id(record.key),
            budgets.Reservation(tokens=0),
        )
        program.calls[record.key] = Call(
            key=record.key,
            digest=record.digest,
            target=record.target,
            phase=CallPhase.intended,
        )

    @apply.register
    def _apply_answered(self, record: records.AnswerRecorded) -> None:
        program = self.find(record.program)
        identifier = budgets.call_reservation_id(record.key)
        dispatched = program.dispatched.pop(record.key, None)
        if dispatched is not None:
            identifier = dispatched.reservation_id
        program.ledger.settle(identifier, record.tokens)
        program.calls[record.key] = Call(
            key=record.key,
            digest=record.digest,
            target=record.target,
            phase=CallPhase.answered,
            answer=record,
        )

    @apply.register
    def _apply_withdrawn(self, record: records.IntentWithdrawn) -> None:
        program = self.find(record.program)
        program.calls.pop(record.key, None)
        program.ledger.release(budgets.call_reservation_id(record.key))

    @apply.register
    def _apply_dispatched(self, record: spending.CallDispatched) -> None:
        program = self.find(record.program)
        program.ledger.restore(
            record.reservation_id, budgets.Reservation(record.reserved_tokens)
        )
        program.dispatched[record.key] = record
        program.workers.add(record.target)

    @apply.register
    def _apply_failed(self, record: spending.AttemptFailed) -> None:
        ledger = self.find(record.program).ledger
        ledger.settle(record.reservation_id, record.tokens, calls=0)

    @apply.register
    def _apply_time_spent(self, record: spending.TimeSpent) -> None:
        for identifier, spent_ms in record.spent_ms.items():
            program = self.programs.get(identifier)
            if program is not None:
                ledger = program.ledger
                program.recorded_time_ms = spent_ms
                ledger.spent_time_ms = max(ledger.spent_time_ms, spent_ms)

    @apply.register
    def _apply_closed(self, record: records.ProgramClosed) -> None:
        program = self.find(record.program)
        if program.closed_reason:
            return
        program.closed_reason = record.reason
        parent = self.programs.get(program.parent)
        if parent is not None:
            # What the sub-agent may still spend was reserved from its share.
            ledger = program.ledger
            parent.ledger.settle(
                budgets.share_reservation_id(program.identifier),
                ledger.spent_tokens + ledger.reserved_tokens,
                ledger.spent_calls + ledger.reserved_calls,
            )
