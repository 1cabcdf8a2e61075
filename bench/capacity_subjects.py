"""Subjects of the capacity bench: one function a slope."""

from collections.abc import Callable, Iterator

import attrs
import gevent

from bench import capacity_lab
from carobfork import clock

_US_PER_SECOND = 1e6
_CALLS = 600


@attrs.frozen
class Point:
    """One measured point.

    :param subject: what was varied.
    :param size: how much of it there was.
    :param readings: figures by name, with their unit in the name.
    """

    subject: str
    size: int
    readings: dict[str, float]


Subject = Callable[[], Iterator[Point]]
SUBJECTS: dict[str, Subject] = {}  # noqa: WPS407


def subject(name: str) -> Callable[[Subject], Subject]:
    """Register a subject under a name."""

    def decorator(measure: Subject) -> Subject:  # noqa: WPS430
        SUBJECTS[name] = measure
        return measure

    return decorator


@subject('programs')
def memory_per_program() -> Iterator[Point]:
    """Memory of an entry host against open programs with one turn each."""
    with capacity_lab.running_lab(entries=1, engines=1, services=1) as lab:
        before_bytes = lab.memory_bytes(capacity_lab.ENTRY)
        opened = 0
        for total in (500, 1000, 2000, 4000):
            capacity_lab.open_programs(lab, total - opened)
            opened = total
            grown = lab.memory_bytes(capacity_lab.ENTRY) - before_bytes
            yield Point(
                'open programs',
                total,
                {
                    'memory_bytes': lab.memory_bytes(capacity_lab.ENTRY),
                    'bytes_per_program': grown / total,
                    'platform_writes': capacity_lab.writes(lab),
                },
            )


@subject('history')
def memory_per_turn() -> Iterator[Point]:
    """Memory of an entry host against the turns of its programs."""
    for turns in (1, 4, 16):
        with capacity_lab.running_lab(entries=1, engines=1, services=1) as lab:
            before_bytes = lab.memory_bytes(capacity_lab.ENTRY)
            capacity_lab.run_all(lab, 200, turns=turns, tokens=100)
            grown = lab.memory_bytes(capacity_lab.ENTRY) - before_bytes
            yield Point(
                'turns a program, 200 programs, 2 KB a message',
                turns,
                {'bytes_per_program': grown / 200},
            )


@subject('tokens')
def processor_per_token() -> Iterator[Point]:
    """Processor time of an entry host against tokens a call."""
    for tokens in (10, 100, 400):
        with capacity_lab.running_lab(entries=1, engines=2, services=1) as lab:
            spent = capacity_lab.cpu_of(
                lab, capacity_lab.run_all, lab, _CALLS, 1, tokens
            )
            yield Point(
                'tokens a call',
                tokens,
                {
                    'cpu_us_per_call': spent * _US_PER_SECOND / _CALLS,
                    'cpu_us_per_token': spent
                    * _US_PER_SECOND
                    / _CALLS
                    / tokens,
                    'writes_per_call': capacity_lab.writes(lab) / _CALLS,
                },
            )


@subject('requests')
def processor_per_request() -> Iterator[Point]:
    """Processor time and platform writes against service calls."""
    for calls in (200, 800, 2400):
        with capacity_lab.running_lab(entries=1, engines=1, services=2) as lab:
            before = capacity_lab.writes(lab)
            spent = capacity_lab.cpu_of(
                lab, capacity_lab.call_services, lab, calls
            )
            yield Point(
                'service calls that may not be repeated',
                calls,
                {
                    'cpu_us_per_call': spent * _US_PER_SECOND / calls,
                    'writes_per_call': (capacity_lab.writes(lab) - before)
                    / calls,
                },
            )


@subject('hosts')
def control_per_host() -> Iterator[Point]:
    """Control traffic and processor time of idle hosts."""
    for entries in (3, 6, 12, 24):
        with capacity_lab.running_lab(
            entries=entries, engines=1, services=1
        ) as lab:
            gevent.sleep(clock.to_seconds(capacity_lab.IDLE_MS) / 2)
            before = capacity_lab.traffic(lab, capacity_lab.ENTRY)
            before_reads = lab.ask('platform', '/counts')
            spent = capacity_lab.cpu_of(lab, capacity_lab.idle, lab)
            after = capacity_lab.traffic(lab, capacity_lab.ENTRY)
            seconds = clock.to_seconds(capacity_lab.IDLE_MS)
            reads = lab.ask('platform', '/counts')
            calls = sum(reads.values()) - sum(before_reads.values())
            yield Point(
                'entry hosts, idle',
                entries,
                {
                    'bytes_per_second': (after[0] - before[0]) / seconds,
                    'messages_per_second': (after[1] - before[1]) / seconds,
                    'cpu_core_share': spent / seconds,
                    'platform_calls_per_second': calls / seconds,
                    'memory_bytes': lab.memory_bytes(capacity_lab.ENTRY),
                },
            )


@subject('workers')
def memory_per_worker() -> Iterator[Point]:
    """Memory and time of a bundle against the workers that it lists."""
    for workers in (100, 1000, 4000):
        with capacity_lab.running_lab(entries=1, engines=1, services=1) as lab:
            before_bytes = lab.memory_bytes(capacity_lab.ENTRY)
            bundle = capacity_lab.bundle_with(lab, workers)
            spent = capacity_lab.cpu_of(lab, capacity_lab.roll, lab, bundle)
            grown = lab.memory_bytes(capacity_lab.ENTRY) - before_bytes
            yield Point(
                'workers in the bundle',
                workers,
                {
                    'bytes_per_worker': grown / workers,
                    'cpu_ms_per_change': spent * 1000,
                    'platform_writes': capacity_lab.writes(lab),
                },
            )
