"""Keepers: keep this host's records at two peers while the platform is down."""

from collections.abc import Callable

import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.coordination import (
    holdings,
    journals,
    membership,
    ports,
    routing,
)
from carobfork.state import identifiers

PEER_REPLICAS = 2
CHECK_INTERVAL_MS = 100
HOLD_TIMEOUT_MS = 1000

logger = structlog.get_logger(part='keepers')


class RecordReplicator:
    """Offer uncommitted records to peers for as long as commits stall.

    :param members: who may hold them.
    :param link: how to reach the peers.
    :param journal: returns the journal in use.
    """

    def __init__(
        self,
        members: membership.Membership,
        link: ports.PeerLink,
        journal: Callable[[], journals.Journal],
    ) -> None:
        """Start with nothing held."""
        self._members = members
        self._link = link
        self._journal = journal
        self._current_journal: journals.Journal | None = None
        self._held: dict[routing.EntryHost, int] = {}

    def run(self) -> None:
        """Watch the journal until the greenlet is killed."""
        while True:
            self.step()
            gevent.sleep(clock.to_seconds(CHECK_INTERVAL_MS))

    def step(self) -> None:
        """Offer records if commits stall, have them dropped if they do not."""
        journal = self._journal()
        if journal is not self._current_journal:
            self._current_journal = journal
            self._held.clear()
        if journal.stalled and not journal.sealed:
            self._offer(journal)
        elif self._held:
            self._release(journal)

    def _offer(self, journal: journals.Journal) -> None:
        entries = journal.uncommitted()
        holders = self._holders(journal.incarnation)
        if len(holders) < PEER_REPLICAS:
            return
        for entry in entries:
            entry.sent_to_peers = True
        replies = [
            gevent.spawn(self._hold, host, journal.incarnation, entries)
            for host in holders
        ]
        gevent.joinall(replies)
        kept = min(self._held.get(host, 0) for host in holders)
        journal.mark_durable(
            [entry for entry in entries if entry.number <= kept]
        )

    def _holders(
        self, incarnation: identifiers.Incarnation
    ) -> list[routing.EntryHost]:
        live = {host.incarnation for host in self._members.live()}
        successors = self._members.successors(incarnation.host)
        return [host for host in successors if host.incarnation in live][
            :PEER_REPLICAS
        ]

    def _hold(
        self,
        host: routing.EntryHost,
        owner: identifiers.Incarnation,
        entries: list[journals.Entry],
    ) -> None:
        last = self._held.setdefault(host, 0)
        for page in _pages(_after(entries, last)):
            message = holdings.HoldRecords(owner, tuple(page))
            try:
                self._link.request(host.peer_address, message, HOLD_TIMEOUT_MS)
            except exceptions.CarobforkError as error:
                logger.warning('A peer holds no records.', error=str(error))
                return
            self._held[host] = page[-1].number

    def _release(self, journal: journals.Journal) -> None:
        message = holdings.RecordsCommitted(
            journal.incarnation,
            journal.last_record,
            journal.segments.last_number,
        )
        for host in self._held:
            self._link.send(host.peer_address, message)
        if journal.last_record >= max(self._held.values()):
            self._held.clear()


def _after(entries: list[journals.Entry], number: int) -> list[journals.Entry]:
    return [entry for entry in entries if entry.number > number]


def _pages(
    entries: list[journals.Entry],
) -> list[list[holdings.HeldRecord]]:
    pages: list[list[holdings.HeldRecord]] = []
    size = holdings.MAX_PAGE_BYTES
    for entry in entries:
        if size >= holdings.MAX_PAGE_BYTES:
            pages.append([])
            size = 0
        pages[-1].append(holdings.HeldRecord(entry.number, entry.encoded))
        size += len(entry.encoded)
    return pages
