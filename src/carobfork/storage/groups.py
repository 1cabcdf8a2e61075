"""Groups: which store hosts keep the records, and how many must answer.

The group's specification lives in the platform's store and changes by
conditional writes only. While it changes, an operation needs a quorum of the
members before and one of the members after, so no acknowledged record is
missed whichever of the two a host knows.
"""

import attrs


@attrs.frozen
class Member:
    """One store host with one disk.

    :param disk: identifies the disk's contents; a wiped disk gets another.
    """

    node: str
    disk: str
    ip: str
    port: int
    zone: str = ''


@attrs.frozen
class Group:
    """The hosts that keep all records.

    :param epoch: grows with each change.
    :param members: hosts that hold all that was acknowledged before.
    :param following: the members after the change under way, if any.
    :param driver: the disk of the host that carries out that change.
    :param leaving: nodes that are to be emptied.
    """

    epoch: int = 0
    members: tuple[Member, ...] = ()
    following: tuple[Member, ...] = ()
    driver: str = ''
    leaving: tuple[str, ...] = ()

    def all_members(self) -> dict[str, Member]:
        """Return old and new members by their disks."""
        return {
            member.disk: member for member in (*self.members, *self.following)
        }

    def member_on_node(self, node: str) -> Member | None:
        """Return the member on a node, if any."""
        for member in self.members:
            if member.node == node:
                return member
        return None

    def start_join(
        self, joiner: Member, replaced: Member | None = None
    ) -> 'Group':
        """Return this group with a host that begins to take part.

        :param replaced: the member that it takes the place of.
        """
        stays = tuple(member for member in self.members if member != replaced)
        return attrs.evolve(
            self,
            epoch=self.epoch + 1,
            following=(*stays, joiner),
            driver=joiner.disk,
        )

    def start_shrink(self, leaver: Member) -> 'Group':
        """Return this group as it begins to do without a member."""
        return attrs.evolve(
            self,
            epoch=self.epoch + 1,
            following=tuple(
                member for member in self.members if member != leaver
            ),
            driver=leaver.disk,
        )

    def complete_change(self) -> 'Group':
        """Return this group with its change done."""
        nodes = {member.node for member in self.following}
        return attrs.evolve(
            self,
            epoch=self.epoch + 1,
            members=self.following,
            following=(),
            driver='',
            leaving=tuple(node for node in self.leaving if node in nodes),
        )

    def cancel_change(self) -> 'Group':
        """Return this group with its change given up."""
        return attrs.evolve(self, epoch=self.epoch + 1, following=(), driver='')

    def request_leave(self, node: str) -> 'Group':
        """Return this group as it asks for a member's replacement."""
        return attrs.evolve(
            self, epoch=self.epoch + 1, leaving=(*self.leaving, node)
        )

    def has_member_disk(self, disk: str) -> bool:
        """Tell whether a disk belongs to a member before the change."""
        return any(member.disk == disk for member in self.members)


def write_quorum(count: int, losses: int) -> int:
    """Return how many of ``count`` members must have synced a record.

    :param losses: disks that may be lost at a time.
    """
    return max(losses + 1, count // 2 + 1)


def read_quorum(count: int, losses: int) -> int:
    """Return how many members hold each acknowledged record among them."""
    return max(0, count - write_quorum(count, losses) + 1)


def target_size(losses: int) -> int:
    """Return the size at which a group goes on after its losses."""
    return 2 * losses + 1


@attrs.frozen
class Quorum:
    """Judge whether enough members answered.

    :param group: the group that was asked.
    :param losses: disks that may be lost at a time.
    """

    group: Group
    losses: int

    def is_write_quorum(self, disks: set[str]) -> bool:
        """Tell whether these disks make a record permanent."""
        return all(
            _count_members(members, disks)
            >= write_quorum(len(members), self.losses)
            for members in self._member_sets()
        )

    def is_read_quorum(self, disks: set[str]) -> bool:
        """Tell whether these disks hold each acknowledged record."""
        return all(
            _count_members(members, disks)
            >= read_quorum(len(members), self.losses)
            for members in self._member_sets()
        )

    def is_lost(self, failed: set[str]) -> bool:
        """Tell whether a write can't succeed any more."""
        return any(
            len(members) - _count_members(members, failed)
            < write_quorum(len(members), self.losses)
            for members in self._member_sets()
        )

    def _member_sets(self) -> list[tuple[Member, ...]]:
        if self.group.following:
            return [self.group.members, self.group.following]
        return [self.group.members]


def _count_members(members: tuple[Member, ...], disks: set[str]) -> int:
    return sum(member.disk in disks for member in members)


def plan_join(
    group: Group, node: str, lost_disks: set[str], losses: int
) -> tuple[bool, Member | None]:
    """Tell whether a host outside may join, and whom it replaces.

    :param node: the host that asks.
    :param lost_disks: members that don't answer.
    """
    previous_member = group.member_on_node(node)
    if previous_member is not None:
        return True, previous_member
    if len(group.members) < target_size(losses):
        return True, None
    for member in group.members:
        if member.node in group.leaving or member.disk in lost_disks:
            return True, member
    return False, None
