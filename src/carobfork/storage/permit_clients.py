"""Request permits from the store hosts that grant them."""

import zlib
from collections.abc import Callable

from carobfork.storage import clients, links, messages


class PermitClient:
    """A client of the store hosts that grant permits.

    :param client: knows the storage group.
    :param member_links: links to the group's store hosts.
    """

    def __init__(
        self, client: clients.Client, member_links: links.Links
    ) -> None:
        """Create a client that knows no store host that grants permits."""
        self._client = client
        self._links = member_links
        self._granters: set[str] = set()

    def set_granter(self, disk: str, grants_permits: bool) -> None:
        """Record whether a store host grants permits, by its disk."""
        if grants_permits:
            self._granters.add(disk)
        else:
            self._granters.discard(disk)

    def request(
        self,
        request: messages.PermitRequest,
        on_reply: Callable[[messages.Permit | None], None],
    ) -> None:
        """Request a permit from the member that grants those of a server.

        All hosts that know the same group choose the same member.

        :param on_reply: called once, with ``None`` if the member can't be
            reached or does not grant permits.
        """
        seed = zlib.crc32(request.worker.encode())
        disk = max(
            (member.disk for member in self._client.group.members),
            key=lambda member_disk: zlib.crc32(member_disk.encode(), seed),
            default='',
        )
        link = self._links.get(disk)
        if link is None or disk not in self._granters:
            on_reply(None)
        else:
            link.send_request(request, on_reply)
