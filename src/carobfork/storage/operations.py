"""Send one request to all members of the storage group and count replies."""

from typing import Any

from gevent import queue

from carobfork import clock
from carobfork.storage import groups, links, messages


def ignore_reply(_reply: Any) -> None:
    """Discard a reply that carries no information."""


class Operation:
    """One request to all members, pending until a quorum has replied.

    :ivar replies: replies by the members' disks.
    :ivar refused: the latest refusal of each member that refused, by disk.
    :param group: the group whose quorum is needed.
    :param losses: number of disks that may be lost at the same time.
    :param is_read: whether a read quorum is needed as well.
    """

    def __init__(self, group: groups.Group, losses: int, is_read: bool) -> None:
        """Create an operation without replies."""
        self.replies: dict[str, Any] = {}
        self.refused: dict[str, messages.Refused] = {}
        self._is_outdated = False
        self._requests: dict[str, tuple[links.Link, Any]] = {}
        self._failed: set[str] = set()
        self._is_read = is_read
        self._group = group
        self._quorum = groups.Quorum(group, losses)
        self._inbox: queue.Queue = queue.Queue()

    def send(self, member_links: links.Links, requests: dict[str, Any]) -> None:
        """Send each member its request.

        :param requests: the requests by disk.
        """
        for disk, request in requests.items():
            link = member_links.get(disk)
            if link is None:
                self._inbox.put((disk, None))
            else:
                self._requests[disk] = (link, request)
                link.send_request(request, self._reply_callback(disk))

    def wait(self, span_ms: float) -> bool:
        """Wait for replies and return whether they form a quorum.

        Returns early if a quorum can't be reached any more.

        :param span_ms: longest wait for each reply.
        """
        while not self._has_quorum():
            if self.cannot_succeed():
                return False
            try:
                self._handle_reply(
                    *self._inbox.get(timeout=clock.to_seconds(span_ms))
                )
            except queue.Empty:
                return False
        return True

    def cannot_succeed(self) -> bool:
        """Return whether too many members failed or one has a newer group."""
        return self._is_outdated or self._quorum.is_lost(self._failed)

    def describe(self) -> str:
        """Return a summary of the replies for an error message."""
        reasons = {
            disk: refused.reason for disk, refused in self.refused.items()
        }
        return (
            f'epoch {self._group.epoch}, {len(self.replies)} answered, '
            f'{len(self._failed)} failed, refused {reasons}'
        )

    def _has_quorum(self) -> bool:
        if self._is_read and not self._quorum.is_read_quorum(set(self.replies)):
            return False
        return self._quorum.is_write_quorum(set(self.replies))

    def _reply_callback(self, disk: str):
        return lambda reply: self._inbox.put((disk, reply))

    def _handle_reply(self, disk: str, reply: Any) -> None:
        if isinstance(reply, messages.Refused):
            self._handle_refusal(disk, reply)
        elif reply is None:
            self._failed.add(disk)
        else:
            self.replies[disk] = reply

    def _handle_refusal(self, disk: str, refused: messages.Refused) -> None:
        """Retry once with a member that was behind; otherwise count a failure.

        A member that is behind is sent the group first.
        """
        is_first = disk not in self.refused
        self.refused[disk] = refused
        if refused.reason == 'behind' and is_first:
            link, request = self._requests[disk]
            link.send_request(messages.Adopt(self._group), ignore_reply)
            link.send_request(request, self._reply_callback(disk))
            return
        self._is_outdated = refused.reason == 'stale'
        self._failed.add(disk)
