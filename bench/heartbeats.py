"""Heartbeats: what an idle entry host sends to its peers."""

import argparse
import json
import statistics
import sys
import tempfile

import gevent

from carobfork_standins import labs, layouts

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
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=RUNS)
    for _ in range(parser.parse_args().runs):
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
