"""Traffic metrics: what a host exchanges with others."""

from collections.abc import Iterator

import attrs

from carobfork import clock
from carobfork.inspections import hosts, metrics


@metrics.counter('requests_total')
def count_requests(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Callers' requests by outcome and error code."""
    for ending, count in host.notes.outcomes.counts.items():
        yield metrics.Sample(count, attrs.asdict(ending))


@metrics.counter('journal_commits_total')
def count_commits(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Group commits of the journal that were tried at the platform."""
    yield metrics.Sample(host.home.journal.segments.writes)


@metrics.counter('journal_records_total')
def count_records(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Records that the journal has committed."""
    yield metrics.Sample(host.home.journal.records_committed)


@metrics.counter('platform_calls_total')
def count_platform_calls(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Calls to the platform by operation and ending."""
    for call, count in host.store.counts.items():
        yield metrics.Sample(count, attrs.asdict(call))


@metrics.gauge('platform_silent_seconds')
def measure_platform_silence(
    host: hosts.InspectedHost,
) -> Iterator[metrics.Sample]:
    """Time since the platform last answered."""
    yield metrics.Sample(clock.to_seconds(host.store.silent_ms))


@metrics.counter('peer_sent_messages_total')
def count_peer_messages(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Messages sent to other entry hosts."""
    yield metrics.Sample(host.link.traffic.messages_sent)


@metrics.counter('peer_sent_bytes_total')
def count_peer_bytes(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Bytes of the messages sent to other entry hosts."""
    yield metrics.Sample(host.link.traffic.bytes_sent)


@metrics.counter('relayed_bytes_total')
def count_relayed_bytes(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Bytes of the responses sent to callers."""
    yield metrics.Sample(host.caller_listener.traffic().sent_bytes)


@metrics.gauge('caller_connections')
def measure_connections(host: hosts.InspectedHost) -> Iterator[metrics.Sample]:
    """Open connections of callers."""
    yield metrics.Sample(host.caller_listener.traffic().open_connections)
