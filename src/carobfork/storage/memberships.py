"""Let a store host join the storage group, and leave it.

A host outside the group replaces a member whose disk was lost, that is
silent, or that is retiring. It first announces the change by a conditional
write, then copies all records from a read quorum of members that know of the
change, and only then becomes a member.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.storage import groups, links, messages, replicas

STEP_INTERVAL_MS = 200
"""Interval between steps: much shorter than the time allowed for the group to
be complete again."""
MEMBER_TIMEOUT_MS = 1500
"""Silence after which a member may be replaced by a spare host."""
DRIVER_TIMEOUT_MS = 2500
"""Silence of the driver after which its change is cancelled."""
FETCH_TIMEOUT_MS = 1500
ADOPT_TIMEOUT_MS = 700
SHRINK_DELAY_MS = 3000
"""How long a retiring member waits for a spare host."""

logger = structlog.get_logger(part='membership')


class GroupRegister(Protocol):
    """The group's specification in the platform's store."""

    def current(self) -> tuple[groups.Group | None, int]:
        """Return the last known group and its revision."""

    def write(self, group: groups.Group, revision: int) -> None:
        """Replace the group if it still has a revision.

        :param revision: the expected revision; 0 creates the group.
        :raises PlatformError: if it was not written, or the outcome is
            unknown.
        """

    def is_known(self) -> bool:
        """Return whether the platform's store was read since the start."""


class Membership:
    """One store host's membership of the storage group.

    :param own_member: this host.
    :param replica: its records.
    :param register: the group's specification.
    :param member_links: links to the other members.
    :param losses: number of disks that may be lost at the same time.
    :param is_retiring: returns whether this host is to hand over its records
        and leave.
    """

    def __init__(
        self,
        own_member: groups.Member,
        replica: replicas.Replica,
        register: GroupRegister,
        member_links: links.Links,
        losses: int,
        is_retiring: Callable[[], bool],
    ) -> None:
        """Create the membership; steps determine whether it is a member."""
        self._own_member = own_member
        self._replica = replica
        self._register = register
        self._links = member_links
        self._losses = losses
        self._is_retiring = is_retiring
        self._timer = clock.SystemClock()
        self._leave_requested_ms = 0

    @property
    def disk(self) -> str:
        """The identifier of this host's disk."""
        return self._own_member.disk

    @property
    def is_outside(self) -> bool:
        """Whether the group is known and has no disk of this host.

        A disk that this host has lost counts as well, as long as the group
        has not replaced it.
        """
        group, _revision = self._register.current()
        return group is not None and not any(
            member.node == self._own_member.node
            for member in group.all_members().values()
        )

    def run(self) -> None:
        """Take steps until the greenlet is killed."""
        while True:
            try:
                self.step()
            except (exceptions.CarobforkError, OSError) as error:
                logger.info('step failed', reason=str(error))
            gevent.sleep(clock.to_seconds(STEP_INTERVAL_MS))

    def step(self) -> None:
        """Take the next step that the group needs from this host.

        :raises PlatformError: if a change could not be written.
        """
        group, revision = self._register.current()
        if not self._register.is_known():
            return
        if group is None:
            self._create_group()
            return
        self._replica.adoptions.adopt(group)
        self._links.apply(group, self._own_member.disk)
        if group.following:
            self._advance_change(group, revision)
        elif group.has_member_disk(self._own_member.disk):
            self._leave_if_retiring(group, revision)
        else:
            self._try_join(group, revision)

    def _create_group(self) -> None:
        if self._is_retiring():
            return
        self._replica.disk.save_completeness(is_complete=True)
        logger.info('creating the storage group', node=self._own_member.node)
        self._register.write(groups.Group(1, (self._own_member,)), 0)

    def _try_join(self, group: groups.Group, revision: int) -> bool:
        """Announce that this host joins, if it may; return whether it did.

        A host that is retiring joins only in place of a disk that it has lost,
        and then hands over the records.
        """
        has_lost = group.member_on_node(self._own_member.node) is not None
        if self._is_retiring() and not has_lost:
            return False
        silent_disks = self._links.silent_disks(MEMBER_TIMEOUT_MS)
        may_join, replaced = groups.plan_join(
            group, self._own_member.node, silent_disks, self._losses
        )
        if may_join:
            self._replica.disk.save_completeness(is_complete=False)
            logger.info(
                'joining the storage group',
                epoch=group.epoch,
                replaced=replaced.node if replaced else '',
            )
            self._register.write(
                group.start_join(self._own_member, replaced), revision
            )
        return may_join

    def _leave_if_retiring(self, group: groups.Group, revision: int) -> None:
        if not self._is_retiring():
            return
        if self._own_member.node not in group.leaving:
            self._leave_requested_ms = self._timer.now_ms()
            self._register.write(
                group.request_leave(self._own_member.node), revision
            )
            return
        waited_ms = self._timer.now_ms() - self._leave_requested_ms
        if (
            waited_ms > SHRINK_DELAY_MS
            and len(group.members) > self._losses + 1
            and not self._links.silent_disks(MEMBER_TIMEOUT_MS)
        ):
            logger.info('shrinking the storage group', epoch=group.epoch)
            self._register.write(group.start_shrink(self._own_member), revision)

    def _advance_change(self, group: groups.Group, revision: int) -> None:
        if group.needs_lost_disk(self._own_member):
            self._replace_change(group, revision)
            return
        if group.driver != self._own_member.disk:
            driver = self._links.get(group.driver)
            if driver is None or driver.silent_ms() > DRIVER_TIMEOUT_MS:
                logger.info('cancelling a change', epoch=group.epoch)
                self._register.write(group.cancel_change(), revision)
            return
        if group.has_member_disk(self._own_member.disk):
            if self._links.silent_disks(MEMBER_TIMEOUT_MS):
                # Each record needs all members that stay until this is over.
                logger.info(
                    'leaving cancelled, a member is silent', epoch=group.epoch
                )
                self._register.write(group.cancel_change(), revision)
                return
            is_done = self._transfer_records(group)
        else:
            is_done = self._copy_records(group)
        if is_done:
            self._register.write(group.complete_change(), revision)

    def _replace_change(self, group: groups.Group, revision: int) -> None:
        """Cancel a change that needs the disk that this host has lost.

        In the same write this host joins if it may, so that the change does
        not start again before.
        """
        logger.info('cancelling a change for a lost disk', epoch=group.epoch)
        restored = group.cancel_change()
        if not self._try_join(restored, revision):
            self._register.write(restored, revision)

    def _copy_records(self, group: groups.Group) -> bool:
        """Copy all records here; return whether a read quorum sent them."""
        sources = self._announce_change(group)
        done: set[str] = set()
        for link in sources:
            if self._copy_from(link):
                done.add(link.member.disk)
        needed = groups.read_quorum(len(group.members), self._losses)
        if len(done) < needed:
            return False
        self._replica.disk.save_completeness(is_complete=True)
        return True

    def _copy_from(self, link: links.Link) -> bool:
        copied = 0
        for records in _read_pages(link):
            if records is None or not self._replica.import_records(records):
                return False
            copied += len(records)
        logger.info('copied', peer=link.member.node, records=copied)
        return True

    def _announce_change(self, group: groups.Group) -> list[links.Link]:
        """Send the change to the old members; return links to those reached."""
        reached = []
        for member in group.members:
            link = self._links.get(member.disk)
            if link is None or not link.is_connected:
                continue
            try:
                link.request(messages.Adopt(group), ADOPT_TIMEOUT_MS)
            except exceptions.ConnectionFailedError as error:
                logger.info('member not reached', reason=str(error))
                continue
            reached.append(link)
        return reached

    def _transfer_records(self, group: groups.Group) -> bool:
        """Send all records to the remaining members.

        :return: whether each of them holds all records now.
        """
        reached = {link.member.disk for link in self._announce_change(group)}
        remaining = {member.disk for member in group.following}
        if not remaining <= reached:
            return False
        return all(self._send_all_records(disk, reached) for disk in remaining)

    def _send_all_records(self, disk: str, sources: set[str]) -> bool:
        """Send one member the records of this host and of other sources."""
        target = self._links.get(disk)
        if not _send_records(target, self._read_own_records()):
            return False
        for source in sources - {disk}:
            for records in _read_pages(self._links.get(source)):
                if records is None or not _send_records(target, records):
                    return False
        return True

    def _read_own_records(self) -> Iterator[bytes]:
        """Yield this host's records, each read when it is needed."""
        for entry in list(self._replica.index.dump()):
            yield self._replica.disk.read(entry)


