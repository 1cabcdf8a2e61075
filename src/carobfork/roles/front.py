"""Front: the role of entry hosts, which serve callers."""

import gevent
import structlog
from gevent import event

from carobfork import clock, exceptions, host_logs
from carobfork.gateway import (
    directories,
    measures,
    relays,
    servers,
    turns,
    workers,
)
from carobfork.platform import (
    decoding,
    endpoints,
    followers,
    heads,
    names,
    registers,
    settings,
)
from carobfork.roles import hosts
from carobfork.storage import clients, groups, links, messages

TRIM_EVERY_MS = 500
CHECK_EVERY_MS = 250
"""A beat: between looks at what store hosts tell."""
UNTOLD_MS = 700
"""Nearly three beats: then an entry host follows the platform itself."""
LEAVE_PART = 0.38
"""Of the grace time in which new requests are still served."""
MOST_LEAVE_MS = 3000
FINISH_PART = 0.9
"""Of the grace time, after which what still runs is cut off."""
DIRECTORY_TTL_MS = 1000
"""Short: callers leave a lost host within it; asking again is cheap."""

logger = structlog.get_logger(part='host')


@hosts.register('front')
class FrontRole(hosts.Host):
    """Serve callers.

    :param known: the settings.
    """

    def __init__(self, known: settings.HostSettings) -> None:
        """Wire the parts."""
        super().__init__(known)
        ip, port = known.front
        self.directory = directories.Directory(known.node, f'{ip}:{port}')
        self.table = workers.WorkerTable(self.timer)
        self.links = links.Links(self.timer, self._presence, self._take_hosts)
        self.storage = clients.Client(
            self.links, known.losses, known.zone, self.timer
        )
        self.relay = relays.Relay(
            heads, self.table, turns.TurnDesk(self.storage), self.timer
        )
        self.server = servers.Server(known.front, self.relay, self.timer)
        self._told: dict[str, int] = {}
        self._told_ms = self.timer.now_ms()
        self._is_untold = event.Event()
        self._revisions: dict[str, int] = {}
        self._takers: dict[str, followers.OnSnapshot] = {
            names.KIND_CONFIG: self._take_config,
            names.KIND_SERVERS: self._take_workers,
            names.KIND_STORAGE: self._take_group,
        }
        self._endpoints = [
            endpoints.EndpointServer(
                known.ready, endpoints.ready_endpoint(self.is_ready)
            ),
            endpoints.EndpointServer(
                known.directory,
                endpoints.directory_endpoint(
                    lambda: self.directory.addresses(self.is_ready()),
                    min(DIRECTORY_TTL_MS, known.directory_ttl_ms),
                ),
            ),
        ]

    def __enter__(self) -> 'FrontRole':
        """Listen and learn from store hosts, or from the platform."""
        for kind, take in self._takers.items():
            self.follow(kind, take, needed=self._is_untold)
        self.spawn(self._recall_until_known)
        self.repeat(self._check, CHECK_EVERY_MS)
        self.spawn(self.relay.run_desks)
        self.repeat(self.relay.exchanger.pool.trim, TRIM_EVERY_MS)
        for endpoint in self._endpoints:
            endpoint.start()
        self.server.start()
        self.serve_measures()
        return self

    def __exit__(self, *failure) -> None:
        """Close the listeners and end all greenlets."""
        self.server.stop_accepting()
        for endpoint in self._endpoints:
            endpoint.stop()
        self.links.close()
        self.relay.exchanger.pool.close()
        super().__exit__(*failure)

    def is_ready(self) -> bool:
        """Tell whether callers should come here."""
        return (
            self.relay.routes is not None
            and self.table.is_known
            and not self.server.is_leaving
            and self.storage.is_reachable
        )

    def stop(self) -> None:
        """Leave: callers go elsewhere, and what runs is finished."""
        grace_ms = self.settings.grace_ms
        leave_ms = min(grace_ms * LEAVE_PART, MOST_LEAVE_MS)
        until_ms = self.timer.now_ms() + grace_ms * FINISH_PART
        self.server.is_leaving = True
        gevent.sleep(clock.to_seconds(leave_ms))
        self.server.stop_accepting()
        while self.server.counts.in_progress and self.timer.now_ms() < until_ms:
            gevent.sleep(clock.to_seconds(relays.SERVE_EVERY_MS))

    def render_measures(self) -> bytes:
        """Return the entry host's counts and latencies as text."""
        counts = self.server.counts
        counters = {
            'requests_answered': counts.answered,
            'requests_refused': counts.refused,
            'responses_broken': counts.broken,
            'server_connections_opened': self.relay.exchanger.pool.opened,
            'platform_calls': self.store.calls,
            'log_lines_lost': host_logs.lost_lines(),
        }
        gauges = {
            'ready': self.is_ready(),
            'requests_in_progress': counts.in_progress,
            'requests_waiting': sum(self.relay.waiting().values()),
            'caller_connections': counts.connections,
            'storage_epoch': self.storage.group.epoch,
            'configuration_version': (
                self.relay.routes.version if self.relay.routes else 0
            ),
        }
        histograms = {
            'request_ms': self.relay.latencies,
            'queue_ms': self.relay.queue_times,
        }
        return measures.render(counters, gauges, histograms)

    def _presence(self, member: groups.Member) -> messages.Presence:
        ip, port = self.settings.front
        self._told = self.table.in_flight()
        return messages.Presence(
            self.settings.node,
            f'{ip}:{port}',
            self.settings.zone,
            not self.is_ready(),
            self._told,
            self.relay.waiting(),
            self.storage.group.epoch,
            member.disk == self.storage.nearest(),
            self.directory.version,
        )

    def _recall_until_known(self) -> None:
        """Ask store hosts until this host knows enough to serve."""
        while self.relay.routes is None or not self.table.is_known:
            self._recall()
            gevent.sleep(clock.to_seconds(CHECK_EVERY_MS))

    def _recall(self) -> None:
        for seed in self.settings.seeds:
            try:
                told = links.ask_once(seed, messages.Recall())
            except (OSError, exceptions.BadRequestError) as error:
                logger.info('nothing recalled', peer=seed, reason=str(error))
                continue
            self._take_recalled(told)

    def _take_recalled(self, told: messages.Recalled | None) -> None:
        if told is None:
            return
        self.storage.apply(told.group)
        was_away = told.since_outage_ms < workers.RETURN_MS
        for kind, (revision, content) in told.notes.items():
            if revision > self._revisions.get(kind, -1):
                logger.info('recalled', kind=kind, revision=revision)
                found = decoding.decode_objects(content)
                self._takers[kind](
                    followers.Snapshot(found, revision, was_away)
                )

    def _check(self) -> None:
        """Follow the platform where no store host tells of it."""
        now_ms = self.timer.now_ms()
        if now_ms - self._told_ms > UNTOLD_MS:
            self._is_untold.set()
        else:
            self._is_untold.clear()

    def _take_hosts(self, member: groups.Member, told: messages.Hosts) -> None:
        if told.version:
            self.directory.take(told)
            self.table.note_shared(told.in_flight, self._told, told.waiting)
        if told.group is not None:
            self.storage.apply(told.group)
        if told.is_fresh:
            self._told_ms = self.timer.now_ms()
        is_news = any(
            revision > self._revisions.get(kind, -1)
            for kind, revision in told.revisions.items()
        )
        link = self.links.get(member.disk)
        if is_news and link is not None:
            link.ask(messages.Recall(), self._take_recalled)

    def _take_config(self, seen: followers.Snapshot) -> None:
        if not self._is_newer(names.KIND_CONFIG, seen):
            return
        for stored in seen.present:
            if stored.name == names.CONFIG_NAME:
                self._take_table(stored)

    def _is_newer(self, kind: str, seen: followers.Snapshot) -> bool:
        if seen.revision < self._revisions.get(kind, -1):
            return False
        self._revisions[kind] = seen.revision
        return True

    def _take_table(self, stored: decoding.StoredObject) -> None:
        known = self.relay.routes
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
            self.relay.routes = table

    def _take_workers(self, seen: followers.Snapshot) -> None:
        if not self._is_newer(names.KIND_SERVERS, seen):
            return
        entries = [decoding.decode_worker(stored) for stored in seen.present]
        self.table.apply([entry for entry in entries if entry], seen.was_away)
        self.relay.serve_desks()

    def _take_group(self, seen: followers.Snapshot) -> None:
        for stored in seen.present:
            if stored.name == registers.GROUP_NAME:
                self.storage.apply(registers.decode_group(stored))
