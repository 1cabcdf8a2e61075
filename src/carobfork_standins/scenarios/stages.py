"""Stages: run a scenario's steps against a lab and keep a transcript."""

from collections.abc import Callable

import attrs
import gevent

from carobfork import exceptions, sessions
from carobfork_standins import labs
from carobfork_standins.scenarios import language

AWAIT_SECONDS = 60


class ExpectationError(AssertionError):
    """A scenario saw something else than it expects."""


@attrs.frozen
class Seen:
    """What a step brought.

    ``outcome`` is the outcome class, ``code`` the error's code if any.
    """

    outcome: str
    text: str = ''
    code: str = ''
    status: int = 0
    worker: str = ''

    def __str__(self) -> str:
        """Return the transcript's words for it."""
        return ' '.join(filter(None, (self.outcome, self.code, self.text)))


class Stage:
    """Hold what the steps of one scenario share.

    :param lab: the running processes.
    """

    def __init__(self, lab: labs.Lab) -> None:
        """Start without programs."""
        self.lab = lab
        self.programs: dict[str, sessions.Program] = {}
        self.seen: dict[str, Seen] = {}
        self.transcript: list[str] = []
        self._under_way: dict[str, gevent.Greenlet] = {}

    def play(self, scenario: language.Scenario) -> str:
        """Run all steps and return the transcript.

        :raises ExpectationError: an expectation is not met.
        """
        self.transcript.append(f'scenario "{scenario.title}"')
        for step in scenario.steps:
            if step.later:
                self._under_way[step.label] = gevent.spawn(self._run, step)
                self._note(step, 'started')
            else:
                self._note(step, str(self._run(step)))
        return '\n'.join([*self.transcript, ''])

    def await_step(self, label: str) -> Seen:
        """Wait for a step that runs beside the others."""
        return self._under_way.pop(label).get(timeout=AWAIT_SECONDS)

    def find(self, label: str) -> Seen:
        """Return what a labelled step brought."""
        if label in self._under_way:
            self.await_step(label)
        return self.seen[label]

    def program(self, name: str, entry: str = '') -> sessions.Program:
        """Return a program, reached by one entry host if given."""
        program = self.programs[name]
        if not entry:
            return program
        session = self.lab.session(entry, **_attempts(entry))
        return sessions.Program(session, program.identifier, program.token)

    def _run(self, step: language.Step) -> Seen:
        try:
            seen = VERBS[step.verb](self, step)
        except exceptions.CarobforkError as error:
            seen = Seen(error.outcome, code=error.code)
        except ExpectationError as error:
            raise ExpectationError(f'line {step.line}: {error}') from error
        self.seen[step.label] = seen
        return seen

    def _note(self, step: language.Step, text: str) -> None:
        label = f'{step.label}: ' if step.label else ''
        self.transcript.append(f'  {label}{step} -> {text}')


def _attempts(entry: str) -> dict[str, int]:
    """Keep a session with one host from trying again."""
    if ',' in entry:
        return {}
    return {'attempts': 1, 'stream_attempts': 1}


Verb = Callable[[Stage, language.Step], Seen]
VERBS: dict[str, Verb] = {}  # noqa: WPS407


def verb(name: str) -> Callable[[Verb], Verb]:
    """Register what a verb does."""

    def decorator(action: Verb) -> Verb:  # noqa: WPS430
        VERBS[name] = action
        return action

    return decorator
