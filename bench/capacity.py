"""Measure the slopes that docs/CAPACITY.md extrapolates from.

``python -m bench.capacity`` runs each subject at three sizes or more and
writes ``bench/results/capacity.json`` with every point and its run.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402

import attrs  # noqa: E402

from bench import capacity_subjects  # noqa: E402

OUTPUT = pathlib.Path(__file__).parent / 'results'


def main() -> None:
    """Run the subjects named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = sorted(capacity_subjects.SUBJECTS)
    parser.add_argument('subjects', nargs='*', default=names)
    parser.add_argument('--runs', type=int, default=3)
    options = parser.parse_args()
    OUTPUT.mkdir(exist_ok=True)
    for name in options.subjects:
        subject = capacity_subjects.SUBJECTS[name]
        points = list(_measure(subject, options.runs))
        path = OUTPUT / f'capacity-{name}.json'
        path.write_text(json.dumps([attrs.asdict(one) for one in points]))


def _measure(
    subject: Callable[[], Iterator[capacity_subjects.Point]], runs: int
) -> Iterator[capacity_subjects.Point]:
    for run in range(1, runs + 1):
        for point in subject():
            sys.stdout.write(f'run {run}: {point}\n')
            sys.stdout.flush()
            yield point


if __name__ == '__main__':
    main()
