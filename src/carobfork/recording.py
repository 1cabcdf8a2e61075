"""Recording: wires what keeps, holds, takes over and compacts records."""

import contextlib
from collections.abc import Callable, Iterator

import gevent

from carobfork import clock
from carobfork.coordination import (
    compactions,
    gatherers,
    holdings,
    homes,
    journals,
    keepers,
    membership,
    ports,
    registrations,
    retentions,
    seals,
    takeovers,
)
from carobfork.protocol import codecs
from carobfork.state import identifiers, programs


class Recording:
    """Keep the records of one host's programs.

    :param store: the platform's object API.
    :param table: the programs.
    :param timer: the clock of all parts.
    """

    def __init__(
        self,
        store: ports.ObjectStore,
        table: programs.ProgramTable,
        timer: clock.Clock,
    ) -> None:
        """Start without a journal."""
        self._store = store
        self._table = table
        self._timer = timer
        self._codec = codecs.MsgpackRecordCodec()
        self._greenlets: list[gevent.Greenlet] = []

    def open_journal(
        self, incarnation: identifiers.Incarnation
    ) -> journals.Journal:
        """Return the journal of an incarnation, which commits from now on."""
        journal = journals.Journal(
            self._store, self._codec, incarnation, self._table.apply_if_known
        )
        self._start(journal.run)
        return journal

    @contextlib.contextmanager
    def keep(
        self,
        home: homes.Home,
        registration: registrations.Registration,
        members: membership.Membership,
        link: ports.PeerLink,
    ) -> Iterator[None]:
        """Take over, hold, compact and forget records in this context."""
        self._home = home
        self._holdings = holdings.HeldRecordBuffer(link)
        sealer = seals.Sealer(
            self._store,
            self._codec,
            gatherers.HeldRecordCollector(members, link, self._holdings),
        )
        self.takeovers = takeovers.Takeovers(
            home,
            registration,
            members,
            sealer,
            self.open_journal,
            self._timer,
        )
        link.on(takeovers.TakeOver, self.takeovers.handle_take_over)
        self._compactor = compactions.Compactor(
            self._store, self._codec, home, self.takeovers, sealer
        )
        self._start(
            home.ownership.run,
            self.takeovers.run,
            self._compactor.run,
            keepers.RecordReplicator(members, link, lambda: home.journal).run,
            retentions.Retention(self._table, self._timer).run,
        )
        try:
            yield
        finally:
            gevent.killall(self._greenlets)

    def describe(self) -> dict:
        """Return the state dump of all records as JSON-ready fields."""
        journal = self._home.journal
        return {
            'adopted': sorted(map(str, self.takeovers.adopted)),
            'last_takeover_ms': self.takeovers.last_duration_ms,
            'suspects': self.takeovers.suspects,
            'held_for_peers': self._holdings.counts(),
            'held_bytes': self._holdings.held_bytes,
            'journal': {
                'sealed': journal.sealed,
                'stalled': journal.stalled,
                'last_segment': journal.segments.last_number,
                'records_committed': journal.records_committed,
                'records_pending': len(journal.uncommitted()),
                'pending_bytes': journal.pending_bytes,
                'platform_writes': journal.segments.writes,
                'compactions': self._compactor.compactions,
            },
        }

    def _start(self, *loops: Callable[[], None]) -> None:
        self._greenlets.extend(gevent.spawn(loop) for loop in loops)
