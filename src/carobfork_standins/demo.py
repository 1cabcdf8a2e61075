"""Demo: one program of each user through a deployment of processes."""

from gevent import monkey

monkey.patch_all()

import signal  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402

from carobfork import clock, replies  # noqa: E402
from carobfork.state import bundles  # noqa: E402
from carobfork_standins import labs, layouts  # noqa: E402

_ROW = (
    '{kind:8} {entry:8} {call:18} {outcome:8} '
    '{rank:8} {worker:10} {ms:8.1f} ms\n'
)


class Table:
    """Print one line a call."""

    def __init__(self, kind: str, rank: str, entry: str) -> None:
        """Remember what all lines of a program share."""
        self._kind = kind
        self._rank = rank
        self._entry = entry

    def add(self, call: str, run: Callable[[], replies.Reply]) -> None:
        """Run a call and print its line."""
        started = time.monotonic()
        reply = run()
        span_ms = (time.monotonic() - started) * clock.MS_PER_SECOND
        sys.stdout.write(
            _ROW.format(
                kind=self._kind,
                entry=self._entry,
                call=call,
                outcome=reply.outcome,
                rank=self._rank,
                worker=reply.worker,
                ms=span_ms,
            )
        )


def run_program(lab: labs.Lab, kind: str, entry: str, final_call: str) -> None:
    """Run a program of four dependent calls through one entry host."""
    kinds = lab.layout.bundle().programs
    rank = bundles.find(kinds, kind, 'program').rank
    table = Table(kind, rank, entry)
    with lab.session(entry).open(kind) as program:
        table.add('model', lambda: program.ask(layouts.MODEL, 'Which rail?'))
        table.add(
            'GET /stock',
            lambda: program.call(layouts.SERVICE, '/stock', method='GET'),
        )
        table.add('model', lambda: program.ask(layouts.MODEL, 'And the hem?'))
        table.add(
            f'POST {final_call}',
            lambda: program.call(layouts.SERVICE, final_call, b'{"size": 3}'),
        )


def main() -> None:
    """Run the demo and stop all processes."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory() as directory:
        with labs.Lab(directory, layouts.Layout()) as lab:
            run_program(lab, 'quote', 'entry-1', '/deposit')
            run_program(lab, 'answer', 'entry-2', '/notice')
    sys.stdout.write('All processes stopped.\n')


if __name__ == '__main__':
    main()
