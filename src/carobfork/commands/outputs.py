"""Outputs: what commands print, and how errors end a process."""

import json
import sys

import attrs

from carobfork import exceptions
from carobfork.commands import arguments
from carobfork.protocol import responses

INTERNAL_CODE = 1

# The most specific class that lists an error's class decides.
EXIT_CODES: dict[type, int] = {  # noqa: WPS407
    exceptions.CarobforkError: INTERNAL_CODE,
    arguments.UsageError: 2,
    exceptions.SettingsError: 3,
    exceptions.ConflictError: 4,
    exceptions.BadRequestError: 5,
    exceptions.NotRunError: 5,
    exceptions.PlatformError: 6,
    exceptions.ConnectionFailedError: 6,
    exceptions.UnknownOutcomeError: 7,
    exceptions.CallFailedError: 7,
}

HINTS: dict[type, str] = {  # noqa: WPS407
    exceptions.CarobforkError: 'report it with the state dump and the log',
    arguments.UsageError: 'see --help of the command',
    exceptions.SettingsError: 'correct the file and run the command again',
    exceptions.ConflictError: 'fetch what is in force, then decide anew',
    exceptions.BadRequestError: 'correct the request; nothing was done',
    exceptions.NotRunError: 'nothing was done; try again later',
    exceptions.PlatformError: (
        'see whether the platform answers, then look before repeating'
    ),
    exceptions.ConnectionFailedError: (
        'see whether the peer runs and the address is right'
    ),
    exceptions.UnknownOutcomeError: 'look at the state before repeating',
}


@attrs.frozen
class Report:
    """What a command found or did.

    :param text: for people.
    :param fields: the same for scripts, JSON-ready.
    """

    text: str
    fields: dict

    def render(self, as_json: bool) -> str:
        """Return what to print."""
        if as_json:
            return json.dumps(self.fields, sort_keys=True)
        return self.text


def done(text: str, **fields) -> Report:
    """Return the report of a command that did something."""
    return Report(text, {'done': text, **fields})


def as_json_text(fields: dict) -> Report:
    """Return a report whose text is indented JSON."""
    return Report(json.dumps(fields, indent=2, sort_keys=True), fields)


def exit_code(error: exceptions.CarobforkError) -> int:
    """Return the exit code of an error's class."""
    return _nearest(EXIT_CODES, error)


def print_error(error: exceptions.CarobforkError, as_json: bool) -> None:
    """Print an error: what, where and what to do."""
    hint = _nearest(HINTS, error)
    if as_json:
        fields = {**responses.error_fields(error), 'hint': hint}
        sys.stderr.write(f'{json.dumps({"error": fields})}\n')
        return
    problems = getattr(error, 'problems', ()) or (error.message,)
    lines = [f'error {error.code}:']
    lines.extend(f'  {problem}' for problem in problems)
    lines.append(f'  at: {error.step or "-"}, {error.peer or "-"}')
    lines.append(f'  do: {hint}')
    sys.stderr.write('\n'.join([*lines, '']))


def _nearest(listed: dict, error: exceptions.CarobforkError):
    kinds = (kind for kind in type(error).__mro__ if kind in listed)
    return listed[next(kinds)]
