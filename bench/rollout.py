"""Rollout: the time until a rolled bundle is in force on every entry host."""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from carobfork import clock  # noqa: E402
from carobfork.coordination import rollouts  # noqa: E402
from carobfork.protocol import documents, signatures  # noqa: E402
from carobfork.transport import platforms  # noqa: E402
from carobfork_standins import lab_processes, labs, layouts  # noqa: E402

POLL_SECONDS = 0.002
TIMEOUT_SECONDS = 60
MAX_DECIMALS = 1
ROLLS = 20
RUNS = 3
ENTRIES = 6


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


def measure_run() -> dict:
    """Start a lab, roll several versions and sum up."""
    with tempfile.TemporaryDirectory() as directory:
        with labs.Lab(directory, layouts.Layout(entries=ENTRIES)) as lab:
            spans_ms = sorted(
                max(measure_roll(lab, version))
                for version in range(2, ROLLS + 2)
            )
    return {
        'entries': ENTRIES,
        'rolls': ROLLS,
        'median_ms': round(spans_ms[ROLLS // 2], MAX_DECIMALS),
        'max_ms': round(spans_ms[-1], MAX_DECIMALS),
    }


def main() -> None:
    """Print one JSON line a run."""
    for _ in range(RUNS):
        sys.stdout.write(f'{json.dumps(measure_run())}\n')


def _wait_for(lab: labs.Lab, entry: str, version: int, started: float) -> float:
    deadline = started + TIMEOUT_SECONDS
    while lab.state(entry)['bundle_version'] < version:
        if time.monotonic() > deadline:
            raise lab_processes.LabError('the bundle did not come', peer=entry)
        gevent.sleep(POLL_SECONDS)
    return (time.monotonic() - started) * clock.MS_PER_SECOND


if __name__ == '__main__':
    main()
