"""Heartbeats: what an idle entry host sends to its peers."""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402

import gevent  # noqa: E402

from carobfork_standins import labs, layouts  # noqa: E402

SIZES = (2, 4, 6)
SPAN_SECONDS = 20
RUNS = 3
MAX_DECIMALS = 1


def measure(entries: int) -> dict:
    """Return bytes and messages a second of each host of an idle lab."""
    with tempfile.TemporaryDirectory() as directory:
        layout = layouts.Layout(entries=entries, engines=1)
        with labs.Lab(directory, layout) as lab:
            before = _traffic(lab)
            gevent.sleep(SPAN_SECONDS)
            after = _traffic(lab)
    return {
        'entries': entries,
        'bytes_per_second': _rates(before, after, 'bytes_sent'),
        'messages_per_second': _rates(before, after, 'messages_sent'),
    }


def main() -> None:
    """Print one JSON line a size and run."""
    for _ in range(RUNS):
        for size in SIZES:
            sys.stdout.write(f'{json.dumps(measure(size))}\n')


def _traffic(lab: labs.Lab) -> list[dict]:
    return [lab.state(entry)['peers'] for entry in lab.layout.entry_names]


def _rates(before: list[dict], after: list[dict], field: str) -> dict:
    rates = [
        (late[field] - early[field]) / SPAN_SECONDS
        for early, late in zip(before, after, strict=True)
    ]
    return {
        'mean': round(statistics.mean(rates), MAX_DECIMALS),
        'max': round(max(rates), MAX_DECIMALS),
    }


if __name__ == '__main__':
    main()
