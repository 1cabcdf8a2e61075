"""Host metrics: programs, queues and slots of a host, and what it knows."""

from collections.abc import Iterator

from carobfork.inspections import hosts, metrics
from carobfork.state import bundles


@metrics.gauge('programs')
def measure_programs(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Open programs homed at this host, by rank."""
    counts = {rank.name: 0 for rank in _ranks(host)}
    for program in host.table.programs.values():
        if not program.closed_reason:
            counts[program.rank] = counts.get(program.rank, 0) + 1
    for rank, count in counts.items():
        yield metrics.Sample(count, {'rank': rank})


@metrics.gauge('queue_calls')
def measure_queues(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Model calls that wait for a slot granted here, by pool and rank."""
    for pool in host.pool_host.describe():
        for rank, count in pool.waiting.items():
            yield metrics.Sample(count, {'pool': pool.pool, 'rank': rank})


@metrics.gauge('slots')
def measure_slots(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Slots of the workers that this host grants, by worker and state."""
    for pool in host.pool_host.describe():
        for slots in pool.workers:
            worker = slots.worker
            yield metrics.Sample(
                slots.busy, {'worker': worker, 'state': 'busy'}
            )
            yield metrics.Sample(
                slots.limit, {'worker': worker, 'state': 'limit'}
            )


@metrics.gauge('live_hosts')
def measure_hosts(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Entry hosts believed to be alive, this one included."""
    yield metrics.Sample(len(host.members.live()))


@metrics.gauge('bundle_version')
def measure_bundle(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Version of the bundle in force, 0 for none."""
    yield metrics.Sample(host.holder.version)


def _ranks(host: hosts.InspectedHost) -> tuple[bundles.Rank, ...]:
    return host.holder.current.ranks if host.holder.version else ()
