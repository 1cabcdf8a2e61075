"""Play every scenario over real processes and compare golden files."""

import pathlib
import unittest

import approvaltests
from approvaltests import namer, reporters

from carobfork_standins.scenarios import player

FOLDER = pathlib.Path(__file__).parent
GOLDEN = FOLDER / 'golden'


class GoldenNamer(namer.NamerBase):
    """Name golden files after their scenario."""

    def __init__(self, name):
        """Remember the scenario's name."""
        super().__init__()
        self.name = name

    def get_file_name(self):
        """Return the file's stem."""
        return self.name

    def get_directory(self):
        """Return the folder of golden files."""
        return str(GOLDEN)

    def get_config(self):
        """Return no further configuration."""
        return {}


class ScenarioTest(unittest.TestCase):
    """Each scenario meets its expectations, and its golden file if any."""


def add_scenario(path):
    """Add a test method that plays one scenario."""

    def play(self):
        transcript = player.play(path)
        if (GOLDEN / f'{path.stem}.approved.txt').exists():
            options = approvaltests.Options()
            approvaltests.verify(
                transcript,
                options=options.with_namer(
                    GoldenNamer(path.stem),
                ).with_reporter(reporters.PythonNativeReporter()),
            )

    play.__name__ = f'test_{path.stem}'
    setattr(ScenarioTest, play.__name__, play)


for scenario in sorted((FOLDER / 'scenarios').glob('*.scn')):
    add_scenario(scenario)
