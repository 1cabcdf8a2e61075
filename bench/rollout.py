"""Rollout: the time until a rolled bundle is in force on every entry host."""

import argparse
import json
import statistics
import sys
import tempfile
import time

import gevent

from carobfork import clock
from carobfork.coordination import rollouts
from carobfork.protocol import documents, signatures
from carobfork.transport import platforms
from carobfork_standins import labs, layouts

POLL_SECONDS = 0.002
TIMEOUT_SECONDS = 60
MAX_DECIMALS = 1
ROLLS = 20


def measure_roll(lab: labs.Lab, version: int) -> list[float]:
    """Roll a version and return when each host had it, in ms."""
    text = json.dumps(documents.to_fields(lab.layout.bundle(version)))
    envelope = signatures.sign(text, lab.path('operators.key')).encode()
    reader = signatures.SignedBundleReader(lab.path('operators.pub'))
    store = platforms.HttpObjectStore(lab.layout.platform_address)
    rollout = rollouts.Rollout(store, reader, envelope)
    started = time.monotonic()
    waits = [
        gevent.spawn(_wait_for, lab, entry, version, started)
        for entry in lab.layout.entry_names
    ]
    rollout.run()
    return [wait.get() for wait in waits]


def measure_run(entries: int, rolls: int) -> dict:
    """Start a lab, roll several versions and sum up."""
    with tempfile.TemporaryDirectory() as directory:
        layout = layouts.Layout(entries=entries)
        with labs.Lab(directory, layout) as lab:
            spans_ms = [
                max(measure_roll(lab, version))
                for version in range(2, rolls + 2)
            ]
    return {
        'entries': entries,
        'rolls': rolls,
        'median_ms': round(statistics.median(spans_ms), MAX_DECIMALS),
        'max_ms': round(max(spans_ms), MAX_DECIMALS),
    }


def main() -> None:
    """Print one JSON line a run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entries', type=int, default=6)
    parser.add_argument('--rolls', type=int, default=ROLLS)
    parser.add_argument('--runs', type=int, default=3)
    arguments = parser.parse_args()
    for _ in range(arguments.runs):
        summary = measure_run(arguments.entries, arguments.rolls)
        sys.stdout.write(f'{json.dumps(summary)}\n')


def _wait_for(lab: labs.Lab, entry: str, version: int, started: float) -> float:
    deadline = started + TIMEOUT_SECONDS
    while lab.state(entry)['bundle_version'] < version:
        if time.monotonic() > deadline:
            raise labs.LabError('the bundle did not come', peer=entry)
        gevent.sleep(POLL_SECONDS)
    return (time.monotonic() - started) * clock.MS_PER_SECOND


if __name__ == '__main__':
    main()
