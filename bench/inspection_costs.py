"""Inspection costs: time and size of dump and metrics against programs held.

Run at the root of a clone: ``python -m bench.inspection_costs``.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import attrs  # noqa: E402
from gevent import pool  # noqa: E402

from carobfork import clock  # noqa: E402
from carobfork.transport import connections  # noqa: E402
from carobfork_standins import labs, layouts  # noqa: E402

SIZES = (100, 1000, 3000)
RUNS = 9
OPENERS = 40
ENTRY = 'entry-1'


@attrs.frozen
class Point:
    """One path of the operators' endpoint at one number of programs."""

    programs: int
    path: str
    size_bytes: int
    median_ms: float
    slowest_ms: float


def main() -> None:
    """Measure at growing numbers of programs and print a line a point."""
    layout = layouts.Layout(entries=1, engines=1)
    with tempfile.TemporaryDirectory() as folder:
        with labs.Lab(folder, layout) as lab:
            held = 0
            for size in SIZES:
                open_programs(lab, size - held)
                held = size
                for path in ('/state', '/metrics'):
                    point = measure(lab, size, path)
                    sys.stdout.write(f'{json.dumps(attrs.asdict(point))}\n')


def open_programs(lab: labs.Lab, count: int) -> None:
    """Open programs, several at a time so that their records share commits."""
    session = lab.session(ENTRY)
    openers = pool.Pool(OPENERS)
    openers.map(lambda _: session.open('quote'), range(count))


def measure(lab: labs.Lab, programs: int, path: str) -> Point:
    """Ask for a path several times."""
    address = lab.layout.operator_address(ENTRY)
    request = connections.HttpRequest('GET', path)
    spans_ms = []
    for _ in range(RUNS):
        started = time.perf_counter()
        with connections.Exchange(address, request) as exchange:
            size_bytes = len(exchange.read())
        spans_ms.append((time.perf_counter() - started) * clock.MS_PER_SECOND)
    return Point(
        programs=programs,
        path=path,
        size_bytes=size_bytes,
        median_ms=round(statistics.median(spans_ms), 2),
        slowest_ms=round(max(spans_ms), 2),
    )


if __name__ == '__main__':
    main()
