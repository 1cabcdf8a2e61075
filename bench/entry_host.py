"""Processor time of an entry host on the platform, a request and an event.

``python -m bench.entry_host`` starts a fleet of the soak without faults and
reads the processor time of one entry host before and after each round.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402

import gevent  # noqa: E402

from tests import backends, plain_calls  # noqa: E402
from tests.soak import fleets  # noqa: E402

REQUESTS = 200
EVENTS = 24
"""Of a long stream; a short one has those of the stand-in."""
_FRONT = 'front-0'
_USER_FIELD = 13
_SYSTEM_FIELD = 15


def main() -> None:
    """Measure calls, short streams and long streams, and print a table."""
    with tempfile.TemporaryDirectory() as folder:
        with fleets.Fleet(pathlib.Path(folder)) as fleet:
            while not fleet.is_settled():
                gevent.sleep(0.1)
            measure(fleet)


def measure(fleet: fleets.Fleet) -> None:
    """Print the processor time of each kind of request."""
    short_events = backends.EVENTS
    call_ms = round_ms(fleet, '/look/1', {})
    streaming = {'Accept': 'text/event-stream'}
    short_ms = round_ms(fleet, '/ask/1', streaming)
    backends.EVENTS = EVENTS
    long_ms = round_ms(fleet, '/ask/1', streaming)
    event_ms = (long_ms - short_ms) / (EVENTS - short_events)
    sys.stdout.write(
        f'a call {call_ms:.2f} ms, a stream of {short_events} events'
        f' {short_ms:.2f} ms, an event {event_ms:.3f} ms\n'
    )


def round_ms(fleet: fleets.Fleet, path: str, headers: dict) -> float:
    """Return the processor time of a request, in ms."""
    before_ms = processor_ms(fleet)
    for _ in range(REQUESTS):
        answer = plain_calls.ask(
            fleet.address(_FRONT), path, method='POST', headers=headers
        )
        if answer.status != 200:
            raise RuntimeError(f'{path} was answered {answer.status}')
    return (processor_ms(fleet) - before_ms) / REQUESTS


def processor_ms(fleet: fleets.Fleet) -> float:
    """Return the processor time that the entry host has used."""
    process = fleet.fronts[_FRONT].process
    number = process.handle.pid
    fields = pathlib.Path(f'/proc/{number}/stat').read_text().split()
    ticks = sum(map(int, fields[_USER_FIELD:_SYSTEM_FIELD]))
    return ticks * 1000 / os.sysconf('SC_CLK_TCK')


if __name__ == '__main__':
    main()
