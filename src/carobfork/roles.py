"""Roles: the processes that run on the platform, and how they are wired.

Run one with ``python3 -m carobfork.roles front``. Each role imports what it
needs and no more, since memory is priced.
"""

import contextlib
import functools
import os
import pathlib
import signal
import sys
from collections.abc import Callable
from types import TracebackType

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
    objects,
    registers,
    settings,
)
from carobfork.storage import (
    clients,
    disks,
    groups,
    keepers,
    links,
    listeners,
    memberships,
    messages,
)

SETTINGS_POLL_MS = 1000
"""The settings file may change without a signal."""
SERVE_EVERY_MS = 20
"""Between looks at what waits, beside those when a slot comes free."""
TRIM_EVERY_MS = 500
RECALL_EVERY_MS = 300
"""Between questions to the seeds of a host that knows too little to serve."""
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

Role = Callable[[settings.HostSettings], contextlib.AbstractContextManager]
ROLES: dict[str, Role] = {}  # noqa: WPS407


def register(name: str) -> Callable[[Role], Role]:
    """Register a role under its name."""

    def decorator(role: Role) -> Role:  # noqa: WPS430
        ROLES[name] = role
        return role

    return decorator


class Host:
    """What all roles have: greenlets, followers and reloaded settings.

    :param known: the settings.
    """

    def __init__(self, known: settings.HostSettings) -> None:
        """Start nothing yet."""
        self.settings = known
        self.store = objects.ObjectStore(known.platform)
        self.timer = clock.SystemClock()
        self._greenlets: list[gevent.Greenlet] = []
        self._metrics = endpoints.EndpointServer(
            (known.ip, known.inner_ports[0] + 1),
            endpoints.metrics_endpoint(self.render_measures),
        )

    def render_measures(self) -> bytes:
        """Return the host's counts and latencies as text."""
        counters = {
            'platform_calls': self.store.calls,
            'log_lines_lost': host_logs.lost_lines(),
        }
        return measures.render(counters, {}, {})

    def serve_measures(self) -> None:
        """Serve counts and latencies on the second inner port."""
        try:
            self._metrics.start()
        except OSError as error:
            logger.warning('no metrics are served', reason=str(error))

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all greenlets."""
        self._metrics.stop()
        gevent.killall(self._greenlets, block=False)

    def spawn(self, task: Callable[[], None]) -> None:
        """Run a task for as long as the host lives."""
        self._greenlets.append(gevent.spawn(task))

    def repeat(self, task: Callable[[], None], every_ms: float) -> None:
        """Run a task again and again."""

        def run() -> None:  # noqa: WPS430
            while True:
                gevent.sleep(clock.to_seconds(every_ms))
                task()

        self.spawn(run)

    def follow(
        self, kind: str, on_snapshot: followers.OnSnapshot, **options
    ) -> followers.Follower:
        """Follow a kind of the platform's objects."""
        follower = followers.Follower(self.store, kind, on_snapshot, **options)
        self.spawn(follower.run)
        return follower

    def reload(self) -> None:
        """Read the settings again; what can't change is kept."""
        try:
            fresh = settings.load()
        except exceptions.SettingsError as error:
            logger.warning('settings not reloaded', reason=error.message)
            return
        if fresh != self.settings:
            logger.info('settings changed', platform=fresh.platform)
            self.settings = fresh
            self.store.address = fresh.platform

    def stop(self) -> None:
        """Prepare to end."""


@register('front')
class FrontRole(Host):
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
        self._told_ms = float('-inf')
        self._started_ms = self.timer.now_ms()
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
            self.follow(kind, take, is_needed=self._is_untold)
        self.spawn(self._recall)
        self.repeat(self._recall, RECALL_EVERY_MS)
        self.repeat(self.relay.serve_desks, SERVE_EVERY_MS)
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
            gevent.sleep(clock.to_seconds(SERVE_EVERY_MS))

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

    def _recall(self) -> None:
        """Ask store hosts for what the platform does not tell."""
        if self.relay.routes is not None and self.table.is_known:
            return
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

    def _is_untold(self) -> bool:
        """Tell whether no store host tells what the platform has."""
        now_ms = self.timer.now_ms()
        return now_ms - max(self._told_ms, self._started_ms) > UNTOLD_MS

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


