"""Fleet verbs: steps about hosts, backend servers and bundles."""

import json
import time
from collections.abc import Callable

import gevent

from carobfork import exceptions
from carobfork.coordination import control
from carobfork.transport import platforms
from carobfork_standins import layouts
from carobfork_standins.scenarios import language, stages, verbs

WAIT_SECONDS = 60


@stages.verb('backends')
def list_backends(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Replace the platform's list: ``backends engine-1=leaving``."""
    store = platforms.HttpObjectStore(stage.lab.layout.platform_address)
    found = store.fetch(control.BACKENDS_KEY)
    body = json.dumps({'servers': step.options}).encode()
    store.update(control.BACKENDS_KEY, body, found.version if found else 0)
    return verbs.DONE


@stages.verb('unusable')
def unusable(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Wait until a host avoids a server: ``unusable entry-1 service-2``."""
    host, name = step.words
    wait_until(
        lambda: name in stage.lab.state(host)['unusable_servers'],
        f'{host} still uses {name}',
    )
    return verbs.DONE


@stages.verb('avoided')
def avoided(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Ask until another engine answers: ``avoided NAME worker=engine-1``."""
    program = stage.program(step.words[0])

    def is_avoided() -> bool:  # noqa: WPS430
        reply = program.ask(layouts.MODEL, 'Which rail?', max_tokens=1)
        return reply.worker != step.options['worker']

    wait_until(is_avoided, f'{step.options["worker"]} still answers')
    return verbs.DONE


@stages.verb('served')
def served(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Compare how many calls a service ran: ``served service-1 count=0``."""
    total = sum(stage.lab.ask(step.words[0], '/counts').values())
    expected = int(step.options['count'])
    if total != expected:
        raise stages.ExpectationError(f'it ran {total} calls, not {expected}')
    return verbs.DONE


@stages.verb('unnamed')
def unnamed(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Wait until a host's answers leave another out: ``unnamed entry-2 X``."""
    asked, host = step.words
    wait_until(
        lambda: host not in _named(stage, asked), f'{asked} still names {host}'
    )
    return verbs.DONE


@stages.verb('named')
def named(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Wait until a host's answers name another: ``named entry-2 entry-1``."""
    asked, host = step.words
    wait_until(
        lambda: host in _named(stage, asked), f'{asked} does not name {host}'
    )
    return verbs.DONE


def _named(stage: stages.Stage, asked: str) -> list[str]:
    answer = stage.lab.ask(asked, '/v1/addresses')
    return [
        name
        for name in stage.lab.layout.entry_names
        if str(stage.lab.processes[name].address) in answer['addresses']
    ]


def wait_until(holds: Callable[[], bool], complaint: str) -> None:
    """Wait for a condition.

    :raises ExpectationError: it does not come to hold.
    """
    deadline = time.monotonic() + WAIT_SECONDS
    while not _check(holds):
        if time.monotonic() > deadline:
            raise stages.ExpectationError(complaint)
        gevent.sleep(verbs.POLL_SECONDS)


def _check(holds: Callable[[], bool]) -> bool:
    try:
        return holds()
    except exceptions.ConnectionFailedError:
        return False
