"""Manage the programs of one incarnation, their call queues and journal."""

import contextlib
from collections.abc import Iterator

import attrs

from carobfork import exceptions
from carobfork.coordination import (
    calls,
    control,
    journals,
    ownerships,
    sequencers,
    slots,
)
from carobfork.state import budgets, bundles, identifiers, programs, records

OPEN_TIMEOUT_MS = 10_000
_SERVICE_CALL_RESERVATION = 'call under way'
"""Identifier of a reservation.

It needs no call key: a program runs at most one service call at a time.
"""


@attrs.frozen
class OpenedProgram:
    """The identifier and the token that a caller uses a program with."""

    program: str
    token: str


class Home:
    """The programs that this incarnation owns.

    :param journal: the journal of their records.
    :param table: the programs; updated as the journal keeps records.
    :param holder: holder of the bundle in force.
    :param broker: source of the slots for model calls.
    :param ownership: detects standstills of this process.
    """

    def __init__(
        self,
        journal: journals.Journal,
        table: programs.ProgramTable,
        holder: control.BundleHolder,
        broker: slots.SlotBroker,
        ownership: ownerships.Ownership,
    ) -> None:
        """Initialize with the programs of the table and no queued calls."""
        self.journal = journal
        self.table = table
        self._holder = holder
        self.slots = broker
        self.sequencer = sequencers.CallSequencer()
        self.ownership = ownership

    @property
    def bundle(self) -> bundles.Bundle:
        """Bundle in force."""
        return self._holder.current

    def open_program(self, kind_name: str) -> OpenedProgram:
        """Open a program and record it.

        :param kind_name: name of a program kind of the bundle.
        :raises OverloadedError: if its first call would be refused.
        """
        kind = bundles.find(self.bundle.programs, kind_name, 'program')
        rank = bundles.find(self.bundle.ranks, kind.rank, 'rank')
        self.slots.check_new_program(
            self.bundle.rank_position(rank.name), rank.queue_limit_ms
        )
        return self._record_opening(kind, kind.budget, parent='')

    def open_sub_agent(
        self,
        parent: programs.Program,
        kind_name: str,
        budget: bundles.Budget,
    ) -> OpenedProgram:
        """Open a sub-agent whose budget is taken from its parent's budget.

        :param parent: the program that opens the sub-agent.
        :param kind_name: name of a program kind of the bundle.
        :param budget: the maximum that the sub-agent may spend.
        :raises BudgetExceededError: if the parent's budget does not cover it.
        """
        calls.require_open(parent)
        kind = bundles.find(self.bundle.programs, kind_name, 'program')
        opening = f'opening {identifiers.new_token()}'
        reservation = budgets.Reservation(budget.tokens, budget.calls)
        parent.ledger.reserve(opening, reservation)
        try:
            return self._record_opening(kind, budget, parent.identifier)
        finally:
            # Once the opening is recorded, the parent's ledger holds the
            # budget under the sub-agent's identifier.
            parent.ledger.release(opening)

    def begin_closing(
        self, identifier: str, reason: str
    ) -> list[journals.Entry]:
        """Refuse further calls of a program and of its sub-agents.

        :param identifier: identifier of the program.
        :param reason: reason that is recorded and given to callers.
        :returns: the journal entries of the closings, to wait for.
        """
        ends = []
        for program in self.table.subtree(identifier):
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
        """Append a record of a program that this host still owns.

        Return once the platform or two other hosts hold the record.

        :param timeout_ms: how long to wait for that.
        :raises SealedError: if another host owns the program now.
        :raises PlatformError: if the record is not held in time; it may
            still be later.
        """
        self.require_owned(program)
        self.journal.append_durable(record, timeout_ms)

    def enqueue_record(
        self, program: programs.Program, record: records.Record
    ) -> journals.Entry:
        """Append a record of a program without waiting for its commit.

        :raises SealedError: if another host owns the program now.
        :raises PlatformError: if the journal's backlog is full.
        """
        self.require_owned(program)
        return self.journal.enqueue(record)

    def require_owned(self, program: programs.Program) -> None:
        """Check that a program was not taken over by another host.

        :raises SealedError: if another host owns it now.
        """
        if self.table.programs.get(program.identifier) is not program:
            raise exceptions.SealedError(
                'the program was taken over', step='record'
            )

    def confirm_owned(self, program: programs.Program) -> None:
        """Check that this host owns a program, even after a standstill.

        :raises NotRunError: if it does not, or if this cannot be determined.
        """
        self.ownership.confirm(self.journal)
        self.require_owned(program)

    def reset(self, journal: journals.Journal) -> None:
        """Drop all programs and use the journal of a new incarnation."""
        self.table.programs.clear()
        self.sequencer = sequencers.CallSequencer()
        self.journal = journal

    def authorise(self, identifier: str, token: str) -> programs.Program:
        """Return a program after checking that the token is valid for it.

        :raises UnknownProgramError: if this host does not own the program.
        :raises ForbiddenError: if the token is not valid for it.
        """
        program = self.table.find(identifier)
        calls.authorise(program, token)
        self.mark_active(program)
        return program

    def mark_active(self, program: programs.Program) -> None:
        """Reset the idle time of a program and of all its ancestors."""
        while program is not None:
            program.idle_ms = 0
            program = self.table.programs.get(program.parent)

    def in_sequence(
        self, program: programs.Program, key: str = '', after: str = ''
    ) -> contextlib.AbstractContextManager:
        """Return a context in which no other call of the program runs.

        :param key: the call's key; empty if this is not a call.
        :param after: key of the predecessor; empty if there is none.
        """
        return self.sequencer.acquire(program, key, after)

    @contextlib.contextmanager
    def reservation(
        self,
        program: programs.Program,
        tokens: int,
        identifier: str = _SERVICE_CALL_RESERVATION,
    ) -> Iterator[None]:
        """Reserve one call and a number of tokens of a program's budget.

        :param tokens: number of tokens to reserve.
        :param identifier: name of the reservation in the program's ledger.
        :raises ProgramClosedError: if the program has ended.
        :raises BudgetExceededError: if the budget does not cover it.
        """
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
        self._close_orphan(parent, opened.program)
        return opened

    def _close_orphan(self, parent: str, identifier: str) -> None:
        """Close a sub-agent if its parent ended while it was being opened."""
        if parent and not self.table.find(parent).is_open:
            self.begin_closing(identifier, 'its parent ended')
            calls.require_open(self.table.find(identifier))
