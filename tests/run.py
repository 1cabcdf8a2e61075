"""Run all tests, or those named, and exit with 1 where one fails.

Units of tests run side by side in processes of their own: each scenario by
itself, and each other module as a whole. Those that need the machine to
themselves run after all others, one at a time.
"""

import os
import pathlib
import re
import subprocess
import sys
from concurrent import futures

SCENARIOS = 'tests.test_scenarios'
ALONE = frozenset(('tests.test_crowds',))
"""Modules whose tests run apart from other load."""
CORES_PER_WORKER = 2
"""A scenario keeps several processes busy."""
COUNTS = re.compile(
    r'^(\d+) passed, (\d+) failed, (\d+) skipped$', re.MULTILINE
)
FAILED = re.compile(r'^failed: .+$', re.MULTILINE)
FOLDER = pathlib.Path(__file__).parent


def all_units():
    """Return what runs in one process each, scenarios first."""
    scenarios = sorted(
        f'{SCENARIOS}.ScenarioTest.test_{path.stem}'
        for path in (FOLDER / 'scenarios').glob('*.scn')
    )
    modules = sorted(f'tests.{path.stem}' for path in FOLDER.glob('test_*.py'))
    modules.remove(SCENARIOS)
    return [*scenarios, *modules]


def run_unit(name):
    """Run one unit in a process of its own."""
    return subprocess.run(
        [sys.executable, '-m', 'tests.run_unit', name],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def run(units):
    """Run units and return the exit code."""
    workers = max(1, (os.cpu_count() or 1) // CORES_PER_WORKER)
    alone = [name for name in units if name.startswith(tuple(ALONE))]
    beside = [name for name in units if name not in alone]
    reports = [*run_batch(beside, workers), *run_batch(alone, 1)]
    counts = [found for found, _names in reports if found]
    broken = len(units) - len(counts)
    passed, failed, skipped = map(sum, zip((0, 0, 0), *counts, strict=True))
    for _found, names in reports:
        write_lines(names)
    write(f'{passed} passed, {failed + broken} failed, {skipped} skipped')
    return 1 if broken or failed or not passed else 0


def run_batch(units, workers):
    """Run units, some at a time, and return their reports."""
    with futures.ThreadPoolExecutor(workers) as pool:
        finished = zip(units, pool.map(run_unit, units), strict=True)
        return [report(name, done) for name, done in finished]


def report(name, done):
    """Show a unit's output; return its counts, if any, and what failed."""
    write(done.stdout)
    counts = COUNTS.findall(done.stdout)
    failed = FAILED.findall(done.stdout)
    if done.returncode:
        write(f'failed: {name}')
        failed = failed or [f'failed: {name}']
    if not counts or (done.returncode and not int(counts[-1][1])):
        return None, failed
    return [int(count) for count in counts[-1]], failed


def write_lines(lines):
    """Write lines to standard output."""
    for line in lines:
        write(line)


def write(text):
    """Write a line to standard output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:] or all_units()))
