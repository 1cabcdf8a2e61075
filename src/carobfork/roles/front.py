"""Run an entry host, which serves callers."""

import functools
from typing import Any

import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.gateway import (
    admissions,
    busy_meters,
    directories,
    host_draws,
    process_checks,
    relays,
    request_guards,
    servers,
    successor_probes,
    turns,
)
from carobfork.memory import accounts
from carobfork.platform import endpoints, heads, names, settings
from carobfork.roles import (
    front_explanations,
    front_metrics,
    front_workers,
    hosts,
    updates,
)
from carobfork.storage import (
    clients,
    crash_reporters,
    credit_clients,
    groups,
    links,
    messages,
    permit_clients,
    single_requests,
)
from carobfork.tenancy import key_ages, quotas

POOL_TRIM_INTERVAL_MS = 500
CRASH_CHECK_INTERVAL_MS = 200
NEWS_CHECK_INTERVAL_MS = 250
"""How often to check that store hosts still report on the platform: once per
heartbeat."""
RECALL_INTERVAL_MS = 50
"""Between requests to a seed; short, since callers wait while a host starts."""
LEAVE_RATIO = 0.38
"""Fraction of the grace time in which new requests are still served."""
MAX_LEAVE_MS = 3000
"""Longest time in which new requests are still served."""
FINISH_RATIO = 0.9
"""Fraction of the grace time after which running requests are aborted."""
REFUSE_RATIO = 0.1
"""Fraction of the grace time in which at least requests on kept connections are
still answered, by a refusal."""
ANSWER_RATIO = 0.05
"""Fraction of the grace time to tell the callers of aborted requests."""
DIRECTORY_TTL_MS = 1000
"""Short, since callers leave a lost host within it, and asking again is
cheap."""

logger = structlog.get_logger(part='host')


