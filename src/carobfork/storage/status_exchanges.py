"""Exchange the state of the platform and of entry hosts with other hosts."""

from collections.abc import Callable
from typing import Any

import attrs
import structlog

from carobfork import clock
from carobfork.storage import (
    disks,
    groups,
    messages,
    presences,
    request_blocks,
    snapshots,
)

PEER_FRESHNESS_TTL_MS = 600
"""Time for which a peer that follows the platform counts as up to date after
its last reply; more than two heartbeats."""

logger = structlog.get_logger(part='informer')

AdoptCallback = Callable[[groups.Group], Any]
ReplyCallback = Callable[[Any], None]


class StatusExchange:
    """Handle heartbeats of entry hosts and reports of other store hosts.

    :ivar is_following: returns whether this host follows the platform.
    :param disk: stores the platform's snapshots and the group.
    :param adopt: adopts a newer group without waiting for the disk.
    :param blocks: the blocked requests.
    :param timer: measures the age of reports.
    """

    def __init__(
        self,
        disk: disks.Disk,
        adopt: AdoptCallback,
        blocks: request_blocks.RequestBlocks,
        timer: clock.Clock,
    ) -> None:
        """Create an exchange that does not follow the platform yet."""
        self.is_following: Callable[[], bool] = _never
        self._disk = disk
        self._adopt = adopt
        self._blocks = blocks
        self._timer = timer
        self._presences = presences.PresenceTable(timer)
        self._peer_fresh_ms = float('-inf')
        self._last_outage_ms = float('-inf')

    def update_snapshot(
        self, kind: str, snapshot: snapshots.Snapshot, was_unreachable: bool
    ) -> None:
        """Store a snapshot of the platform's objects for other hosts.

        :param kind: the kind of the objects.
        :param was_unreachable: whether the platform was unreachable before.
        """
        if was_unreachable:
            self._last_outage_ms = self._timer.now_ms()
        before = self._disk.snapshots.get(kind)
        is_kept = self._disk.snapshots.put(kind, snapshot)
        if is_kept and snapshot.entries != before.entries:
            self._disk.save_snapshots()

    def merge_recalled(self, recalled: messages.Recalled) -> bool:
        """Merge a peer's platform state; return whether all could be merged."""
        self._adopt(recalled.group)
        outage_ms = self._timer.now_ms() - recalled.since_outage_ms
        self._last_outage_ms = max(self._last_outage_ms, outage_ms)
        updated_kinds, is_complete = self._disk.snapshots.merge(
            recalled.changes
        )
        if updated_kinds:
            logger.info('updated by a peer', **self._disk.snapshots.revisions())
            self._disk.save_snapshots()
        return is_complete

    def apply_news(self, news: messages.News) -> bool:
        """Apply a peer's news; return whether the peer has newer snapshots."""
        if news.group is not None:
            self._adopt(news.group)
        if news.is_fresh:
            self._peer_fresh_ms = self._timer.now_ms()
        return self._disk.snapshots.is_behind(news.revisions)

    def build_report(self) -> messages.Report:
        """Return the group and the direct reports of entry hosts."""
        group = self._disk.identity.group
        return messages.Report(
            group, self._presences.recent_direct(), self._blocks.blocked()
        )

    def has_waiting_calls(self) -> bool:
        """Return whether calls wait at any entry host."""
        return self._presences.has_waiting_calls()

    def handle_recall(
        self, message: messages.Recall, reply: ReplyCallback
    ) -> None:
        """Reply with the platform state that the peer does not have."""
        since_ms = self._timer.now_ms() - self._last_outage_ms
        changes = self._disk.snapshots.deltas_since(message.revisions)
        group = self._disk.identity.group
        reply(messages.Recalled(group, changes, since_ms))

    def handle_presence(
        self, message: messages.Presence, reply: ReplyCallback
    ) -> None:
        """Record an entry host's report and reply with the other hosts."""
        has_fresh_peer = (
            self._timer.now_ms() - self._peer_fresh_ms <= PEER_FRESHNESS_TTL_MS
        )
        news = self._build_news(
            message.epoch, self.is_following() or has_fresh_peer
        )
        hosts = self._presences.record(message, news)
        is_known = message.blocked_version == self._blocks.version
        reply(
            attrs.evolve(
                hosts,
                blocked_version=self._blocks.version,
                blocked=None if is_known else self._blocks.blocked(),
            )
        )

    def handle_beat(self, message: messages.Beat, reply: ReplyCallback) -> None:
        """Reply to an entry host's heartbeat with the news."""
        reply(self._build_news(message.epoch, self.is_following()))

    def handle_report(
        self, message: messages.Report, reply: ReplyCallback
    ) -> None:
        """Record the reports that another store host received directly."""
        self._adopt(message.group)
        self._presences.record_reported(message.presences)
        self._blocks.merge(message.blocked)
        news = self._build_news(message.group.epoch, self.is_following())
        reply(attrs.evolve(news, heard_ms=message.sent_ms))

    def _build_news(self, epoch: int, is_fresh: bool) -> messages.News:
        identity = self._disk.identity
        group = identity.group
        return messages.News(
            group if epoch < group.epoch else None,
            self._disk.snapshots.revisions(),
            is_fresh,
            grants_permits=True,
            keeps_crashes=True,
            disk=identity.disk,
            grants_credits=True,
            reads_turns=True,
        )


def _never() -> bool:
    return False
