"""Follow a request or a program through the logs of all hosts.

Each process writes one JSON object a line. A request's lines carry its
identifier; what happened to its workers, and to the hosts that served it, at
the same time stands on lines without one.
"""

import json
import pathlib
from collections.abc import Iterable, Iterator

import attrs

from carobfork import clock, exceptions

CONTEXT_MS = 1500
"""How long before a request's first line and after its last one lines of its
workers and hosts are shown: a failure is often noticed by another call."""
MAX_LINES = 2000
"""Longest trace; a program that loops has more lines than anyone reads."""
WORKER_EVENTS = frozenset(
    ('worker avoided', 'worker gone', 'worker draining', 'worker registered')
)
HOST_EVENTS = frozenset(
    (
        'configuration in force',
        'link is down',
        'platform lost',
        'start',
        'stopping',
        'storage group',
    )
)
_IDENTIFIERS = ('request', 'program')
_HIDDEN = frozenset(('timestamp', 'event', 'level', 'part'))
_STEP = 'read logs'


@attrs.frozen
class LogLine:
    """One line of a host's log.

    :param at_ms: Unix time in ms.
    :param host: the name of the log's file, without its ending.
    :param fields: the fields of the line.
    """

    at_ms: float
    host: str
    fields: dict

    @property
    def event(self) -> str:
        """What happened."""
        return self.fields.get('event', '')

    def concerns(self, identifier: str) -> bool:
        """Return whether the line names a request or program."""
        return any(self.fields.get(key) == identifier for key in _IDENTIFIERS)

    def render(self, start_ms: float) -> str:
        """Return the line for people.

        :param start_ms: time that is shown as 0.
        """
        shown = ' '.join(
            f'{name}={content}'
            for name, content in sorted(self.fields.items())
            if name not in _HIDDEN and content not in ('', None)
        )
        after_ms = self.at_ms - start_ms
        return f'{after_ms:+9.0f} ms  {self.host}  {self.event}  {shown}'


def read_folder(folder: pathlib.Path) -> Iterator[LogLine]:
    """Yield the lines of all logs in a folder; other lines are passed over.

    :param folder: holds one file with the ending ``.log`` for each process.
    :raises SettingsError: if the folder holds no such file.
    """
    paths = sorted(folder.glob('*.log'))
    if not paths:
        raise exceptions.SettingsError(
            f'no file ends with .log in {folder}', step=_STEP
        )
    for path in paths:
        with path.open(errors='replace') as log:
            yield from _parse_lines(path.stem, log)


def trace(lines: Iterable[LogLine], identifier: str) -> list[LogLine]:
    """Return what concerns a request or program, in the order of time.

    :param lines: the lines of all hosts, in any order.
    :param identifier: the request's attempt or the program's identifier.
    :raises UnknownProgramError: if no line names it.
    """
    known = list(lines)
    own = [line for line in known if line.concerns(identifier)]
    if not own:
        raise exceptions.UnknownProgramError(
            f'no line names request or program {identifier!r}', step=_STEP
        )
    context = _Context.around(own)
    found = [
        line
        for line in known
        if line.concerns(identifier) or context.includes(line)
    ]
    return sorted(found, key=lambda line: line.at_ms)[:MAX_LINES]


@attrs.frozen
class _Context:
    """The time span, workers and hosts of a request's own lines."""

    from_ms: float
    until_ms: float
    workers: frozenset[str]
    hosts: frozenset[str]

    @classmethod
    def around(cls, own: list[LogLine]) -> '_Context':
        times_ms = [line.at_ms for line in own]
        return cls(
            min(times_ms) - CONTEXT_MS,
            max(times_ms) + CONTEXT_MS,
            frozenset(line.fields.get('worker', '') for line in own) - {''},
            frozenset(line.host for line in own),
        )

    def includes(self, line: LogLine) -> bool:
        if not self.from_ms <= line.at_ms <= self.until_ms:
            return False
        if line.event in WORKER_EVENTS:
            return line.fields.get('worker') in self.workers
        return line.event in HOST_EVENTS and line.host in self.hosts


def _parse_lines(host: str, log: Iterable[str]) -> Iterator[LogLine]:
    for text in log:
        try:
            fields = json.loads(text[text.index('{') :])
            at_ms = clock.parse_timestamp_ms(fields['timestamp'])
        except (KeyError, TypeError, ValueError):
            # Output of the runtime, or a line that was cut off.
            continue
        yield LogLine(at_ms, host, fields)
