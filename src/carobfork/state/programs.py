"""Hold programs with their calls, history and spending.

A program's calls run on backend servers, called workers.
"""

import enum
import functools

import attrs

from carobfork import exceptions
from carobfork.state import budgets, identifiers, records, spending

TIME_SPENT_REASON = 'its time budget is spent'
IDLE_REASON = 'its caller stayed away'


class CallPhase(enum.StrEnum):
    """Progress of a call."""

    intended = 'intended'
    answered = 'answered'


@attrs.define
class Call:
    """A recorded call of a program.

    :param key: the call's key, unique within its program.
    :param digest: digest of the call's content.
    :param target: the service, or ``service/server`` or ``model/worker`` once
        it is answered.
    :param phase: the call's progress.
    :param answer: the recorded answer, if there is one.
    """

    key: str
    digest: str
    target: str
    phase: CallPhase
    answer: records.AnswerRecorded | None = None


@attrs.define
class Program:
    """A program that this host owns.

    :param identifier: the program's identifier.
    :param kind: the name of its kind.
    :param rank: the name of its rank.
    :param ledger: its budget and spending.
    :param token_digest: digest of the token that callers present.
    :param parent: the identifier of its parent, empty for a root program.
    :param calls: its recorded calls by key.
    """

    identifier: str
    kind: str
    rank: str
    ledger: budgets.Ledger
    token_digest: str
    parent: str = ''
    calls: dict[str, Call] = attrs.Factory(dict)
    dispatched: dict[str, spending.CallDispatched] = attrs.Factory(dict)
    """The last attempt at each model call that has no answer yet."""
    workers: set[str] = attrs.Factory(set)
    """Workers that may have cache of this program, ``model/worker``."""
    children: list[str] = attrs.Factory(list)
    """Identifiers of the program's sub-agents."""
    closed_reason: str = ''
    ending_reason: str = ''
    """Why its owner is about to record its end; not itself recorded."""
    recorded_time_ms: int = 0
    """The age in the journal, from which a successor continues."""
    idle_ms: float = 0
    """Time since the last request for it or one of its sub-agents."""

    @property
    def is_open(self) -> bool:
        """Whether the program accepts calls."""
        return not self.closed_reason

    def is_dispatched(self, record: spending.CallDispatched) -> bool:
        """Return whether an attempt is still needed to rebuild the program.

        It is if its reservation is open, or if it is the last attempt at its
        call.
        """
        if record.reservation_id in self.ledger.reservations:
            return True
        return self.dispatched.get(record.key) == record

    def history(self) -> list[records.AnswerRecorded]:
        """Return the answers of the model calls in the order of the calls."""
        answers = (call.answer for call in self.calls.values())
        return [answer for answer in answers if answer and answer.messages]


class ProgramTable:
    """Programs of a journal, rebuilt by applying its records in order."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.programs: dict[str, Program] = {}

    def find(self, identifier: str) -> Program:
        """Return a program.

        :raises UnknownProgramError: if it is not in the table.
        """
        if identifier not in self.programs:
            raise exceptions.UnknownProgramError(
                f'program "{identifier}" is not known to this host',
                step='look up',
            )
        return self.programs[identifier]

    def subtree(self, identifier: str) -> list[Program]:
        """Return a program and all of its sub-agents, sub-agents first."""
        root = self.find(identifier)
        descendants = [
            program
            for child in root.children
            for program in self.subtree(child)
        ]
        return [*descendants, root]

    def apply_if_known(self, record: records.Record) -> None:
        """Apply a record, unless its program is no longer in the table."""
        name = getattr(record, 'program', '')
        opens = isinstance(record, records.ProgramOpened)
        if opens or not name or name in self.programs:
            self.apply(record)

    def incarnations(self) -> set[identifiers.Incarnation]:
        """Return the incarnations that opened the programs."""
        return {identifiers.home_of(name) for name in self.programs}

    def is_latest_time(self, record: spending.TimeSpent) -> bool:
        """Return whether a record holds the latest age of any program."""
        return any(
            program.recorded_time_ms == record.spent_ms.get(name)
            for name, program in self.programs.items()
        )

    @functools.singledispatchmethod
    def apply(self, record: records.Record) -> None:
        """Update the table with a record; unrelated records are ignored."""

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
            # The sub-agent's open reservations may still be spent, so they
            # count as spent at its parent.
            ledger = program.ledger
            parent.ledger.settle(
                budgets.share_reservation_id(program.identifier),
                ledger.spent_tokens + ledger.reserved_tokens,
                ledger.spent_calls + ledger.reserved_calls,
            )
