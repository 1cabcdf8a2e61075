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
    """Model calls that wait for a slot here, by model and rank."""
    for model, dispatcher in host.broker.dispatchers.items():
        for position, rank in enumerate(_ranks(host)):
            waiting = [
                request
                for request in dispatcher.waiting.values()
                if request.rank == position
            ]
            labels = {'model': model, 'rank': rank.name}
            yield metrics.Sample(len(waiting), labels)


@metrics.gauge('slots')
def measure_slots(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Slots of the workers that this host dispatches, by worker and state."""
    for dispatcher in host.broker.dispatchers.values():
        for load in dispatcher.workers.values():
            yield metrics.Sample(
                load.busy, {'worker': load.name, 'state': 'busy'}
            )
            yield metrics.Sample(
                load.free, {'worker': load.name, 'state': 'free'}
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