def _read_pages(link: links.Link) -> Iterator[list[bytes] | None]:
    """Yield pages of a member's records.

    Yields ``None`` and ends if the member fails or does not hold all records.
    """
    position = 0
    listing = 0
    while True:
        try:
            page = link.request(
                messages.Fetch(position, listing), FETCH_TIMEOUT_MS
            )
        except exceptions.ConnectionFailedError as error:
            logger.info('records not read', reason=str(error))
            yield None
            return
        if not getattr(page, 'is_complete', False):
            logger.info('member is incomplete', peer=link.member.node)
            yield None
            return
        yield page.records
        position = page.next_place
        listing = page.listing
        if not position:
            return


def batch_records(records: Iterable[bytes]) -> Iterator[list[bytes]]:
    """Yield records in batches that fit a message each."""
    batch: list[bytes] = []
    batch_bytes = 0
    for record in records:
        is_long = batch_bytes + len(record) > messages.MAX_GIVE_BYTES
        if batch and (is_long or len(batch) == messages.MAX_GIVE_RECORDS):
            yield batch
            batch, batch_bytes = [], 0
        batch.append(record)
        batch_bytes += len(record)
    if batch:
        yield batch


def _send_records(target: links.Link | None, records: Iterable[bytes]) -> bool:
    if target is None:
        return False
    for batch in batch_records(records):
        try:
            reply = target.request(messages.Give(batch), FETCH_TIMEOUT_MS)
        except exceptions.ConnectionFailedError as error:
            logger.info('records not sent', reason=str(error))
            return False
        if not isinstance(reply, messages.Done):
            logger.info('records not stored', peer=target.member.node)
            return False
    return True
