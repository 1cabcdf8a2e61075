"""Recording: verbs for scenarios on journals and takeovers."""

import contextlib
import time
from collections.abc import Callable

import attrs
import gevent

from carobfork import exceptions, sessions
from carobfork_standins.scenarios import language, stages, verbs


@stages.verb('adopted')
def adopted(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Wait until another host has a host's programs: ``adopted entry-1``."""
    prefix = f'{step.words[0]}.'

    def is_adopted() -> bool:  # noqa: WPS430
        return any(
            incarnation.startswith(prefix)
            for state in _states(stage)
            for incarnation in state['adopted']
        )

    _await(is_adopted, f'no host adopted {step.words[0]}')
    return verbs.DONE


@stages.verb('kill-taker')
def kill_taker(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Kill the host that took another over: ``kill-taker entry-1``."""
    prefix = f'{step.words[0]}.'
    for state in _states(stage):
        if any(name.startswith(prefix) for name in state['adopted']):
            stage.lab.kill(state['incarnation'].partition('.')[0])
            return verbs.DONE
    raise stages.ExpectationError(f'no host adopted {step.words[0]}')


@stages.verb('roam')
def roam(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Reach a program by whichever hosts are alive: ``roam NAME``."""
    name = step.words[0]
    program = stage.programs[name]
    stage.programs[name] = sessions.Program(
        stage.lab.session(), program.identifier, program.token
    )
    return verbs.DONE


@stages.verb('pending')
def pending(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Wait until a host's records wait for the platform."""
    name = step.words[0]
    _await(
        lambda: stage.lab.state(name)['journal']['records_pending'] > 0,
        f'no records of {name} wait',
    )
    return verbs.DONE


@stages.verb('settled')
def settled(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Wait until no host holds another's records: ``settled``."""

    def is_settled() -> bool:  # noqa: WPS430
        states = _states(stage)
        pending_records = [
            state['journal']['records_pending'] for state in states
        ]
        held = [state['held_bytes'] for state in states]
        return not any(pending_records) and not any(held)

    _await(is_settled, 'records are still held')
    return verbs.DONE


@stages.verb('turns')
def turns(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Compare the last prompt's user turns: ``turns NAME "one" "two"``."""
    owner = stage.programs[step.words[0]].identifier
    found: list[str] = []
    for worker in stage.lab.layout.workers():
        messages = stage.lab.ask(worker.name, f'/prompts/{owner}')['messages']
        found = max(found, _user_texts(messages), key=len)
    if found != list(step.words[1:]):
        raise stages.ExpectationError(f'the prompt held {found}')
    return verbs.DONE


@stages.verb('retry')
def retry(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Repeat a step for as long as it is refused as not run.

    ``retry call NAME key=k1 path=/deposit`` takes the options of the verb.
    """
    repeated = attrs.evolve(step, verb=step.words[0], words=step.words[1:])
    deadline = time.monotonic() + verbs.EVENTUALLY_SECONDS
    while True:
        try:
            return stages.VERBS[repeated.verb](stage, repeated)
        except exceptions.NotRunError:
            if time.monotonic() > deadline:
                raise
        gevent.sleep(verbs.POLL_SECONDS)


def _user_texts(messages: list[dict]) -> list[str]:
    return [
        message['content'] for message in messages if message['role'] == 'user'
    ]


def _states(stage: stages.Stage) -> list[dict]:
    states = []
    for name in stage.lab.layout.entry_names:
        # Those killed or frozen by the scenario do not answer.
        with contextlib.suppress(exceptions.ConnectionFailedError):
            states.append(stage.lab.state(name))
    return states


def _await(condition: Callable[[], bool], failure: str) -> None:
    deadline = time.monotonic() + verbs.EVENTUALLY_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise stages.ExpectationError(failure)
        gevent.sleep(verbs.POLL_SECONDS)
