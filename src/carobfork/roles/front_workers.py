"""Build an entry host's table of backend servers."""

from collections.abc import Callable

from carobfork import clock
from carobfork.gateway import (
    leaving_servers,
    limiters,
    pacers,
    worker_tables,
)


def build_table(
    timer: clock.Clock,
    permit_source: limiters.PermitSource,
    count_hosts: Callable[[], int],
    drain_ms: float,
    *,
    paces_servers: bool,
) -> worker_tables.WorkerTable:
    """Return a table with all that bounds the calls of a server.

    :param timer: the clock of the host.
    :param permit_source: requests permits for limited servers.
    :param count_hosts: returns the number of entry hosts, 0 if it is unknown.
    :param drain_ms: how long a leaving server may get calls.
    :param paces_servers: whether servers get few calls after a start.
    """
    return worker_tables.WorkerTable(
        timer,
        limiters.Limiter(timer, permit_source, count_hosts),
        pacers.Pacer(timer, count_hosts, is_enabled=paces_servers),
        leaving_servers.LeavingServers(timer, drain_ms, count_hosts),
    )
