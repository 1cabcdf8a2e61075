"""Render the metrics of an entry host."""

from typing import TYPE_CHECKING

from carobfork import host_logs, supervision
from carobfork.gateway import metrics, routes

if TYPE_CHECKING:
    from carobfork.roles import front as front_role


def render(front: 'front_role.FrontRole') -> bytes:
    """Return an entry host's metrics in the Prometheus text format."""
    return metrics.render(
        _counters(front),
        _gauges(front),
        {
            'request_ms': front.relay.latencies,
            'queue_ms': front.relay.queue_times,
        },
    )


def _counters(front: 'front_role.FrontRole') -> dict[str, float]:
    counts = front.server.counts
    pool = front.relay.exchanger.pool
    return {
        'requests_answered': counts.answered,
        'requests_refused': counts.refused,
        'requests_unidentified': counts.unidentified,
        'responses_broken': counts.broken,
        'bodies_refused_for_room': front.server.room.refused,
        'requests_refused_for_stop': front.relay.admission.stop_guard.refused,
        'histories_refused_for_room': front.histories.room.refused,
        'connections_closed_for_room': (
            front.server.room.withdrawn + front.server.connections.turned_away
        ),
        'server_connections_opened': pool.opened,
        'server_connections_proved': front.processes.proved,
        'server_crashes_seen': front.relay.crashes.seen,
        'server_crash_probes': front.relay.crashes.probes,
        'streams_resumed': front.relay.streams_resumed,
        'server_reports_read': front.processes.reports,
        'streams_continued': front.relay.streams_continued,
        'requests_sent_to_limited': front.relay.exchanger.sent_to_limited,
        'credits_taken': front.quota.credits_taken,
        'credit_requests': front.quota.keeper.requests,
        'requests_over_quota': front.quota.requests_over_quota,
        'servers_heard_leaving': front.table.leaving.heard,
        'leaving_servers_probed': front.successors.probes,
        'servers_passed_over_for_pace': front.table.pacer.passed_over,
        'platform_calls': front.store.calls,
        'log_lines_lost': host_logs.lost_lines(),
        'tasks_failed': supervision.failures(),
        **front.relay.admission.totals(),
    }


def _gauges(front: 'front_role.FrontRole') -> dict[str, float]:
    relay = front.relay
    now_ms = front.timer.now_ms()
    return {
        'ready': front.is_ready(),
        'requests_in_progress': front.server.counts.in_progress,
        'requests_waiting': sum(relay.admission.waiting().values()),
        'caller_connections': front.server.connections.open,
        'size_cores': front.directory.size,
        'used_cores': front.busy.cores,
        'directory_hosts': front.directory.drawn_hosts,
        'bytes_held': (
            front.server.room.reserved_bytes
            + relay.exchanger.pool.room.reserved_bytes
            + front.histories.room.reserved_bytes
        ),
        'servers_limited': sum(
            worker.limit_per_s is not None for worker in front.table
        ),
        'servers_leaving': sum(
            worker.leaving_since_ms is not None for worker in front.table
        ),
        'servers_paced': sum(
            worker.pace.is_bound(now_ms) for worker in front.table
        ),
        'tenants': _count_tenants(relay.routes),
        'storage_epoch': front.storage.group.epoch,
        'configuration_version': (relay.routes.version if relay.routes else 0),
    }


def _count_tenants(table: routes.RouteTable | None) -> int:
    keys = table.keys if table else None
    return len(keys.tenants) if keys else 0
