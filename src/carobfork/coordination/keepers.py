"""Replicate uncommitted records to two peers during a platform outage."""

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
    """Replicates uncommitted records to peers while commits stall.

    :param members: provides the hosts that may hold records.
    :param link: sends requests to peers.
    :param journal: returns the current journal.
    """

    def __init__(
        self,
        members: membership.Membership,
        link: ports.PeerLink,
        journal: Callable[[], journals.Journal],
    ) -> None:
        """Initialize the replicator without replicas."""
        self._members = members
        self._link = link
        self._journal = journal
        self._current_journal: journals.Journal | None = None
        self._held: dict[routing.EntryHost, int] = {}

    def run(self) -> None:
        """Check the journal periodically until the greenlet is killed."""
        while True:
            self.step()
            gevent.sleep(clock.to_seconds(CHECK_INTERVAL_MS))

    def step(self) -> None:
        """Replicate records while commits stall, else release the replicas."""
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
                logger.warning(
                    'A peer did not accept records.', error=str(error)
                )
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
