"""Measure what an entry host costs beside a bare relay, in one run.

``python -m bench.relay [ROUNDS]`` sends the same model calls through an entry
host and through a relay that decides nothing, in turns, and prints processor
time a request and an event, and the time between events beside slow readers.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import tempfile  # noqa: E402

from bench import relay_subjects  # noqa: E402
from carobfork_standins import labs, layouts  # noqa: E402

ROUNDS = 3


def main() -> None:
    """Run the rounds and print each."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else ROUNDS
    layout = layouts.Layout(
        entries=1, engines=1, services=1, pace=relay_subjects.PACE
    )
    with tempfile.TemporaryDirectory() as directory:
        with labs.Lab(directory, layout) as lab:
            bench = relay_subjects.Bench(lab)
            for number in range(1, rounds + 1):
                _print_round(bench, number)


def _print_round(bench: relay_subjects.Bench, number: int) -> None:
    bare = bench.cost(bench.bare)
    entry = bench.cost(bench.entry)
    sys.stdout.write(
        f'round {number}: request {entry.request_us:.0f} us, '
        f'bare {bare.request_us:.0f}, '
        f'ratio {entry.request_us / bare.request_us:.2f}; '
        f'event {entry.event_us:.1f} us, bare {bare.event_us:.1f}, '
        f'ratio {entry.event_us / bare.event_us:.2f}\n'
    )
    alone_ms = bench.gap_ms(0)
    beside_ms = bench.gap_ms(relay_subjects.SLOW_READERS)
    sys.stdout.write(
        f'round {number}: {alone_ms:.2f} ms between events, '
        f'{beside_ms:.2f} beside {relay_subjects.SLOW_READERS} slow readers, '
        f'ratio {beside_ms / alone_ms:.3f}\n'
    )
    sys.stdout.flush()


if __name__ == '__main__':
    main()
