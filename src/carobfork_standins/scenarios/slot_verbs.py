"""Slot verbs: compare in which order calls ended, and wait for slots."""

import time

import gevent

from carobfork_standins.scenarios import language, stages

PATIENCE_SECONDS = 30
POLL_SECONDS = 0.05


@stages.verb('before')
def before(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Compare which of two steps ended first: ``before LABEL LABEL``."""
    for label in step.words:
        stage.find(label)
    ended = [label for label in stage.seen if label in step.words]
    if ended != list(step.words):
        raise stages.ExpectationError(f'they ended in the order {ended}')
    return stages.Seen('done')


@stages.verb('slots')
def slots(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Wait for a pool's counts: ``slots entry-3 busy=4 waiting=1``."""
    expected = {name: int(text) for name, text in step.options.items()}
    deadline = time.monotonic() + PATIENCE_SECONDS
    while (found := _counts(stage, step.words[0])) != expected:
        if time.monotonic() > deadline:
            raise stages.ExpectationError(f'{found}, not {expected}')
        gevent.sleep(POLL_SECONDS)
    return stages.Seen('done')


def _counts(stage: stages.Stage, entry: str) -> dict[str, int]:
    pools = stage.lab.state(entry)['pools']
    return {
        'busy': sum(
            worker['busy'] for pool in pools for worker in pool['workers']
        ),
        'waiting': sum(sum(pool['waiting'].values()) for pool in pools),
    }
