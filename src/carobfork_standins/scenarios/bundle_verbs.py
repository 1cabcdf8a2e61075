"""Bundle verbs: steps of operators who roll bundles, and of forgers."""

import json
from collections.abc import Sequence

import attrs

from carobfork import exceptions
from carobfork.coordination import control, rollouts
from carobfork.protocol import documents, signatures
from carobfork.transport import platforms
from carobfork_standins.scenarios import fleet_verbs, language, stages, verbs

_FORGED_KEY = 'forger.key'


@stages.verb('roll')
def roll(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Sign a bundle off and roll it: ``roll version=2 tokens=1000``."""
    envelope = _envelope(stage, step, stage.lab.path('operators.key'))
    reader = signatures.SignedBundleReader(stage.lab.path('operators.pub'))
    try:
        rolled = rollouts.Rollout(_store(stage), reader, envelope).run()
    except exceptions.ConflictError as conflict:
        return stages.Seen(
            conflict.outcome,
            text=f'version {conflict.current_version}',
            code=conflict.code,
        )
    return stages.Seen('done', text=f'version {rolled.version}')


@stages.verb('forge')
def forge(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Write a bundle of another key to the platform: ``forge version=9``."""
    key = stage.lab.path(_FORGED_KEY)
    signatures.make_keys(key, f'{key}.pub')
    _replace_head(stage, _envelope(stage, step, key))
    return verbs.DONE


@stages.verb('rewind')
def rewind(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Write an older signed bundle to the platform: ``rewind version=1``."""
    key = stage.lab.path('operators.key')
    _replace_head(stage, _envelope(stage, step, key))
    return verbs.DONE


@stages.verb('in_force')
def in_force(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Wait for a version on hosts: ``in_force entry-1 entry-2 version=2``."""
    expected = int(step.options['version'])
    fleet_verbs.wait_until(
        lambda: _versions(stage, step.words) == {expected},
        f'version {expected} is not in force on all of {step.words}',
    )
    return verbs.DONE


@stages.verb('refused')
def refused(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Wait for a line in a host's log: ``refused entry-1 text="..."``."""
    log_path = stage.lab.processes[step.words[0]].log_path
    fleet_verbs.wait_until(
        lambda: step.options['text'] in log_path.read_text(),
        'the log holds no such refusal',
    )
    return verbs.DONE


@stages.verb('winners')
def winners(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Count the steps that were done: ``winners a b count=1``."""
    outcomes = [stage.find(label).outcome for label in step.words]
    expected = int(step.options['count'])
    if outcomes.count('done') != expected:
        raise stages.ExpectationError(f'the outcomes are {outcomes}')
    return verbs.DONE


@stages.verb('launch')
def launch(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Start a process that can't get ready yet: ``launch entry-2``."""
    stage.lab.processes[step.words[0]].launch()
    return verbs.DONE


@stages.verb('ready')
def ready(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Wait until a launched process listens: ``ready entry-2``."""
    stage.lab.processes[step.words[0]].wait_until_ready()
    return verbs.DONE


def _versions(stage: stages.Stage, hosts: Sequence[str]) -> set[int]:
    return {stage.lab.state(host)['bundle_version'] for host in hosts}


def _envelope(stage: stages.Stage, step: language.Step, key: str) -> bytes:
    bundle = stage.lab.layout.bundle(int(step.options['version']))
    tokens = step.options.get('tokens')
    if tokens:
        bundle = _with_tokens(bundle, int(tokens))
    text = json.dumps(documents.to_fields(bundle))
    return signatures.sign(text, key).encode()


def _with_tokens(bundle, tokens: int):
    kinds = [
        attrs.evolve(kind, budget=attrs.evolve(kind.budget, tokens=tokens))
        for kind in bundle.programs
    ]
    return attrs.evolve(bundle, programs=tuple(kinds))


def _replace_head(stage: stages.Stage, envelope: bytes) -> None:
    store = _store(stage)
    found = store.fetch(control.BUNDLE_KEY)
    store.update(control.BUNDLE_KEY, envelope, found.version)


def _store(stage: stages.Stage) -> platforms.HttpObjectStore:
    return platforms.HttpObjectStore(stage.lab.layout.platform_address)
