"""Program verbs: streams, sub-agents and programs that are gone."""

import itertools
import json
import time
from collections.abc import Callable, Iterator

import gevent

from carobfork import exceptions, replies, sessions
from carobfork.protocol import headers, sse
from carobfork_standins import layouts
from carobfork_standins.scenarios import language, stages, verbs

LOOP_LIMIT = 2000


@stages.verb('resume')
def resume(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Ask for the rest of an answer: ``resume NAME key= text= offset=8``."""
    options = step.options
    program = stage.programs[step.words[0]]
    fields = {
        headers.PROGRAM: program.identifier,
        headers.TOKEN: program.token,
        headers.CALL: options['key'],
        headers.OFFSET: options['offset'],
    }
    message = {'role': 'user', 'content': options['text']}
    request = {
        'model': layouts.MODEL,
        'messages': [message],
        'max_tokens': int(options.get('tokens', '8')),
        'stream': True,
    }
    session = stage.lab.session(options.get('entry', ''))
    body = json.dumps(request).encode()
    with session.connect(
        'POST', '/v1/chat/completions', body, fields
    ) as exchange:
        answer = exchange.read()
        if exchange.status >= replies.ERROR_STATUS:
            raise replies.decode_error(answer)
        return _read_events(answer)


@stages.verb('stream')
def stream(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Ask the model for an answer that may not start over: ``stream ...``."""
    program, texts = _begin_chat(stage, step)
    answer = ''.join(texts)
    return stages.Seen('done', answer, worker=program.worker)


@stages.verb('abandon')
def abandon(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Ask the model and leave after the first words: ``abandon NAME ...``."""
    program, texts = _begin_chat(stage, step)
    first = next(texts)
    texts.close()
    return stages.Seen('done', first, worker=program.worker)


@stages.verb('agent')
def open_sub_agent(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Open a sub-agent: ``agent NAME parent=buyer tokens=900 calls=5``."""
    options = step.options
    parent = stage.program(options['parent'], options.get('entry', ''))
    stage.programs[step.words[0]] = parent.open_sub_agent(
        options.get('kind', 'quote'),
        tokens=int(options['tokens']),
        calls=int(options['calls']),
        time_ms=int(options.get('time_ms', '60000')),
    )
    return verbs.DONE


@stages.verb('loop')
def loop(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Call without end until refused: ``loop NAME path=/stock method=GET``."""
    options = step.options
    program = stage.program(step.words[0], options.get('entry', ''))
    for number in itertools.count():
        if number == LOOP_LIMIT:
            raise stages.ExpectationError('the loop was not stopped')
        try:
            _call_once(program, options)
        except exceptions.CarobforkError as error:
            return stages.Seen(
                error.outcome, f'after {number} calls', code=error.code
            )


@stages.verb('held')
def held(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Compare what engines hold for a program: ``held NAME count=0``.

    Cached blocks and streams under way count; ``count=some`` means any.
    With ``eventually=yes`` the count may take time to be reached.
    """
    identifier = stage.programs[step.words[0]].identifier
    expected = step.options['count']
    patience = 0
    if 'eventually' in step.options:
        patience = verbs.EVENTUALLY_SECONDS
    deadline = time.monotonic() + patience
    while not _matches(count := _count_held(stage, identifier), expected):
        if time.monotonic() >= deadline:
            raise stages.ExpectationError(f'{count} held, not {expected}')
        gevent.sleep(verbs.POLL_SECONDS)
    return verbs.DONE


@stages.verb('words')
def words(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Compare the length of an answer: ``words LABEL count=60``."""
    count = len(stage.find(step.words[0]).text.split())
    if count != int(step.options['count']):
        raise stages.ExpectationError(f'the answer has {count} words')
    return verbs.DONE


@stages.verb('order')
def order(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Compare the order in which calls ran: ``order NAME keys=k1,k2``."""
    identifier = stage.programs[step.words[0]].identifier
    keys = step.options['keys'].split(',')
    ran = [
        name.removeprefix(f'{identifier}/')
        for server in stage.lab.layout.servers()
        for name in stage.lab.ask(server.name, '/counts')
    ]
    found = [key for key in ran if key in keys]
    if found != keys:
        raise stages.ExpectationError(f'the calls ran in order {found}')
    return verbs.DONE


@stages.verb('spent')
def spent(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Check what engines billed: ``spent buyer helper most=900``."""
    billed = sum(
        stage.lab.ask(worker.name, '/usage').get(identifier, 0)
        for worker in stage.lab.layout.workers()
        for identifier in map(_identify(stage), step.words)
    )
    if not 0 < billed <= int(step.options['most']):
        raise stages.ExpectationError(f'{billed} tokens were billed')
    return verbs.DONE


def _begin_chat(
    stage: stages.Stage, step: language.Step
) -> tuple[sessions.Program, Iterator[str]]:
    options = step.options
    program = stage.program(step.words[0], options.get('entry', ''))
    texts = program.chat(
        layouts.MODEL,
        options['text'],
        key=options['key'],
        max_tokens=int(options['tokens']),
    )
    return program, texts


def _identify(stage: stages.Stage) -> Callable[[str], str]:
    return lambda name: stage.programs[name].identifier


def _call_once(program, options: dict[str, str]) -> None:
    text = options.get('text', '')
    if text:
        program.ask(layouts.MODEL, text, max_tokens=8)
    else:
        program.call(layouts.SERVICE, options['path'], method=options['method'])


def _read_events(answer: bytes) -> stages.Seen:
    parts = []
    for text in sse.texts(answer.removesuffix(sse.DONE)):
        if isinstance(text, dict):
            raise replies.error_from_fields(text)
        parts.append(text)
    return stages.Seen('done', ''.join(parts))


def _count_held(stage: stages.Stage, identifier: str) -> int:
    inventories = [
        stage.lab.ask(worker.name, '/inventory')
        for worker in stage.lab.layout.workers()
    ]
    return sum(
        inventory[kind].get(identifier, 0)
        for inventory in inventories
        for kind in ('blocks', 'streams')
    )


def _matches(count: int, expected: str) -> bool:
    if expected == 'some':
        return count > 0
    return count == int(expected)
