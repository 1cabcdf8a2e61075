"""Front: the role of entry hosts, which serve callers."""

import functools

import gevent
import structlog

from carobfork import clock, exceptions, host_logs
from carobfork.gateway import (
    admissions,
    directories,
    metrics,
    relays,
    servers,
    turns,
    workers,
)
from carobfork.platform import endpoints, heads, settings
from carobfork.roles import hosts, updates
from carobfork.storage import clients, groups, links, messages

TRIM_EVERY_MS = 500
CHECK_EVERY_MS = 250
"""A beat: between looks at what store hosts tell."""
RECALL_EVERY_MS = 100
"""Between questions to a seed: callers wait for a host that starts."""
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
        self.directory = directories.Directory(
            known.node, known.zone, f'{ip}:{port}', self.timer
        )
        self.table = workers.WorkerTable(self.timer)
        self.links = links.Links(
            self.timer,
            links.Heartbeats(self._compose, self._take_answer, self._pace_ms),
        )
        self.storage = clients.Client(
            self.links, known.losses, known.node, known.zone, self.timer
        )
        self.relay = relays.Relay(
            heads, self.table, turns.TurnManager(self.storage), self.timer
        )
        self.server = servers.Server(
            known.front, self.relay, self.timer, self.is_ready
        )
        self.updates = updates.Updates(
            updates.Learners(self.relay, self.table, self.storage), self.timer
        )
        self._endpoints = [
            endpoints.EndpointServer(
                known.ready, endpoints.ready_endpoint(self.is_ready)
            ),
            endpoints.EndpointServer(
                known.directory,
                endpoints.directory_endpoint(
                    lambda zone: self.directory.addresses(
                        zone, self.is_ready()
                    ),
                    min(DIRECTORY_TTL_MS, known.directory_ttl_ms),
                ),
            ),
        ]

    def __enter__(self) -> 'FrontRole':
        """Listen and learn from store hosts, or from the platform."""
        for kind, take in self.updates.sources().items():
            self.follow(kind, take, needed=self.updates.needed)
        for seed in self.settings.seeds:
            self.spawn(functools.partial(self._recall_until_known, seed))
        self.repeat(self.updates.check, CHECK_EVERY_MS)
        self.spawn(self.relay.admission.run)
        self.repeat(self.relay.exchanger.pool.close_expired, TRIM_EVERY_MS)
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
            and self.table.is_loaded
            and not self.server.is_leaving
            and self.storage.has_quorum
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
            gevent.sleep(clock.to_seconds(admissions.PROCESS_INTERVAL_MS))

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
            'requests_waiting': sum(self.relay.admission.waiting().values()),
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
        return metrics.render(counters, gauges, histograms)

    def _compose(
        self, member: groups.Member
    ) -> messages.Presence | messages.Beat:
        """Return what a store host is told: all goes to the nearest one."""
        epoch = self.storage.group.epoch
        if member.disk != self.storage.nearest_disk():
            return messages.Beat(epoch)
        ip, port = self.settings.front
        return messages.Presence(
            self.settings.node,
            f'{ip}:{port}',
            self.settings.zone,
            not self.is_ready(),
            self.table.in_flight(),
            self.relay.admission.waiting(),
            epoch,
            self.directory.version,
            self.table.suspects(),
        )

    def _pace_ms(self, member: groups.Member) -> float:
        if member.disk != self.storage.nearest_disk():
            return links.IDLE_HEARTBEAT_INTERVAL_MS
        is_busy = (
            self.relay.admission.waiting() or self.table.has_remote_waiting
        )
        return (
            links.BUSY_HEARTBEAT_INTERVAL_MS
            if is_busy
            else links.HEARTBEAT_INTERVAL_MS
        )

    def _take_answer(
        self, member: groups.Member, told: messages.Hosts | messages.News
    ) -> None:
        news = told
        if isinstance(told, messages.Hosts):
            self.directory.update(told)
            is_near = self.directory.has_enough_local_hosts
            self.table.prefer_failure_domain(
                self.settings.zone if is_near else ''
            )
            self.table.update_remote_load(told.in_flight, told.waiting)
            self.table.update_suspects(told.suspects)
            news = told.news
        self.updates.take_news(self.links.get(member.disk), news)

    def _recall_until_known(self, seed: settings.Address) -> None:
        """Ask a store host until this host knows enough to serve."""
        while not self.updates.is_complete:
            self._recall(seed)
            gevent.sleep(clock.to_seconds(RECALL_EVERY_MS))

    def _recall(self, seed: settings.Address) -> None:
        try:
            told = links.request_once(seed, messages.Recall())
        except (OSError, exceptions.BadRequestError) as error:
            logger.info('nothing recalled', peer=seed, reason=str(error))
            return
        self.updates.take_recalled(told)
