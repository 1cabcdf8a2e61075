"""Request credits of tenants' quotas from the store hosts that grant them."""

import zlib
from collections.abc import Callable

from carobfork.storage import clients, credit_messages, links


class CreditClient:
    """A client of the store hosts that grant credits.

    :param client: knows the storage group.
    :param member_links: links to the group's store hosts.
    :param node: this host's name; it seeds the order of members in a zone.
    :param zone: this host's failure domain, which is asked first.
    """

    def __init__(
        self,
        client: clients.Client,
        member_links: links.Links,
        node: str,
        zone: str,
    ) -> None:
        """Create a client that knows no store host that grants credits."""
        self._client = client
        self._links = member_links
        self._seed = zlib.crc32(node.encode())
        self._zone = zone
        self._granters: set[str] = set()

    @property
    def is_supported(self) -> bool:
        """Whether quotas apply.

        They don't while all store hosts within reach run a build without them.
        """
        is_granted = any(self._is_up(disk) for disk in self._granters)
        return is_granted or not self._client.has_quorum

    def set_granter(self, disk: str, grants_credits: bool) -> None:
        """Record whether a store host grants credits, by its disk."""
        if grants_credits:
            self._granters.add(disk)
        else:
            self._granters.discard(disk)

    def members(self) -> list[str]:
        """Return the disks of members within reach, the nearest first."""
        found = [
            member
            for member in self._client.group.members
            if member.disk in self._granters and self._is_up(member.disk)
        ]
        found.sort(
            key=lambda member: (
                member.zone != self._zone,
                zlib.crc32(member.disk.encode(), self._seed),
            )
        )
        return [member.disk for member in found]

    def request(
        self,
        disk: str,
        request: credit_messages.CreditRequest,
        on_reply: Callable[[credit_messages.Credit | None], None],
    ) -> None:
        """Request credits from a member.

        :param on_reply: called once, with ``None`` if it can't be reached.
        """
        link = self._links.get(disk)
        if link is None or disk not in self._granters:
            on_reply(None)
        else:
            link.send_request(request, on_reply)

    def _is_up(self, disk: str) -> bool:
        link = self._links.get(disk)
        return link is not None and link.is_connected
