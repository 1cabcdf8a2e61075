"""Commands that measure, from the root of a clone."""

import importlib
import pathlib
import sys
from collections.abc import Sequence

from carobfork import exceptions

FOLDER = 'bench'


class BenchCommands:
    """Measure real processes on loopback; run at the root of a clone."""

    def policies(self, experiment: str, seeds: str = '3') -> None:
        """Compare the scheduling policies in one experiment.

        Example: ``carobfork bench policies steady --seeds 3``

        :param experiment: an experiment that the folder lists.
        :param seeds: how many seeds to run.
        """
        _run('policies', [experiment, '--seeds', seeds])

    def capacity(self, subjects: str = '', runs: str = '3') -> None:
        """Measure what a host costs, at several sizes.

        Example: ``carobfork bench capacity --runs 3``

        :param subjects: what to measure, separated by commas; else all.
        :param runs: how often to measure.
        """
        names = subjects.split(',') if subjects else []
        _run('capacity', [*names, '--runs', runs])


def _run(module: str, words: Sequence[str]) -> None:
    folder = pathlib.Path(FOLDER).resolve()
    if not (folder / f'{module}.py').is_file():
        raise exceptions.SettingsError(
            f'there is no {FOLDER}/{module}.py here: go to the root of a clone',
            step='find bench',
            peer=str(folder),
        )
    sys.path.insert(0, str(folder.parent))
    bench = importlib.import_module(f'{FOLDER}.{module}')
    sys.argv = [module, *words]
    bench.main()
