"""Metrics: counters and gauges, collected when they are asked for.

Sources fill a registry by decorator. Labels are of bounded cardinality:
never a program, a call or a team. The parts count in plain integers, so
that counting costs next to nothing while calls run.
"""

from collections.abc import Callable, Iterable

import aioprometheus
import attrs
from aioprometheus import collectors

from carobfork.inspections import hosts

PREFIX = 'carobfork_'


@attrs.frozen
class Sample:
    """One value of a metric and its labels."""

    number: float
    labels: dict[str, str] = attrs.Factory(dict)


Source = Callable[[hosts.InspectedHost], Iterable[Sample]]


@attrs.frozen
class Metric:
    """A metric and where its samples come from."""

    kind: type[collectors.Collector]
    description: str
    source: Source


METRICS: dict[str, Metric] = {}  # noqa: WPS407


def counter(name: str) -> Callable[[Source], Source]:
    """Register a counter; the source's first line describes it."""
    return _register(name, aioprometheus.Counter)


def gauge(name: str) -> Callable[[Source], Source]:
    """Register a gauge; the source's first line describes it."""
    return _register(name, aioprometheus.Gauge)


def render(host: hosts.InspectedHost) -> bytes:
    """Return all metrics of a host in the text format of Prometheus."""
    registry = aioprometheus.Registry()
    for name, metric in METRICS.items():
        collector = metric.kind(
            PREFIX + name, metric.description, registry=registry
        )
        for sample in metric.source(host):
            collector.set(sample.labels, sample.number)
    rendered, _ = aioprometheus.render(registry, ['text/plain'])
    return rendered


def _register(
    name: str, kind: type[collectors.Collector]
) -> Callable[[Source], Source]:
    def decorator(source: Source) -> Source:  # noqa: WPS430
        description = source.__doc__.splitlines()[0]
        METRICS[name] = Metric(kind, description, source)
        return source

    return decorator
