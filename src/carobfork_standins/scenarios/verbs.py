"""Verbs: what the steps of a scenario do."""

import time

import gevent

from carobfork_standins import layouts
from carobfork_standins.scenarios import language, stages

EVENTUALLY_SECONDS = 60
POLL_SECONDS = 0.1
DONE = stages.Seen('done')


@stages.verb('open')
def open_program(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Open a program: ``open NAME kind=quote entry=entry-1``."""
    session = stage.lab.session(step.options.get('entry', ''))
    stage.programs[step.words[0]] = session.open(step.options['kind'])
    return DONE


@stages.verb('chat')
def chat(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Ask the model: ``chat NAME key=k1 text="..." tokens=8``."""
    options = step.options
    program = stage.program(step.words[0], options.get('entry', ''))
    program.last_key = options.get('after', program.last_key)
    reply = program.ask(
        options.get('model', layouts.MODEL),
        options['text'],
        key=options['key'],
        max_tokens=int(options.get('tokens', '8')),
    )
    return stages.Seen(reply.outcome, reply.body.decode(), worker=reply.worker)


@stages.verb('call')
def call(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Call a service: ``call NAME key=k2 path=/deposit body="..."``."""
    options = step.options
    program = stage.program(step.words[0], options.get('entry', ''))
    program.last_key = options.get('after', program.last_key)
    reply = program.call(
        options.get('service', layouts.SERVICE),
        options['path'],
        options.get('body', '').encode(),
        key=options['key'],
        method=options.get('method', 'POST'),
    )
    return stages.Seen(
        reply.outcome,
        reply.body.decode(),
        status=reply.status,
        worker=reply.worker,
    )


@stages.verb('close')
def close(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """End a program: ``close NAME``."""
    stage.program(step.words[0], step.options.get('entry', '')).close()
    return DONE


@stages.verb('await')
def await_step(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Wait for a step begun with "later": ``await LABEL``."""
    return stage.await_step(step.words[0])


@stages.verb('expect')
def expect(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Compare what a step brought: ``expect LABEL outcome=done``."""
    seen = stage.find(step.words[0])
    for name, expected in step.options.items():
        found = str(getattr(seen, name))
        if found != expected:
            raise stages.ExpectationError(
                f'{step.words[0]} brought {name} "{found}", not "{expected}"'
            )
    return DONE


@stages.verb('same')
def same(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Compare two steps' answers: ``same LABEL LABEL``."""
    texts = [stage.find(label).text for label in step.words]
    if len(set(texts)) != 1 or not texts[0]:
        raise stages.ExpectationError(f'the answers differ: {texts}')
    return DONE


@stages.verb('runs')
def runs(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Compare how often a call ran: ``runs NAME key=k2 count=1``.

    With ``eventually=yes`` the count may take time to be reached.
    """
    program = stage.programs[step.words[0]]
    key = f'{program.identifier}/{step.options["key"]}'
    expected = int(step.options['count'])
    patience = EVENTUALLY_SECONDS if 'eventually' in step.options else 0
    deadline = time.monotonic() + patience
    while (count := _count_runs(stage, key)) != expected:
        if time.monotonic() >= deadline:
            raise stages.ExpectationError(f'ran {count} times, not {expected}')
        gevent.sleep(POLL_SECONDS)
    return DONE


@stages.verb('kill')
def kill(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Kill a process: ``kill entry-1``."""
    stage.lab.kill(step.words[0])
    return DONE


@stages.verb('stop')
def stop(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Stop a process gracefully: ``stop entry-1``."""
    code = stage.lab.stop(step.words[0])
    return stages.Seen('done' if code == 0 else 'failed')


@stages.verb('start')
def start(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Start a process anew: ``start entry-1``."""
    stage.lab.start(step.words[0])
    return DONE


@stages.verb('freeze')
def freeze(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Keep a process from running: ``freeze entry-1``."""
    stage.lab.freeze(step.words[0])
    return DONE


@stages.verb('thaw')
def thaw(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Let a frozen process go on: ``thaw entry-1``."""
    stage.lab.thaw(step.words[0])
    return DONE


@stages.verb('faults')
def faults(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Replace a stand-in's faults: ``faults platform down=1``."""
    fields = {name: int(text) for name, text in step.options.items()}
    stage.lab.ask(step.words[0], '/faults', 'PUT', fields)
    return DONE


@stages.verb('pause')
def pause(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Let time pass, as a fault's duration: ``pause 1500``, in ms."""
    gevent.sleep(int(step.words[0]) / 1000)
    return DONE


def _count_runs(stage: stages.Stage, key: str) -> int:
    names = [server.name for server in stage.lab.layout.servers()]
    return sum(stage.lab.ask(name, '/counts').get(key, 0) for name in names)