@hosts.register('front')
class FrontRole(hosts.Host):
    """Entry host: schedules callers' requests on backend servers.

    :param host_settings: settings of this process.
    """

    def __init__(self, host_settings: settings.HostSettings) -> None:
        """Connect the parts without starting them."""
        super().__init__(host_settings)
        sizes = accounts.divide_memory(host_settings.memory_mb)
        ip, port = host_settings.front
        self.directory = directories.Directory(
            host_settings.node,
            host_settings.zone,
            f'{ip}:{port}',
            self.timer,
            host_draws.compute_size(
                host_settings.cores, host_settings.link_mbps
            ),
        )
        self.busy = busy_meters.BusyMeter(self.timer)
        self.links = links.Links(
            self.timer,
            links.Heartbeats(
                self._build_report,
                self._apply_answer,
                self._heartbeat_interval_ms,
            ),
        )
        self.storage = clients.Client(
            self.links,
            host_settings.losses,
            host_settings.node,
            host_settings.zone,
            self.timer,
        )
        self.crash_reporter = crash_reporters.CrashReporter(
            self.links, self.timer
        )
        self.permits = permit_clients.PermitClient(self.storage, self.links)
        self.credits = credit_clients.CreditClient(
            self.storage, self.links, host_settings.node, host_settings.zone
        )
        self.quota = quotas.Quota(
            self.credits, host_settings.quota.lease_ms, clock.BootClock()
        )
        self.table = front_workers.build_table(
            self.timer,
            self.permits.request,
            self.directory.count_hosts,
            host_settings.drain_ms,
            paces_servers=host_settings.paces_servers,
        )
        self.processes = process_checks.ProcessChecker(
            heads, self._health_path, self.table.leaving.record
        )
        turn_manager = turns.TurnManager(self.storage, self.timer)
        self.histories = turn_manager.histories
        self.relay = relays.Relay(
            heads,
            self.table,
            turn_manager,
            self.timer,
            guard=request_guards.RequestGuard(
                self.timer, self.crash_reporter.report
            ),
            check_process=self.processes.check,
        )
        self.relay.key_age = key_ages.KeyAge(
            self.timer, host_settings.strict_revoke_ms
        )
        self.relay.quota = self.quota
        if sizes.is_bounded:
            self.relay.exchanger.pool.bound_memory(sizes.answer_bytes)
            self.histories.bound_memory(sizes.history_bytes)
        self.successors = successor_probes.SuccessorProber(
            self.table, self.relay.exchanger.pool, self.processes
        )
        self.relay.crashes.checker = self.processes
        self.server = servers.Server(
            host_settings.front,
            self.relay,
            self.timer,
            self.is_ready,
            sizes,
            host_settings.max_descriptors,
        )
        self.updates = updates.Updates(
            updates.UpdateTargets(
                self.relay, self.table, self.storage, self.relay.key_age
            ),
            self.timer,
        )
        self._endpoints = [
            endpoints.EndpointServer(
                host_settings.ready, endpoints.ready_endpoint(self.is_ready)
            ),
            endpoints.EndpointServer(
                host_settings.directory,
                endpoints.directory_endpoint(
                    lambda zone, caller: self.directory.addresses(
                        zone, self.is_ready(), caller
                    ),
                    min(DIRECTORY_TTL_MS, host_settings.directory_ttl_ms),
                ),
            ),
        ]

    def __enter__(self) -> 'FrontRole':
        """Start listening and following store hosts or the platform."""
        for kind, take in self.updates.sources().items():
            self.follow(
                kind,
                take,
                needed=self.updates.needed,
                **self._age_options(kind),
            )
        for seed in self.settings.seeds:
            self.spawn(functools.partial(self._recall_until_known, seed))
        self.repeat(self.updates.check, NEWS_CHECK_INTERVAL_MS)
        self.spawn(self.relay.admission.run)
        self.repeat(self._trim_pool, POOL_TRIM_INTERVAL_MS)
        self.repeat(self.relay.crashes.probe_due, CRASH_CHECK_INTERVAL_MS)
        for endpoint in self._endpoints:
            endpoint.start()
        self.server.start()
        self.serve_metrics()
        return self

    def __exit__(self, *failure) -> None:
        """Close listeners and connections and kill all greenlets."""
        self.server.stop_accepting()
        for endpoint in self._endpoints:
            endpoint.stop()
        self.links.close()
        self.successors.close()
        self.relay.crashes.close()
        self.relay.exchanger.pool.close()
        super().__exit__(*failure)

    def is_ready(self) -> bool:
        """Tell whether callers should connect to this host."""
        return (
            self.relay.routes is not None
            and self.table.is_loaded
            and not self.server.is_leaving
            and self.storage.has_quorum
        )

    def stop(self) -> None:
        """Send callers elsewhere and wait for running requests.

        New requests that can be over in time are served at first, while
        callers learn that this host is not ready. Later ones are refused as
        not run. The callers of those that outlast the grace time are told so.
        """
        grace_ms = self.settings.grace_ms
        leave_ms = min(grace_ms * LEAVE_RATIO, MAX_LEAVE_MS)
        until_ms = self.timer.now_ms() + grace_ms * FINISH_RATIO
        self.server.is_leaving = True
        self.relay.admission.stop_guard.begin(grace_ms * FINISH_RATIO)
        gevent.sleep(clock.to_seconds(leave_ms))
        self.relay.admission.stop_guard.close()
        self.server.stop_accepting()
        gevent.sleep(clock.to_seconds(min(grace_ms * REFUSE_RATIO, leave_ms)))
        self._wait_for_requests(until_ms)
        self.server.interrupt()
        self._wait_for_requests(until_ms + grace_ms * ANSWER_RATIO)

    def operator_endpoints(self) -> dict[str, endpoints.Endpoint]:
        """Return the endpoints for operators, by path."""
        return {
            **super().operator_endpoints(),
            **endpoints.explain_endpoint(
                functools.partial(front_explanations.explain, self)
            ),
        }

    def render_metrics(self) -> bytes:
        """Return the entry host's metrics in the Prometheus text format."""
        return front_metrics.render(self)

    def _wait_for_requests(self, until_ms: float) -> None:
        """Wait until no request is running, or a time has come."""
        while self.server.counts.in_progress and self.timer.now_ms() < until_ms:
            gevent.sleep(clock.to_seconds(admissions.PROCESS_INTERVAL_MS))

    def _age_options(self, kind: str) -> dict[str, Any]:
        """Return what a follower of the configuration does for keys."""
        if kind != names.KIND_CONFIG:
            return {}
        age = self.relay.key_age
        return {'on_current': age.confirm, 'watch_ms': age.watch_ms}

    def _build_report(
        self, member: groups.Member
    ) -> messages.Presence | messages.Beat:
        """Build a heartbeat, with a full status report to the nearest host."""
        epoch = self.storage.group.epoch
        if member.disk != self.storage.nearest_disk():
            return messages.Beat(epoch)
        ip, port = self.settings.front
        counts = self.server.counts
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
            self.relay.admission.waiting_ranks(),
            self.relay.guard.blocked_version,
            self.directory.size,
            self.busy.update(counts.answered + counts.refused + counts.broken),
        )

    def _heartbeat_interval_ms(self, member: groups.Member) -> float:
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

    def _apply_answer(
        self, member: groups.Member, answer: messages.Hosts | messages.News
    ) -> None:
        news = answer
        if isinstance(answer, messages.Hosts):
            self.directory.update(answer)
            is_near = self.directory.has_enough_local_hosts
            self.table.prefer_failure_domain(
                self.settings.zone if is_near else ''
            )
            self.table.update_remote_load(
                answer.in_flight, answer.waiting, answer.waiting_ranks
            )
            self.table.update_suspects(answer.suspects)
            self.relay.guard.apply_blocked(answer)
            news = answer.news
        self.crash_reporter.set_keeper(member.disk, news.keeps_crashes)
        self.permits.set_granter(member.disk, news.grants_permits)
        self.credits.set_granter(member.disk, news.grants_credits)
        self.storage.chains.set_source(member.disk, news.reads_turns)
        self.updates.apply_news(self.links.get(member.disk), news)

    def _health_path(self, service: str) -> str:
        """Return the path of a service's health check, if it has one."""
        known = self.relay.routes.services.get(service)
        return known.health_path if known else ''

    def _trim_pool(self) -> None:
        """Close expired connections and ask for successors of leaving ones."""
        self.relay.exchanger.pool.close_expired()
        self.successors.probe_due()

    def _recall_until_known(self, seed: settings.Address) -> None:
        """Request platform state from a store host until it is complete."""
        while not self.updates.is_complete:
            self._recall(seed)
            gevent.sleep(clock.to_seconds(RECALL_INTERVAL_MS))

    def _recall(self, seed: settings.Address) -> None:
        try:
            recalled = single_requests.request_once(seed, messages.Recall())
        except (OSError, exceptions.BadRequestError) as error:
            logger.info('recall failed', peer=seed, reason=str(error))
            return
        if isinstance(recalled, messages.Recalled):
            self.updates.apply_recalled(recalled)
