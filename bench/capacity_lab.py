"""Loads of the capacity bench, and what they cost an entry host."""

import contextlib
import tempfile
from collections.abc import Callable, Iterator

import attrs
import gevent
from gevent import pool

from carobfork import clock, sessions
from carobfork.state import bundles
from carobfork_standins import batching, labs, layouts

ENTRY = 'entry-1'
FAST = batching.Pace(
    step_ms=1, step_per_sequence_ms=0.01, prefill_tokens_per_ms=1000
)
CALLERS = 20
IDLE_MS = 10_000
_KILOBYTE = 1024


@contextlib.contextmanager
def running_lab(**sizes) -> Iterator[labs.Lab]:
    """Run a lab of the given sizes with fast engines."""
    layout = layouts.Layout(pace=FAST, **sizes)
    with tempfile.TemporaryDirectory() as directory:
        with labs.Lab(directory, layout) as lab:
            yield lab


def roll(lab: labs.Lab, bundle: bundles.Bundle) -> None:
    """Roll a bundle and wait until it is in force."""
    lab.roll(bundle)
    lab.wait_for_bundle(bundle.version)


def bundle_with(lab: labs.Lab, workers: int) -> bundles.Bundle:
    """Return the lab's bundle with so many workers."""
    bundle = lab.layout.bundle(version=2)
    model = bundle.models[0]
    more = tuple(
        attrs.evolve(model.workers[0], name=f'worker-{number}')
        for number in range(workers)
    )
    return attrs.evolve(bundle, models=(attrs.evolve(model, workers=more),))


def open_programs(lab: labs.Lab, count: int) -> None:
    """Open programs, each with one short turn."""
    run_all(lab, count, turns=1, tokens=4, keep_open=True)


def run_all(
    lab: labs.Lab,
    programs: int,
    turns: int = 1,
    tokens: int = 10,
    keep_open: bool = True,
) -> None:
    """Run programs beside each other, each with some turns."""
    session = lab.session(ENTRY, attempts=8)
    callers = pool.Pool(CALLERS)
    for _ in range(programs):
        callers.spawn(run_program, session, turns, tokens, keep_open)
    callers.join(raise_error=True)


def run_program(
    session: sessions.Session, turns: int, tokens: int, keep_open: bool
) -> None:
    """Run one program."""
    program = session.open('draft')
    text = 'x' * 2 * _KILOBYTE
    for _ in range(turns):
        program.ask(layouts.MODEL, text, max_tokens=tokens)
    if not keep_open:
        program.close()


def call_services(lab: labs.Lab, calls: int) -> None:
    """Make service calls from programs beside each other."""
    session = lab.session(ENTRY, attempts=8)
    callers = pool.Pool(CALLERS)
    per_program = 50
    for _ in range(calls // per_program):
        callers.spawn(call_many, session, per_program)
    callers.join(raise_error=True)


def call_many(session: sessions.Session, count: int) -> None:
    """Make service calls from one program."""
    program = session.open('draft')
    for _ in range(count):
        program.call(layouts.SERVICE, '/cut', b'{}')


def idle(lab: labs.Lab) -> None:
    """Let the lab idle."""
    gevent.sleep(clock.to_seconds(IDLE_MS))


def cpu_of(lab: labs.Lab, action: Callable, *arguments) -> float:
    """Return the processor seconds that the entry host spends."""
    before = lab.cpu_seconds(ENTRY)
    action(*arguments)
    return lab.cpu_seconds(ENTRY) - before


def writes(lab: labs.Lab) -> int:
    """Return the writes that the platform has seen."""
    return lab.ask('platform', '/counts').get('writes', 0)


def traffic(lab: labs.Lab, entry: str) -> tuple[int, int]:
    """Return bytes and messages sent to peers."""
    peers = lab.state(entry)['peers']
    return peers['bytes_sent'], peers['messages_sent']
