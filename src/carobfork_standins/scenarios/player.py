"""Player: run a scenario file in a lab of its own."""

import pathlib
import tempfile

from carobfork_standins import labs, layouts
from carobfork_standins.scenarios import (  # noqa: F401
    bundle_verbs,
    fleet_verbs,
    inputs,
    language,
    load_verbs,
    program_verbs,
    recording,
    slot_verbs,
    stages,
    verbs,
)

_LAB_VERB = 'lab'


def play(path: pathlib.Path) -> str:
    """Play a scenario file and return its transcript.

    A first step ``lab entries=3 engines=2 services=1`` sizes the lab.

    :raises ExpectationError: an expectation is not met.
    """
    scenario = language.parse(path.read_text())
    layout = layouts.Layout(**_sizes(scenario))
    steps = [step for step in scenario.steps if step.verb != _LAB_VERB]
    with tempfile.TemporaryDirectory() as directory:
        with labs.Lab(directory, layout) as lab:
            return stages.Stage(lab).play(
                language.Scenario(scenario.title, tuple(steps))
            )


def _sizes(scenario: language.Scenario) -> dict[str, int]:
    first = scenario.steps[0]
    if first.verb != _LAB_VERB:
        return {}
    return {name: int(text) for name, text in first.options.items()}
