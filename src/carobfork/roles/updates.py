"""Updates: what an entry host learns of the platform.

Store hosts tell it. Where none of them follows the platform, it does so
itself.
"""

from collections.abc import Callable

import attrs
import structlog
from gevent import event

from carobfork import clock, exceptions
from carobfork.gateway import relays, workers
from carobfork.platform import decoding, followers, names, registers
from carobfork.storage import clients, links, messages, snapshots

UNTOLD_MS = 1100
"""Four beats: then an entry host follows the platform itself."""

logger = structlog.get_logger(part='updates')


@attrs.frozen
class Learners:
    """The parts of an entry host that take what is learnt."""

    relay: relays.Relay
    table: workers.WorkerTable
    storage: clients.Client


class Updates:
    """Take configurations, backend servers and the storage group.

    :param learners: the parts that take them.
    :param timer: measures how long nothing was told.
    """

    def __init__(self, learners: Learners, timer: clock.Clock) -> None:
        """Start without knowing anything."""
        self.needed = event.Event()
        self._learners = learners
        self._timer = timer
        self._told_ms = timer.now_ms()
        self._notebook = snapshots.SnapshotCache()
        self._takers = {
            names.KIND_CONFIG: self._take_configs,
            names.KIND_SERVERS: self._take_workers,
        }

    @property
    def is_complete(self) -> bool:
        """Whether enough is known to serve."""
        is_routed = self._learners.relay.routes is not None
        return is_routed and self._learners.table.is_loaded

    def sources(self) -> dict[str, followers.OnSnapshot]:
        """Return what takes the platform's own word, by kind."""
        takers = {kind: self._taker(kind) for kind in self._takers}
        return {**takers, names.KIND_STORAGE: self._take_group}

    def check(self) -> None:
        """Let the platform be followed where no store host tells of it."""
        if self._timer.now_ms() - self._told_ms > UNTOLD_MS:
            self.needed.set()
        else:
            self.needed.clear()

    def take_news(self, link: links.Link | None, news: messages.News) -> None:
        """Take a store host's news and ask for what is new."""
        if news.group is not None:
            self._learners.storage.apply(news.group)
        if news.is_fresh:
            self._told_ms = self._timer.now_ms()
        if link is not None and self._notebook.is_behind(news.revisions):
            known = self._notebook.revisions()
            link.send_request(messages.Recall(known), self._recalled(link))

    def take_recalled(self, told: messages.Recalled) -> bool:
        """Take what a store host knows; tell whether all could be taken."""
        self._learners.storage.apply(told.group)
        was_away = told.since_outage_ms < workers.RELISTING_TIMEOUT_MS
        renewed, is_whole = self._notebook.merge(told.changes)
        for kind in renewed:
            note = self._notebook.get(kind)
            logger.info('recalled', kind=kind, revision=note.revision)
            self._takers[kind](decoding.decode_note(note), was_away)
        return is_whole

    def _recalled(
        self, link: links.Link
    ) -> Callable[[messages.Recalled | None], None]:
        def take(told: messages.Recalled | None) -> None:  # noqa: WPS430
            if told is not None and not self.take_recalled(told):
                link.send_request(messages.Recall(), self._recalled(link))

        return take

    def _taker(self, kind: str) -> followers.OnSnapshot:
        def take(seen: followers.Snapshot) -> None:  # noqa: WPS430
            note = decoding.encode_note(seen.present, seen.revision)
            if self._notebook.put(kind, note):
                self._takers[kind](seen.present, seen.was_away)

        return take

    def _take_configs(
        self, found: list[decoding.StoredObject], _was_away: bool
    ) -> None:
        for stored in found:
            if stored.name == names.CONFIG_NAME:
                self._take_config(stored)

    def _take_config(self, stored: decoding.StoredObject) -> None:
        known = self._learners.relay.routes
        try:
            table = decoding.decode_table(stored.spec)
        except (exceptions.SettingsError, AttributeError) as error:
            logger.warning('configuration not taken', reason=str(error))
            return
        if known is None or table.version > known.version:
            logger.info(
                'configuration in force',
                version=table.version,
                before=known.version if known else None,
                routes=len(table.routes),
            )
            self._learners.relay.routes = table

    def _take_workers(
        self, found: list[decoding.StoredObject], was_away: bool
    ) -> None:
        entries = [decoding.decode_worker(stored) for stored in found]
        self._learners.table.apply(
            [entry for entry in entries if entry], was_away
        )
        self._learners.relay.admission.process_waiting()

    def _take_group(self, seen: followers.Snapshot) -> None:
        for stored in seen.present:
            if stored.name == registers.GROUP_NAME:
                self._learners.storage.apply(registers.decode_group(stored))
