"""Load verbs: a small load of programs beside the other steps."""

import secrets
import time

import gevent

from carobfork import exceptions, sessions
from carobfork_standins import labs, layouts
from carobfork_standins.scenarios import language, stages, verbs

TOKENS = 60


class Load:
    """Run programs one after another in several greenlets.

    :param lab: whose entry hosts are asked, as callers ask them.
    """

    def __init__(self, lab: labs.Lab) -> None:
        """Start without programs."""
        self.done = 0
        self.failures: list[str] = []
        self._lab = lab
        self._is_over = False
        self._greenlets: list[gevent.Greenlet] = []

    def start(self, parallel: int) -> None:
        """Start so many callers."""
        self._greenlets = [gevent.spawn(self._run) for _ in range(parallel)]

    def finish(self) -> None:
        """Let the callers finish their programs."""
        self._is_over = True
        gevent.joinall(self._greenlets, timeout=stages.AWAIT_SECONDS)

    def _run(self) -> None:
        session = self._lab.session()
        while not self._is_over:
            try:
                self._run_program(session)
            except exceptions.CarobforkError as error:
                self.failures.append(str(error))

    def _run_program(self, session: sessions.Session) -> None:
        with session.open('quote') as program:
            program.ask(layouts.MODEL, 'Which rail?', max_tokens=TOKENS)
            key = secrets.token_hex(8)
            program.call(layouts.SERVICE, '/deposit', b'20', key=key)
            program.ask(layouts.MODEL, 'And the hem?', max_tokens=TOKENS)
        self.done += 1


_LOADS: dict[int, Load] = {}  # noqa: WPS407


@stages.verb('load')
def start_load(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Start callers that run programs all the time: ``load callers=6``."""
    load = Load(stage.lab)
    load.start(int(step.options['callers']))
    _LOADS[id(stage)] = load
    return verbs.DONE


@stages.verb('unload')
def finish_load(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """End the load; ``unload`` expects that no request failed."""
    load = _LOADS.pop(id(stage))
    load.finish()
    if load.failures or not load.done:
        raise stages.ExpectationError(
            f'{load.done} programs done, failures: {load.failures[:5]}'
        )
    return verbs.DONE


@stages.verb('restart')
def restart(stage: stages.Stage, step: language.Step) -> stages.Seen:
    """Stop and start hosts one after another: ``restart entry-1 entry-2``."""
    for name in step.words:
        started = time.monotonic()
        code = stage.lab.stop(name)
        if code:
            raise stages.ExpectationError(f'{name} ended with {code}')
        stage.lab.start(name)
        span = time.monotonic() - started
        stage.transcript.append(f'    {name} restarted in {span:.0f} s')
    return verbs.DONE
