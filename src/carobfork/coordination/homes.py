"""Homes: the programs of one incarnation, their order and their journal."""

import contextlib
from collections.abc import Iterator

import attrs

from carobfork import exceptions
from carobfork.coordination import (
    calls,
    control,
    journals,
    ownerships,
    slots,
    turns,
)
from carobfork.state import budgets, bundles, identifiers, programs, records

OPEN_TIMEOUT_MS = 10_000
_CALL_UNDER_WAY = 'call under way'
"""A program has at most one service call under way."""


@attrs.frozen
class OpenedProgram:
    """What a caller needs to use its program."""

    program: str
    token: str


class Home:
    """Own the programs that were opened at this incarnation.

    :param journal: where their records go.
    :param table: the programs, kept up to date by the journal's commits.
    :param holder: holds the bundle in force.
    :param broker: where calls get their slots.
    :param ownership: notices standstills of this process.
    """

    def __init__(
        self,
        journal: journals.Journal,
        table: programs.ProgramTable,
        holder: control.BundleHolder,
        broker: slots.SlotBroker,
        ownership: ownerships.Ownership,
    ) -> None:
        """Start with the programs of the table."""
        self.journal = journal
        self.table = table
        self._holder = holder
        self.slots = broker
        self.turns = turns.Turns()
        self.ownership = ownership

    @property
    def bundle(self) -> bundles.Bundle:
        """The bundle in force."""
        return self._holder.current

    def open_program(self, kind_name: str) -> OpenedProgram:
        """Open a program and record it.

        :param kind_name: a program kind of the bundle.
        :raises OverloadedError: its first call would be refused.
        """
        kind = bundles.find(self.bundle.programs, kind_name, 'program')
        rank = bundles.find(self.bundle.ranks, kind.rank, 'rank')
        self.slots.check_door(
            self.bundle.rank_position(rank.name), rank.queue_limit_ms
        )
        return self._record_opening(kind, kind.budget, parent='')

    def open_sub_agent(
        self,
        parent: programs.Program,
        kind_name: str,
        share: bundles.Budget,
    ) -> OpenedProgram:
        """Open a sub-agent, whose budget is carved out of its parent's.

        :param kind_name: a program kind of the bundle.
        :param share: what the sub-agent may spend at most.
        :raises BudgetExceededError: the parent's budget does not cover it.
        """
        calls.require_open(parent)
        kind = bundles.find(self.bundle.programs, kind_name, 'program')
        opening = f'opening {identifiers.new_token()}'
        reservation = budgets.Reservation(share.tokens, share.calls)
        parent.ledger.reserve(opening, reservation)
        try:
            return self._record_opening(kind, share, parent.identifier)
        finally:
            # Once recorded, the share is held under the sub-agent's name.
            parent.ledger.release(opening)

    def begin_end(self, identifier: str, reason: str) -> list[journals.Entry]:
        """Refuse further calls of a program and its sub-agents.

        Return the records of their ends, to be waited for.
        """
        ends = []
        for program in self.table.tree(identifier):
            if program.is_open:
                end = records.ProgramClosed(program.identifier, reason)
                ends.append(self.journal.enqueue(end))
                program.ending_reason = reason
        return ends

    def record(
        self,
        program: programs.Program,
        record: records.Record,
        timeout_ms: int,
    ) -> None:
        """Record something of a program that is still homed here.

        Returns once the platform or two other hosts hold the record.

        :raises SealedError: another host owns the program now.
        :raises PlatformError: not kept in time; it still may be.
        """
        self.require_owned(program)
        self.journal.append_durable(record, timeout_ms)

    def note(
        self, program: programs.Program, record: records.Record
    ) -> journals.Entry:
        """Record something of a program without waiting.

        :raises SealedError: another host owns the program now.
        :raises PlatformError: too many records wait already.
        """
        self.require_owned(program)
        return self.journal.enqueue(record)

    def require_owned(self, program: programs.Program) -> None:
        """Check that a program was not taken over meanwhile.

        :raises SealedError: another host owns it now.
        """
        if self.table.programs.get(program.identifier) is not program:
            raise exceptions.SealedError(
                'the program was taken over', step='record'
            )

    def confirm_owned(self, program: programs.Program) -> None:
        """Check that a program may be acted for, also after a standstill.

        :raises NotRunError: it may not, or this cannot be told.
        """
        self.ownership.confirm(self.journal)
        self.require_owned(program)

    def start_anew(self, journal: journals.Journal) -> None:
        """Drop all programs and go on with the journal of a new incarnation."""
        self.table.programs.clear()
        self.turns = turns.Turns()
        self.journal = journal

    def authorise(self, identifier: str, token: str) -> programs.Program:
        """Return a program if the token opens it."""
        program = self.table.find(identifier)
        calls.authorise(program, token)
        self.note_activity(program)
        return program

    def note_activity(self, program: programs.Program) -> None:
        """Note that a program, and so each of its parents, is in use."""
        while program is not None:
            program.idle_ms = 0
            program = self.table.programs.get(program.parent)

    def turn(
        self, program: programs.Program, key: str = '', after: str = ''
    ) -> contextlib.AbstractContextManager:
        """Hold the program's turn: its calls run one at a time, in order.

        :param key: the call's key, empty for what is no call.
        :param after: key of the call that must come first, or nothing.
        """
        return self.turns.hold(program, key, after)

    @contextlib.contextmanager
    def reservation(
        self,
        program: programs.Program,
        tokens: int,
        identifier: str = _CALL_UNDER_WAY,
    ) -> Iterator[None]:
        """Reserve one call and a number of tokens while a call runs."""
        calls.require_open(program)
        program.ledger.reserve(identifier, budgets.Reservation(tokens))
        try:
            yield
        finally:
            program.ledger.release(identifier)

    def _record_opening(
        self, kind: bundles.ProgramKind, budget: bundles.Budget, parent: str
    ) -> OpenedProgram:
        opened = OpenedProgram(
            program=identifiers.new_program_id(self.journal.incarnation),
            token=identifiers.new_token(),
        )
        record = records.ProgramOpened(
            program=opened.program,
            kind=kind.name,
            rank=kind.rank,
            budget=budget,
            token_digest=identifiers.digest(opened.token.encode()),
            parent=parent,
        )
        self.journal.append_durable(record, OPEN_TIMEOUT_MS)
        self._end_orphan(parent, opened.program)
        return opened

    def _end_orphan(self, parent: str, identifier: str) -> None:
        """End a sub-agent whose parent ended while it was being opened."""
        if parent and not self.table.find(parent).is_open:
            self.begin_end(identifier, 'its parent ended')
            calls.require_open(self.table.find(identifier))
