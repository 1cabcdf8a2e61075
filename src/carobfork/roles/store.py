"""Run a store host, which keeps turns and budgets."""

import functools
import pathlib

import attrs
import structlog

from carobfork import clock, exceptions, host_logs, supervision
from carobfork.gateway import metrics
from carobfork.memory import accounts
from carobfork.platform import (
    decoding,
    followers,
    names,
    registers,
    settings,
)
from carobfork.roles import hosts
from carobfork.storage import (
    catch_ups,
    credit_tables,
    disks,
    grant_rights,
    groups,
    links,
    listeners,
    memberships,
    messages,
    replicas,
)
from carobfork.tenancy import key_ages

RETIREMENT_POLL_MS = 250
"""Much shorter than the time within which a host must be emptied."""

logger = structlog.get_logger(part='host')


@hosts.register('store')
class StoreRole(hosts.Host):
    """Store host: a replica of turns and budgets on a disk.

    :param host_settings: settings of this process.
    """

    def __init__(self, host_settings: settings.HostSettings) -> None:
        """Open the disk and connect the parts without starting them."""
        super().__init__(host_settings)
        folder = pathlib.Path(host_settings.data_folder)
        self.disk = disks.Disk(folder, clock.WallClock())
        self.boot_timer = clock.BootClock()
        self.grant_right = grant_rights.GrantRight(
            self.disk.identity.disk,
            self.disk.identity.group,
            host_settings.losses,
            self.boot_timer,
            grant_rights.FirstGrant(
                self.disk.identity.has_granted,
                functools.partial(self.spawn, self.disk.save_first_grant),
            ),
        )
        self.credits = credit_tables.CreditTable(
            self.grant_right,
            host_settings.quota,
            host_settings.losses,
            self.boot_timer,
        )
        self.replica = replicas.Replica(self.disk, self.credits)
        sizes = accounts.divide_memory(host_settings.memory_mb)
        address = host_settings.control or (
            host_settings.ip,
            host_settings.inner_ports[0],
        )
        self.listener = listeners.Listener(
            address,
            self.replica,
            sizes.body_bytes,
            sizes.answer_bytes,
        )
        self.register = registers.GroupRegister(self.store)
        self.retirement = registers.Retirement(self.store, host_settings.node)
        self.links = links.Links(
            self.timer,
            links.Heartbeats(
                self._build_report,
                self._apply_news,
                self._heartbeat_interval_ms,
            ),
        )
        self.catch_up = catch_ups.CatchUp(
            self.replica,
            self.links,
            host_settings.losses,
            self.boot_timer,
            clock.WallClock(),
        )
        self.membership = memberships.Membership(
            groups.Member(
                host_settings.node,
                self.disk.identity.disk,
                *address,
                host_settings.zone,
            ),
            self.replica,
            self.register,
            self.links,
            host_settings.losses,
            lambda: self.retirement.is_requested,
        )

    def __enter__(self) -> 'StoreRole':
        """Start listening, following the platform and joining the group."""
        self.listener.start()
        self.spawn(self.disk.run)
        self.spawn(self.replica.blocks.run)
        self.spawn(
            functools.partial(
                self.disk.cleaner.run, self.catch_up.known_until_ms
            )
        )
        self.follow(names.KIND_STORAGE, self.register.update)
        self.follow(names.KIND_RETIREMENTS, self.retirement.update)
        platform_followers = [
            self.follow(
                kind,
                functools.partial(self._update_snapshot, kind),
                watch_ms=self._watch_ms(kind),
            )
            for kind in (names.KIND_CONFIG, names.KIND_SERVERS)
        ]
        self.replica.status_exchange.is_following = lambda: all(
            follower.is_fresh for follower in platform_followers
        )
        self.links.apply(self.replica.group, self.disk.identity.disk)
        self.spawn(self.membership.run)
        self.spawn(self.catch_up.run)
        self.repeat(self._report_retirement, RETIREMENT_POLL_MS)
        self.serve_metrics()
        return self

    def render_metrics(self) -> bytes:
        """Return the store host's metrics in the Prometheus text format."""
        gauges = {
            'storage_epoch': self.replica.group.epoch,
            'storage_complete': self.disk.identity.is_complete,
            'room_bytes': self.listener.room.reserved_bytes,
            'unsent_reply_bytes': self.listener.unsent.total_bytes,
            **self.disk.index.describe(),
        }
        counters = {
            'platform_calls': self.store.calls,
            'credits_granted': self.credits.granted,
            'synced_batches': self.disk.synced_batches,
            'records_caught_up': self.catch_up.copied,
            'log_lines_lost': host_logs.lost_lines(),
            'tasks_failed': supervision.failures(),
        }
        return metrics.render(counters, gauges, {})

    def __exit__(self, *failure) -> None:
        """Close the listener, links and disk and kill all greenlets."""
        self.listener.stop()
        self.links.close()
        super().__exit__(*failure)
        self.disk.close()

    def _watch_ms(self, kind: str) -> float | None:
        if kind != names.KIND_CONFIG:
            return None
        return key_ages.KeyAge(
            self.timer, self.settings.strict_revoke_ms
        ).watch_ms

    def _update_snapshot(self, kind: str, seen: followers.Snapshot) -> None:
        """Keep the platform's objects of a kind for entry hosts."""
        snapshot = decoding.encode_snapshot(seen.stored_objects, seen.revision)
        self.replica.status_exchange.update_snapshot(
            kind, snapshot, seen.was_unreachable
        )

    def _heartbeat_interval_ms(self, _member: groups.Member) -> float:
        is_busy = self.replica.status_exchange.has_waiting_calls()
        return (
            links.BUSY_HEARTBEAT_INTERVAL_MS
            if is_busy
            else links.HEARTBEAT_INTERVAL_MS
        )

    def _build_report(self, _member: groups.Member) -> messages.Report:
        return attrs.evolve(
            self.replica.status_exchange.build_report(),
            sent_ms=self.boot_timer.now_ms(),
        )

    def _apply_news(self, member: groups.Member, news: messages.News) -> None:
        """Request the snapshots of a peer that are newer than this host's."""
        self.grant_right.record_touch(member.disk, news.heard_ms)
        if self.replica.status_exchange.apply_news(news):
            known = self.disk.snapshots.revisions()
            self._recall(member, messages.Recall(known))

    def _recall(self, member: groups.Member, request: messages.Recall) -> None:
        link = self.links.get(member.disk)
        if link is not None:
            link.send_request(
                request, functools.partial(self._merge_recalled, member)
            )

    def _merge_recalled(
        self, member: groups.Member, recalled: messages.Recalled | None
    ) -> None:
        if isinstance(
            recalled, messages.Recalled
        ) and not self.replica.status_exchange.merge_recalled(recalled):
            self._recall(member, messages.Recall())

    def _report_retirement(self) -> None:
        try:
            self.retirement.report(self.membership.is_outside)
        except exceptions.PlatformError as error:
            logger.info('retirement not reported', reason=error.message)
