"""Informers: what a store host tells others of the platform and of hosts."""

from collections.abc import Callable
from typing import Any

import structlog

from carobfork import clock
from carobfork.storage import disks, groups, messages, notes, presences

TOLD_MS = 600
"""Two beats and a bit: a peer that follows the platform was heard since."""

logger = structlog.get_logger(part='informer')

Adopt = Callable[[groups.Group], None]
Reply = Callable[[Any], None]


class Informer:
    """Answer beats of entry hosts and reports of other store hosts.

    :param disk: keeps what is known, and the group.
    :param adopt: takes a newer group over.
    :param timer: measures ages.
    """

    def __init__(
        self, disk: disks.Disk, adopt: Adopt, timer: clock.Clock
    ) -> None:
        """Start with what the disk knows."""
        self.is_following: Callable[[], bool] = _never
        self._disk = disk
        self._adopt = adopt
        self._timer = timer
        self._presences = presences.Presences(timer)
        self._told_ms = float('-inf')
        self._outage_ms = float('-inf')

    def note(self, kind: str, note: notes.Note, was_away: bool) -> None:
        """Note what the platform tells, for other hosts.

        :param was_away: whether the platform was out of reach before.
        """
        if was_away:
            self._outage_ms = self._timer.now_ms()
        before = self._disk.notebook.get(kind)
        is_kept = self._disk.notebook.put(kind, note)
        if is_kept and note.entries != before.entries:
            self._disk.save_notes()

    def note_recalled(self, told: messages.Recalled) -> bool:
        """Note what a peer knows; tell whether all of it could be taken."""
        self._adopt(told.group)
        outage_ms = self._timer.now_ms() - told.since_outage_ms
        self._outage_ms = max(self._outage_ms, outage_ms)
        renewed, is_whole = self._disk.notebook.merge(told.changes)
        if renewed:
            logger.info('told by a peer', **self._disk.notebook.revisions())
            self._disk.save_notes()
        return is_whole

    def note_news(self, news: messages.News) -> bool:
        """Note a peer's news; tell whether it knows more than this host."""
        if news.group is not None:
            self._adopt(news.group)
        if news.is_fresh:
            self._told_ms = self._timer.now_ms()
        return self._disk.notebook.is_behind(news.revisions)

    def report(self) -> messages.Report:
        """Return what other store hosts should know."""
        group = self._disk.identity.group
        return messages.Report(group, self._presences.direct())

    def has_waiting(self) -> bool:
        """Tell whether calls wait at any entry host."""
        return self._presences.has_waiting()

    def recall(self, message: messages.Recall, reply: Reply) -> None:
        """Tell what the asker does not know of the platform."""
        since_ms = self._timer.now_ms() - self._outage_ms
        changes = self._disk.notebook.since(message.revisions)
        group = self._disk.identity.group
        reply(messages.Recalled(group, changes, since_ms))

    def take_presence(self, message: messages.Presence, reply: Reply) -> None:
        """Note an entry host's word and tell of the others."""
        is_told = self._timer.now_ms() - self._told_ms <= TOLD_MS
        news = self._news(message.epoch, self.is_following() or is_told)
        reply(self._presences.note(message, news))

    def take_beat(self, message: messages.Beat, reply: Reply) -> None:
        """Tell an entry host the news."""
        reply(self._news(message.epoch, self.is_following()))

    def take_report(self, message: messages.Report, reply: Reply) -> None:
        """Note what another store host heard."""
        self._adopt(message.group)
        self._presences.note_reported(message.presences)
        reply(self._news(message.group.epoch, self.is_following()))

    def _news(self, epoch: int, is_fresh: bool) -> messages.News:
        group = self._disk.identity.group
        return messages.News(
            group if epoch < group.epoch else None,
            self._disk.notebook.revisions(),
            is_fresh,
        )


def _never() -> bool:
    return False
