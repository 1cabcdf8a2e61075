"""Let a store host adopt a newer group without waiting for its disk.

A peer sends its requests on one connection, so none of them may wait for the
disk before the next one is read. A group is stored in the background, and only
the requests that need it wait.
"""

from collections.abc import Callable

import gevent
import structlog

from carobfork.storage import disks, grant_rights, groups

logger = structlog.get_logger(part='keeper')


class Adoptions:
    """Store the group on a disk when a newer one is known.

    :ivar heard: the newest group that is known, stored or not.
    :param disk: stores the group.
    :param grant_right: the right to grant credits, which follows the group.
    """

    def __init__(
        self, disk: disks.Disk, grant_right: grant_rights.GrantRight
    ) -> None:
        """Start with the group that is on the disk."""
        self.heard = disk.identity.group
        self._disk = disk
        self._grant_right = grant_right
        self._greenlet: gevent.Greenlet | None = None
        self._pending_epoch = 0

    def adopt(self, group: groups.Group) -> None:
        """Store a group durably if it is newer than the known one.

        A group that can't be stored is logged and not adopted.
        """
        self._hear(group)
        known = self._disk.identity.group
        is_member = all(map(self._grant_right.is_member, (known, group)))
        try:
            is_adopted = group.epoch > known.epoch and self._disk.save_group(
                group, is_member=is_member
            )
        except OSError as error:
            logger.error(
                'storage group not stored',
                epoch=group.epoch,
                reason=str(error),
            )
            return
        if is_adopted:
            logger.info(
                'storage group adopted',
                epoch=group.epoch,
                before=known.epoch,
                members=[member.node for member in group.members],
                following=[member.node for member in group.following],
            )
            self._grant_right.follow(self.heard)

    def start(self, group: groups.Group) -> None:
        """Adopt a group in the background if it is newer."""
        self._hear(group)
        is_newer = group.epoch > self._disk.identity.group.epoch
        if is_newer and not self._is_pending(group.epoch):
            self._pending_epoch = group.epoch
            self._greenlet = gevent.spawn(self.adopt, group)

    def call_after(self, epoch: int, on_ended: Callable[[], None]) -> bool:
        """Call a function once a pending adoption has ended.

        :param epoch: epoch of the group that is needed.
        :param on_ended: called whether or not the group could be stored.
        :return: whether this group or a newer one is being stored.
        """
        is_pending = self._is_pending(epoch)
        if is_pending:
            self._greenlet.link(lambda _ended: on_ended())
        return is_pending

    def _hear(self, group: groups.Group) -> None:
        if group.epoch > self.heard.epoch:
            self.heard = group

    def _is_pending(self, epoch: int) -> bool:
        return (
            self._greenlet is not None
            and not self._greenlet.ready()
            and self._pending_epoch >= epoch
        )
