"""Tell whether a store host may grant its share of the quotas of tenants.

Each member of the storage group grants one share. When another host takes the
place of a member that is cut off, both believe that the share is theirs until
the old one hears of it. So a member grants only while it has lately been in
touch with a write quorum of members, some of which know of each change of the
group, and a new member begins only when its predecessor must have stopped.
A member that restarts before its first grant can't tell how long it has been
one, so it waits anew.
"""

from collections.abc import Callable

import attrs

from carobfork import clock
from carobfork.storage import groups

TOUCH_TTL_MS = 2000
"""How long a member grants without replies of other members. It is longer than
the silence after which a spare host replaces a member, so that short faults
cost no credits; a new member waits as long before it grants."""


@attrs.define
class FirstGrant:
    """Whether a member has granted, which outlasts a restart.

    :param is_made: whether it has granted since it became a member.
    :param store: called at its first grant, to store that durably. If the host
        ends before that, it waits anew.
    """

    is_made: bool
    store: Callable[[], object]


class GrantRight:
    """Whether this store host may grant credits.

    :param own_disk: the host's disk.
    :param group: the group that is known at the start.
    :param losses: number of disks that may be lost at the same time.
    :param timer: a clock that counts suspensions of the machine.
    :param first_grant: whether this host granted before it started.
    """

    def __init__(
        self,
        own_disk: str,
        group: groups.Group,
        losses: int,
        timer: clock.Clock,
        first_grant: FirstGrant,
    ) -> None:
        """Create the right of a host that has not heard of others yet."""
        self._own_disk = own_disk
        self._losses = losses
        self._timer = timer
        self._first_grant = first_grant
        self._touched_ms: dict[str, float] = {}
        self.since_ms: float | None = None
        if first_grant.is_made:
            self.since_ms = timer.now_ms()
        self.follow(group)

    def record_touch(self, disk: str, sent_ms: float) -> None:
        """Record that a member has answered a message.

        :param sent_ms: when the message was sent. The time of the reply does
            not count: it may have waited while this host was frozen.
        """
        self._touched_ms[disk] = max(sent_ms, self._touched_ms.get(disk, 0))

    def may_grant(self, group: groups.Group) -> bool:
        """Return whether this host may grant credits now.

        :param group: the newest group that it knows.
        """
        if not self._is_granter(group):
            return False
        since_ms = self.since_ms
        if not self._first_grant.is_made:
            self._first_grant.is_made = True
            self._first_grant.store()
        # It may have been replaced while it waited for its disk.
        return self.since_ms == since_ms

    def follow(self, group: groups.Group) -> None:
        """Note whether this host has become or ceased to be a member."""
        if not self.is_member(group):
            self.since_ms = None
            self._first_grant.is_made = False
        elif self.since_ms is None:
            self.since_ms = self._timer.now_ms() + TOUCH_TTL_MS

    def is_member(self, group: groups.Group) -> bool:
        """Return whether this host is a member and remains one."""
        stays = not group.following or any(
            member.disk == self._own_disk for member in group.following
        )
        return stays and group.has_member_disk(self._own_disk)

    def _is_granter(self, group: groups.Group) -> bool:
        self.follow(group)
        if self.since_ms is None:
            return False
        now_ms = self._timer.now_ms()
        touched = {
            disk
            for disk, touched_ms in self._touched_ms.items()
            if now_ms - touched_ms <= TOUCH_TTL_MS
        }
        quorum = groups.Quorum(group, self._losses)
        return now_ms >= self.since_ms and quorum.is_write_quorum(
            touched | {self._own_disk}
        )
