"""Measure the journal: ``python -m bench.journal`` prints two tables.

Platform writes per request under several loads, and a takeover's time and
platform calls against the programs that the dead host held.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from gevent import pool  # noqa: E402

from bench import capacity_lab  # noqa: E402
from carobfork import clock, exceptions, sessions  # noqa: E402
from carobfork_standins import labs, layouts  # noqa: E402

CALLERS = (1, 5, 20, 60)
CALLS_PER_CALLER = 40
PROGRAMS = (100, 400, 1600)
LIMIT_SECONDS = 120
_LOAD_ROW = (
    '{callers:7d} callers {calls:6d} calls {rate:8.1f} calls/s '
    '{writes:6d} writes {each:6.3f} writes/call {deletes:5d} of them deletes\n'
)
_TAKEOVER_ROW = (
    '{programs:6d} programs {total_ms:8.0f} ms since the kill '
    '{span_ms:8.0f} ms of it the takeover '
    '{writes:3d} writes {reads:4d} reads {lists:3d} lists\n'
)


def main() -> None:
    """Print both tables."""
    for callers in CALLERS:
        _measure_load(callers)
    for programs in PROGRAMS:
        _measure_takeover(programs)


def _measure_load(callers: int) -> None:
    with capacity_lab.running_lab(entries=3, engines=1, services=2) as lab:
        session = lab.session(capacity_lab.ENTRY)
        programs = [session.open('quote') for _ in range(callers)]
        before = _counts(lab)
        started = time.monotonic()
        group = pool.Pool(callers)
        for program in programs:
            group.spawn(_call_many, program)
        group.join(raise_error=True)
        seconds = time.monotonic() - started
        spent = _spent(before, _counts(lab))
    calls = callers * CALLS_PER_CALLER
    _write(
        _LOAD_ROW,
        callers=callers,
        calls=calls,
        rate=calls / seconds,
        writes=spent['writes'],
        each=spent['writes'] / calls,
        deletes=spent['deletes'],
    )


def _call_many(program: sessions.Program) -> None:
    for number in range(CALLS_PER_CALLER):
        program.call(layouts.SERVICE, '/cut', b'180', key=f'k{number}')


def _measure_takeover(programs: int) -> None:
    with capacity_lab.running_lab(entries=3, engines=2, services=1) as lab:
        capacity_lab.open_programs(lab, programs)
        before = _counts(lab)
        lab.kill(capacity_lab.ENTRY)
        started = time.monotonic()
        span_ms = _await_takeover(lab)
        seconds = time.monotonic() - started
        # The host object is published after the programs are adopted.
        gevent.sleep(1)
        spent = _spent(before, _counts(lab))
    _write(
        _TAKEOVER_ROW,
        programs=programs,
        total_ms=seconds * clock.MS_PER_SECOND,
        span_ms=span_ms,
        writes=spent['writes'],
        reads=spent['reads'],
        lists=spent['lists'],
    )


def _await_takeover(lab: labs.Lab) -> float:
    deadline = time.monotonic() + LIMIT_SECONDS
    while time.monotonic() < deadline:
        for name in lab.layout.entry_names[1:]:
            state = lab.state(name)
            if state['adopted']:
                return state['last_takeover_ms']
        gevent.sleep(0.01)
    raise exceptions.CarobforkError('no host took over', step='bench')


def _counts(lab: labs.Lab) -> dict[str, int]:
    return lab.ask('platform', '/counts')


def _spent(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    names = ('writes', 'reads', 'lists', 'deletes')
    return {name: after.get(name, 0) - before.get(name, 0) for name in names}


def _write(row: str, **fields) -> None:
    sys.stdout.write(row.format(**fields))
    sys.stdout.flush()


if __name__ == '__main__':
    main()
