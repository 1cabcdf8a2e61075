"""Collect the records that peers hold for an incarnation to be sealed."""

from carobfork.coordination import (
    holdings,
    membership,
    ports,
    routing,
    segments,
)
from carobfork.state import identifiers

COLLECT_TIMEOUT_MS = 2000


class HeldRecordCollector:
    """Collects the held records of an incarnation from live hosts.

    :param members: provides the hosts that may hold records.
    :param link: sends requests to peers.
    :param own_holdings: the records that this host itself holds.
    """

    def __init__(
        self,
        members: membership.Membership,
        link: ports.PeerLink,
        own_holdings: holdings.HeldRecordBuffer,
    ) -> None:
        """Initialize the collector."""
        self._members = members
        self._link = link
        self._own_holdings = own_holdings

    def gather(
        self, incarnation: identifiers.Incarnation, tail: segments.Tail
    ) -> list[holdings.HeldRecord]:
        """Return the held records that are not committed, oldest first.

        :param tail: the end of the journal, which tells what is committed.
        :raises ConnectionFailedError: if a live peer did not answer; it
            may have the only copy of some records.
        """
        found: dict[int, holdings.HeldRecord] = {}
        for host in self._holders(incarnation):
            for entry in self._ask(host, incarnation, tail):
                found[entry.number] = entry
        return [found[number] for number in sorted(found)]

    def forget(self, incarnation: identifiers.Incarnation) -> None:
        """Make all holders drop the records, which are all committed."""
        message = holdings.OwnerSealed(incarnation)
        self._own_holdings.forget(message)
        for host in self._holders(incarnation):
            if host.incarnation != self._members.own.incarnation:
                self._link.send(host.peer_address, message)

    def _holders(
        self, incarnation: identifiers.Incarnation
    ) -> list[routing.EntryHost]:
        live = {host.incarnation for host in self._members.live()}
        return [
            host
            for host in self._members.successors(incarnation.host)
            if host.incarnation in live
        ]

    def _ask(
        self,
        host: routing.EntryHost,
        incarnation: identifiers.Incarnation,
        tail: segments.Tail,
    ) -> list[holdings.HeldRecord]:
        entries: list[holdings.HeldRecord] = []
        after = tail.last_record
        while True:
            message = holdings.CollectRecords(incarnation, after, tail.number)
            page = self._collect(host, message).entries
            if not page:
                return entries
            entries.extend(page)
            after = page[-1].number

    def _collect(
        self, host: routing.EntryHost, message: holdings.CollectRecords
    ) -> holdings.RecordsCollected:
        if host.incarnation == self._members.own.incarnation:
            return self._own_holdings.collect(message)
        return self._link.request(
            host.peer_address, message, COLLECT_TIMEOUT_MS
        )