@register('store')
class StoreRole(Host):
    """Keep turns and budgets on a disk.

    :param known: the settings.
    """

    def __init__(self, known: settings.HostSettings) -> None:
        """Open the disk and wire the parts."""
        super().__init__(known)
        folder = pathlib.Path(known.data_folder)
        self.disk = disks.Disk(folder, clock.WallClock())
        self.keeper = keepers.Keeper(self.disk)
        address = known.control or (known.ip, known.inner_ports[0])
        self.listener = listeners.Listener(address, self.keeper)
        self.register = registers.GroupRegister(self.store)
        self.retirement = registers.Retirement(self.store, known.node)
        self.links = links.Links(
            self.timer,
            lambda _member: messages.Adopt(self.keeper.group),
            _ignore,
        )
        self.membership = memberships.Membership(
            groups.Member(
                known.node, self.disk.identity.disk, *address, known.zone
            ),
            self.keeper,
            self.register,
            self.links,
            known.losses,
            lambda: self.retirement.is_asked,
        )

    def __enter__(self) -> 'StoreRole':
        """Listen, follow the platform and take part in the group."""
        self.listener.start()
        self.spawn(self.disk.run)
        self.spawn(self.disk.run_expiry)
        self.follow(names.KIND_STORAGE, self.register.take)
        self.follow(names.KIND_RETIREMENTS, self.retirement.take)
        noted = [
            self.follow(kind, functools.partial(self._note, kind))
            for kind in (names.KIND_CONFIG, names.KIND_SERVERS)
        ]
        self.keeper.is_fresh = lambda: all(
            follower.is_fresh for follower in noted
        )
        self.links.apply(self.keeper.group, self.disk.identity.disk)
        self.spawn(self.membership.run)
        self.repeat(self._report_retirement, SETTINGS_POLL_MS / 4)
        self.serve_measures()
        return self

    def render_measures(self) -> bytes:
        """Return the store host's counts as text."""
        gauges = {
            'storage_epoch': self.keeper.group.epoch,
            'storage_complete': self.disk.identity.is_complete,
            **self.disk.ledger.describe(),
        }
        counters = {
            'platform_calls': self.store.calls,
            'synced_batches': self.disk.synced_batches,
            'log_lines_lost': host_logs.lost_lines(),
        }
        return measures.render(counters, gauges, {})

    def __exit__(self, *failure) -> None:
        """Close the listener and the disk and end all greenlets."""
        self.listener.stop()
        self.links.close()
        super().__exit__(*failure)
        self.disk.close()

    def _note(self, kind: str, seen: followers.Snapshot) -> None:
        """Keep what entry hosts need to know of the platform."""
        encoded = decoding.encode_objects(seen.present)
        self.keeper.note(kind, seen.revision, encoded, seen.was_away)

    def _report_retirement(self) -> None:
        try:
            self.retirement.report(self.membership.is_outside)
        except exceptions.PlatformError as error:
            logger.info('retirement not reported', reason=error.message)


def run(name: str) -> None:
    """Run a role until SIGTERM or SIGINT."""
    known = settings.load()
    host_logs.configure()
    logger.info('start', role=name, node=known.node, zone=known.zone)
    host = ROLES[name](known)
    stopped = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    gevent.signal_handler(signal.SIGHUP, host.reload)
    host.repeat(host.reload, SETTINGS_POLL_MS)
    with host:
        logger.info('started', pid=os.getpid())
        stopped.wait()
        logger.info('stopping')
        host.stop()
    logger.info('stopped')
    host_logs.flush()


def main() -> None:
    """Run the role that the command line names."""
    if len(sys.argv) != 2 or sys.argv[1] not in ROLES:
        sys.exit(f'usage: python3 -m carobfork.roles {"|".join(ROLES)}')
    run(sys.argv[1])
    # Threads of the pool and connections that hang must not hold the end.
    os._exit(0)  # noqa: WPS437


def _ignore(_member: groups.Member, _reply: messages.Done) -> None:
    """Take the answer to a beat that says no more than that it came."""


if __name__ == '__main__':
    main()
