"""Copy records that a member of the storage group has missed.

A member that is down, cut off, frozen or slower than a quorum lacks records
although it remains a member. Until it has them, each is on fewer disks than
losses allow for, and the member may not know how long others are needed: a turn
is kept for as long as the turns that continue it.
"""

import attrs
import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.storage import (
    catch_up_messages,
    change_logs,
    groups,
    links,
    messages,
    replicas,
)

INTERVAL_MS = 1000
"""A host that is back has to be complete again after a few seconds."""
REQUEST_TIMEOUT_MS = 1500
MAX_BEHIND_MS = 120_000
"""How long expired records are kept by a host that can't compare its records
with others; bounds what its disk and index take."""

logger = structlog.get_logger(part='catch-up')


@attrs.frozen
class _Position:
    """How far a member's change log was read, and when."""

    log: str = ''
    number: int = 0
    read_ms: float = float('-inf')


class CatchUp:
    """Compare the records of one member with those of the others.

    :param replica: the records of this host.
    :param member_links: links to the other members.
    :param losses: number of disks that may be lost at the same time.
    :param timer: the clock that also counts while the machine is suspended.
    :param wall_timer: the wall clock, by which records expire.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        member_links: links.Links,
        losses: int,
        timer: clock.Clock,
        wall_timer: clock.Clock,
    ) -> None:
        """Start without knowing the records of any other member."""
        self.copied = 0
        self._replica = replica
        self._links = member_links
        self._losses = losses
        self._timer = timer
        self._wall_timer = wall_timer
        self._positions: dict[str, _Position] = {}
        self._known_until_ms = float('-inf')

    def run(self) -> None:
        """Catch up at intervals until the greenlet is killed."""
        while True:
            self.step()
            gevent.sleep(clock.to_seconds(INTERVAL_MS))

    def known_until_ms(self) -> float:
        """Return the wall-clock time until which all records are known here.

        Every acknowledged record is held by one of the members that this host
        has been compared with. A host outside the group gets no records, so it
        misses none.
        """
        now_ms = self._wall_timer.now_ms()
        if self._own_disk not in self._replica.group.all_members():
            return now_ms
        return max(self._known_until_ms, now_ms - MAX_BEHIND_MS)

    def step(self) -> None:
        """Copy what the connected members have and this host lacks.

        A host that joins copies all records before it is a member.
        """
        group = self._replica.group
        if not group.has_member_disk(self._own_disk):
            return
        began_ms = self._wall_timer.now_ms()
        compared = {self._own_disk}
        for member in group.members:
            link = self._links.get(member.disk)
            if link is not None and link.is_connected:
                if self._catch_up_with(link):
                    compared.add(member.disk)
        needed = groups.read_quorum(len(group.members), self._losses)
        if len(compared) >= needed:
            self._known_until_ms = began_ms - change_logs.SETTLE_MS

    @property
    def _own_disk(self) -> str:
        return self._replica.disk.identity.disk

    def _catch_up_with(self, link: links.Link) -> bool:
        """Copy what a member has; return whether nothing of it is missing."""
        try:
            while True:
                listed = self._list_changes(link)
                if listed is None:
                    return False
                if len(listed) < change_logs.MAX_LISTED:
                    return True
        except exceptions.ConnectionFailedError as error:
            logger.info('not caught up', reason=str(error))
            return False

    def _list_changes(self, link: links.Link) -> dict[str, int] | None:
        """Copy what has changed at a member since this host last asked.

        :return: the attempts that the member listed, or ``None`` if it did not
            or if their records could not be copied.
        """
        position = self._position(link.member.disk)
        read_ms = self._timer.now_ms()
        changes = link.request(
            catch_up_messages.ListChanges(position.log, position.number),
            REQUEST_TIMEOUT_MS,
        )
        if not getattr(changes, 'is_complete', False):
            return None
        index = self._replica.index
        lacking = [
            attempt
            for attempt, form in changes.forms.items()
            if not change_logs.covers(index.form(attempt), form)
        ]
        if not self._copy(link, lacking):
            return None
        self._positions[link.member.disk] = _Position(
            changes.log, changes.number, read_ms
        )
        return changes.forms

    def _position(self, disk: str) -> _Position:
        """Return from where on a member's changes have to be read.

        After a long time this host may have dropped what the member had listed
        before, so it is listed again.
        """
        position = self._positions.get(disk, _Position())
        if self._timer.now_ms() - position.read_ms > MAX_BEHIND_MS:
            return _Position()
        return position

    def _copy(self, link: links.Link, attempts: list[str]) -> bool:
        """Copy the records of attempts; return whether all are stored."""
        remaining = attempts
        while remaining:
            page = link.request(
                catch_up_messages.ReadRecords(
                    remaining[: catch_up_messages.MAX_ATTEMPTS]
                ),
                REQUEST_TIMEOUT_MS,
            )
            if not isinstance(page, messages.Records):
                return False
            if not self._replica.import_records(page.records):
                return False
            self.copied += len(page.records)
            remaining = remaining[page.next_place :]
        if attempts:
            logger.info(
                'caught up', peer=link.member.node, attempts=len(attempts)
            )
        return True
