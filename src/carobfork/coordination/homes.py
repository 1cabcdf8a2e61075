"""Homes: the programs of one incarnation, their order and their journal."""

import contextlib
from collections.abc import Iterator

import attrs
from gevent import lock

from carobfork import exceptions
from carobfork.coordination import calls, control, journals, ownerships, slots
from carobfork.state import bundles, identifiers, programs, records

OPEN_TIMEOUT_MS = 10_000


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
        self.ownership = ownership
        self._turns: dict[str, lock.BoundedSemaphore] = {}

    @property
    def bundle(self) -> bundles.Bundle:
        """The bundle in force."""
        return self._holder.current

    def open_program(self, kind_name: str, parent: str = '') -> OpenedProgram:
        """Open a program and record it.

        :param kind_name: a program kind of the bundle.
        :raises OverloadedError: its first call would be refused.
        :param parent: the program whose sub-agent this is, or nothing.
        """
        kind = bundles.find(self.bundle.programs, kind_name, 'program')
        rank = bundles.find(self.bundle.ranks, kind.rank, 'rank')
        self.slots.check_door(
            self.bundle.rank_position(rank.name), rank.queue_limit_ms
        )
        opened = OpenedProgram(
            program=identifiers.new_program_id(self.journal.incarnation),
            token=identifiers.new_token(),
        )
        record = records.ProgramOpened(
            program=opened.program,
            kind=kind.name,
            rank=kind.rank,
            budget=kind.budget,
            token_digest=identifiers.digest(opened.token.encode()),
            parent=parent,
        )
        self.journal.keep(record, OPEN_TIMEOUT_MS)
        return opened

    def close_program(self, identifier: str, token: str, reason: str) -> None:
        """End a program; it takes no further calls."""
        self.authorise(identifier, token)
        self.end_program(identifier, reason)

    def end_program(self, identifier: str, reason: str) -> None:
        """End a program on the system's own account."""
        self.journal.keep(
            records.ProgramClosed(identifier, reason), OPEN_TIMEOUT_MS
        )

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
        self.journal.keep(record, timeout_ms)

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
        self._turns.clear()
        self.journal = journal

    def authorise(self, identifier: str, token: str) -> programs.Program:
        """Return a program if the token opens it."""
        program = self.table.find(identifier)
        calls.authorise(program, token)
        return program

    def turn(
        self, program: programs.Program
    ) -> contextlib.AbstractContextManager:
        """Hold the program's turn: its calls run one at a time, in order."""
        return self._turns.setdefault(
            program.identifier, lock.BoundedSemaphore(1)
        )

    def hold(
        self, program: programs.Program
    ) -> contextlib.AbstractContextManager:
        """Hold the program's turn for calls that another host finishes."""
        return self.turn(program)

    @contextlib.contextmanager
    def reservation(
        self, program: programs.Program, tokens: int
    ) -> Iterator[None]:
        """Reserve one call and a number of tokens while a call runs."""
        calls.require_open(program)
        program.ledger.reserve(tokens)
        try:
            yield
        finally:
            program.ledger.release(tokens)
