"""Keep an entry host up to date with the platform's objects.

Store hosts report changes. If none of them follows the platform, the entry
host follows it itself.
"""

from collections.abc import Callable

import attrs
import structlog
from gevent import event

from carobfork import clock, exceptions
from carobfork.gateway import relays, worker_tables
from carobfork.platform import decoding, entries, followers, names, registers
from carobfork.storage import clients, links, messages, snapshots
from carobfork.tenancy import key_ages

NEWS_TIMEOUT_MS = 1100
"""An entry host without news for this long follows the platform itself; it is
a little more than four heartbeats."""

_REJECTED = (exceptions.SettingsError, *decoding.MALFORMED)

logger = structlog.get_logger(part='updates')


@attrs.frozen
class UpdateTargets:
    """Parts of an entry host that are updated.

    :param relay: uses the routes of the configuration.
    :param table: holds the backend servers.
    :param storage: client of the storage group.
    :param key_age: told when the newest configuration is known.
    """

    relay: relays.Relay
    table: worker_tables.WorkerTable
    storage: clients.Client
    key_age: key_ages.KeyAge


class Updates:
    """Updates of the configuration, backend servers and storage group.

    :param targets: the parts that are updated.
    :param timer: clock for the time since the last news.
    """

    def __init__(self, targets: UpdateTargets, timer: clock.Clock) -> None:
        """Create an empty state."""
        self.needed = event.Event()
        self._targets = targets
        self._timer = timer
        self._last_news_ms = timer.now_ms()
        self._snapshots = snapshots.SnapshotCache()
        self._handlers = {
            names.KIND_CONFIG: self._apply_configs,
            names.KIND_SERVERS: self._apply_workers,
        }

    @property
    def is_complete(self) -> bool:
        """Whether routes and backend servers are known."""
        is_routed = self._targets.relay.routes is not None
        return is_routed and self._targets.table.is_loaded

    @property
    def news_age_ms(self) -> float:
        """Time since a store host last reported on the platform."""
        return self._timer.now_ms() - self._last_news_ms

    def sources(self) -> dict[str, followers.OnSnapshot]:
        """Return the handlers of snapshots from the platform, by kind."""
        handlers = {kind: self._handler(kind) for kind in self._handlers}
        return {**handlers, names.KIND_STORAGE: self._apply_group}

    def check(self) -> None:
        """Request following of the platform if no store host reports on it."""
        if self._timer.now_ms() - self._last_news_ms > NEWS_TIMEOUT_MS:
            self.needed.set()
        else:
            self.needed.clear()

    def apply_news(self, link: links.Link | None, news: messages.News) -> None:
        """Apply a store host's news and request snapshots that are newer.

        :param link: link to the store host, if it is still known.
        """
        if news.group is not None:
            self._targets.storage.apply(news.group)
        if news.is_fresh:
            self._last_news_ms = self._timer.now_ms()
        is_behind = self._snapshots.is_behind(news.revisions)
        if news.is_fresh and not is_behind:
            self._targets.key_age.confirm()
        if link is not None and is_behind:
            known = self._snapshots.revisions()
            link.send_request(messages.Recall(known), self._on_recalled(link))

    def apply_recalled(self, recalled: messages.Recalled) -> bool:
        """Apply a store host's changes; tell whether all could be applied."""
        self._targets.storage.apply(recalled.group)
        was_unreachable = (
            recalled.since_outage_ms < worker_tables.RELISTING_TIMEOUT_MS
        )
        updated_kinds, is_complete = self._snapshots.merge(recalled.changes)
        for kind in updated_kinds:
            snapshot = self._snapshots.get(kind)
            logger.info('recalled', kind=kind, revision=snapshot.revision)
            self._handlers[kind](
                decoding.decode_snapshot(snapshot), was_unreachable
            )
        return is_complete

    def _on_recalled(
        self, link: links.Link
    ) -> Callable[[messages.Recalled | None], None]:
        def handle(recalled: messages.Recalled | None) -> None:  # noqa: WPS430
            is_refused = not isinstance(recalled, messages.Recalled)
            if not (is_refused or self.apply_recalled(recalled)):
                link.send_request(messages.Recall(), self._on_recalled(link))

        return handle

    def _handler(self, kind: str) -> followers.OnSnapshot:
        def handle(seen: followers.Snapshot) -> None:  # noqa: WPS430
            snapshot = decoding.encode_snapshot(
                seen.stored_objects, seen.revision
            )
            if self._snapshots.put(kind, snapshot):
                self._handlers[kind](seen.stored_objects, seen.was_unreachable)

        return handle

    def _apply_configs(
        self, found: list[decoding.StoredObject], _was_unreachable: bool
    ) -> None:
        for stored in found:
            if stored.name == names.CONFIG_NAME:
                self._apply_config(stored)

    def _apply_config(self, stored: decoding.StoredObject) -> None:
        known = self._targets.relay.routes
        try:
            table = decoding.decode_table(stored.spec)
        except _REJECTED as error:
            logger.warning('configuration rejected', reason=repr(error))
            return
        if known is None or table.version > known.version:
            logger.info(
                'configuration in force',
                version=table.version,
                before=known.version if known else None,
                routes=len(table.routes),
            )
            self._targets.relay.routes = table

    def _apply_workers(
        self, found: list[decoding.StoredObject], was_unreachable: bool
    ) -> None:
        decoded = [entries.decode_worker(stored) for stored in found]
        self._targets.table.apply(
            [entry for entry in decoded if entry], was_unreachable
        )
        self._targets.relay.admission.process_waiting()

    def _apply_group(self, seen: followers.Snapshot) -> None:
        for stored in seen.stored_objects:
            if stored.name == registers.GROUP_NAME:
                self._apply_stored_group(stored)

    def _apply_stored_group(self, stored: decoding.StoredObject) -> None:
        try:
            group = registers.decode_group(stored)
        except exceptions.SettingsError as error:
            logger.warning('storage group rejected', reason=error.message)
            return
        self._targets.storage.apply(group)
