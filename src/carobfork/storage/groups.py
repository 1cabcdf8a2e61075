"""Define which store hosts keep the records, and how many must reply.

The group's specification is in the platform's store and changes only by
conditional writes. During a change, an operation needs a quorum of the old
members and one of the new members, so no acknowledged record is missed by a
host that knows only one of the two sets.
"""

import attrs


@attrs.frozen
class Member:
    """One store host with one disk.

    :param node: the host's name.
    :param disk: identifies the disk's contents; a wiped disk gets a new one.
    :param zone: the host's failure domain.
    """

    node: str
    disk: str
    ip: str
    port: int
    zone: str = ''


@attrs.frozen
class Group:
    """The store hosts that keep all records.

    :param epoch: increases with each change.
    :param members: the current members.
    :param following: the members after the change in progress, if any.
    :param driver: the disk of the host that carries out that change.
    :param leaving: nodes whose members are retiring.
    """

    epoch: int = 0
    members: tuple[Member, ...] = ()
    following: tuple[Member, ...] = ()
    driver: str = ''
    leaving: tuple[str, ...] = ()

    def all_members(self) -> dict[str, Member]:
        """Return old and new members, by disk."""
        return {
            member.disk: member for member in (*self.members, *self.following)
        }

    def member_on_node(self, node: str) -> Member | None:
        """Return the current member on a node, if any."""
        for member in self.members:
            if member.node == node:
                return member
        return None

    def start_join(
        self, joiner: Member, replaced: Member | None = None
    ) -> 'Group':
        """Return this group with the start of a change that adds a host.

        :param replaced: the member that the host replaces, if any.
        """
        stays = tuple(member for member in self.members if member != replaced)
        return attrs.evolve(
            self,
            epoch=self.epoch + 1,
            following=(*stays, joiner),
            driver=joiner.disk,
        )

    def start_shrink(self, leaver: Member) -> 'Group':
        """Return this group with the start of a change that removes a host."""
        return attrs.evolve(
            self,
            epoch=self.epoch + 1,
            following=tuple(
                member for member in self.members if member != leaver
            ),
            driver=leaver.disk,
        )

    def complete_change(self) -> 'Group':
        """Return this group after its change."""
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
        """Return this group without its change."""
        return attrs.evolve(self, epoch=self.epoch + 1, following=(), driver='')

    def request_leave(self, node: str) -> 'Group':
        """Return this group with a request to replace a node's member."""
        return attrs.evolve(
            self, epoch=self.epoch + 1, leaving=(*self.leaving, node)
        )

    def needs_lost_disk(self, own_member: Member) -> bool:
        """Return whether the change can't end as a host has lost its disk.

        A change needs its driver. A host that leaves also needs all members
        that stay, which get its records.

        :param own_member: the host with the disk that it has now.
        """
        needed = {self.driver}
        if self.has_member_disk(self.driver):
            needed.update(member.disk for member in self.following)
        return any(
            member.node == own_member.node and member.disk != own_member.disk
            for disk, member in self.all_members().items()
            if disk in needed
        )

    def has_member_disk(self, disk: str) -> bool:
        """Return whether a disk belongs to a current member."""
        return any(member.disk == disk for member in self.members)


def write_quorum(count: int, losses: int) -> int:
    """Return how many of ``count`` members must have synced a record.

    :param losses: number of disks that may be lost at the same time.
    """
    return max(losses + 1, count // 2 + 1)


def read_quorum(count: int, losses: int) -> int:
    """Return how many members together hold every acknowledged record."""
    return max(0, count - write_quorum(count, losses) + 1)


def target_size(losses: int) -> int:
    """Return the size at which a group keeps a quorum after its losses."""
    return 2 * losses + 1


@attrs.frozen
class Quorum:
    """The quorum rules of a group.

    During a change, each rule has to hold for the old and the new members.

    :param losses: number of disks that may be lost at the same time.
    """

    group: Group
    losses: int

    def is_write_quorum(self, disks: set[str]) -> bool:
        """Return whether a record is durable once these disks have it."""
        return all(
            _count_members(members, disks)
            >= write_quorum(len(members), self.losses)
            for members in self._member_sets()
        )

    def is_read_quorum(self, disks: set[str]) -> bool:
        """Return whether these disks include each acknowledged record."""
        return all(
            _count_members(members, disks)
            >= read_quorum(len(members), self.losses)
            for members in self._member_sets()
        )

    def is_lost(self, failed: set[str]) -> bool:
        """Return whether a write can't succeed after these failures."""
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
    """Return whether a host outside the group may join, and whom it replaces.

    A host whose node is still a member has a new disk and replaces that member.
    :param node: the host that wants to join.
    :param lost_disks: disks of members that don't reply.
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
