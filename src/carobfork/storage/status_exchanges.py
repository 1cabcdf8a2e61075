"""Informers: what a store host tells others of the platform and of hosts."""

from collections.abc import Callable
from typing import Any

import structlog

from carobfork import clock
from carobfork.storage import disks, groups, messages, presences, snapshots

PEER_FRESHNESS_TTL_MS = 600
"""Two beats and a bit: a peer that follows the platform was heard since."""

logger = structlog.get_logger(part='informer')

AdoptCallback = Callable[[groups.Group], None]
ReplyCallback = Callable[[Any], None]


class StatusExchange:
    """Answer beats of entry hosts and reports of other store hosts.

    :param disk: keeps what is known, and the group.
    :param adopt: takes a newer group over.
    :param timer: measures ages.
    """

    def __init__(
        self, disk: disks.Disk, adopt: AdoptCallback, timer: clock.Clock
    ) -> None:
        """Start with what the disk knows."""
        self.is_following: Callable[[], bool] = _never
        self._disk = disk
        self._adopt = adopt
        self._timer = timer
        self._presences = presences.PresenceTable(timer)
        self._peer_fresh_ms = float('-inf')
        self._last_outage_ms = float('-inf')

    def update_snapshot(
        self, kind: str, snapshot: snapshots.Snapshot, was_unreachable: bool
    ) -> None:
        """Note what the platform tells, for other hosts.

        :param was_unreachable: whether the platform was out of reach before.
        """
        if was_unreachable:
            self._last_outage_ms = self._timer.now_ms()
        before = self._disk.snapshots.get(kind)
        is_kept = self._disk.snapshots.put(kind, snapshot)
        if is_kept and snapshot.entries != before.entries:
            self._disk.save_snapshots()

    def merge_recalled(self, recalled: messages.Recalled) -> bool:
        """Note what a peer knows; tell whether all of it could be taken."""
        self._adopt(recalled.group)
        outage_ms = self._timer.now_ms() - recalled.since_outage_ms
        self._last_outage_ms = max(self._last_outage_ms, outage_ms)
        updated_kinds, is_complete = self._disk.snapshots.merge(
            recalled.changes
        )
        if updated_kinds:
            logger.info('told by a peer', **self._disk.snapshots.revisions())
            self._disk.save_snapshots()
        return is_complete

    def apply_news(self, news: messages.News) -> bool:
        """Note a peer's news; tell whether it knows more than this host."""
        if news.group is not None:
            self._adopt(news.group)
        if news.is_fresh:
            self._peer_fresh_ms = self._timer.now_ms()
        return self._disk.snapshots.is_behind(news.revisions)

    def build_report(self) -> messages.Report:
        """Return what other store hosts should know."""
        group = self._disk.identity.group
        return messages.Report(group, self._presences.recent_direct())

    def has_waiting_calls(self) -> bool:
        """Tell whether calls wait at any entry host."""
        return self._presences.has_waiting_calls()

    def handle_recall(
        self, message: messages.Recall, reply: ReplyCallback
    ) -> None:
        """Tell what the asker does not know of the platform."""
        since_ms = self._timer.now_ms() - self._last_outage_ms
        changes = self._disk.snapshots.deltas_since(message.revisions)
        group = self._disk.identity.group
        reply(messages.Recalled(group, changes, since_ms))

    def handle_presence(
        self, message: messages.Presence, reply: ReplyCallback
    ) -> None:
        """Note an entry host's word and tell of the others."""
        has_fresh_peer = (
            self._timer.now_ms() - self._peer_fresh_ms <= PEER_FRESHNESS_TTL_MS
        )
        news = self._build_news(
            message.epoch, self.is_following() or has_fresh_peer
        )
        reply(self._presences.record(message, news))

    def handle_beat(self, message: messages.Beat, reply: ReplyCallback) -> None:
        """Tell an entry host the news."""
        reply(self._build_news(message.epoch, self.is_following()))

    def handle_report(
        self, message: messages.Report, reply: ReplyCallback
    ) -> None:
        """Note what another store host heard."""
        self._adopt(message.group)
        self._presences.record_reported(message.presences)
        reply(self._build_news(message.group.epoch, self.is_following()))

    def _build_news(self, epoch: int, is_fresh: bool) -> messages.News:
        group = self._disk.identity.group
        return messages.News(
            group if epoch < group.epoch else None,
            self._disk.snapshots.revisions(),
            is_fresh,
        )


def _never() -> bool:
    return False
