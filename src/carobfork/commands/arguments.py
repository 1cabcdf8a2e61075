"""Arguments: check a command's words before anything happens.

Fire runs a command first and rejects an unknown flag afterwards, and it
reads ``1e5`` as a number. So the words are checked here against the
command's signature and handed to fire as quoted texts.
"""

import difflib
import inspect
from collections.abc import Callable, Iterator, Sequence

import attrs

from carobfork import exceptions

FLAG = '--'
HELP_FLAGS = frozenset(('--help', '-h'))
JSON_FLAG = '--json'


class UsageError(exceptions.BadRequestError):
    """The command line is wrong; nothing was done."""

    code = 'usage'


@attrs.frozen
class Invocation:
    """A checked command line.

    :param path: the command's groups and name.
    :param words: the arguments as flags, quoted for fire.
    :param as_json: whether the output is for scripts.
    :param wants_help: whether only help is asked for.
    """

    path: tuple[str, ...]
    words: tuple[str, ...] = ()
    as_json: bool = False
    wants_help: bool = False

    def fire_words(self) -> list[str]:
        """Return what fire is to run."""
        if self.wants_help:
            return [*self.path, FLAG, '--help']
        return [*self.path, *self.words]


def parse(root: object, words: Sequence[str]) -> Invocation:
    """Check a command line against the commands of ``root``.

    :raises UsageError: it names no command, or its arguments do not fit.
    """
    rest = [word for word in words if word != JSON_FLAG]
    as_json = len(rest) < len(words)
    wants_help = not HELP_FLAGS.isdisjoint(rest)
    path, command = _find(root, rest)
    if wants_help or not callable(command):
        return Invocation(path, as_json=as_json, wants_help=True)
    given = _bind(command, rest[len(path) :], ' '.join(path))
    flags = tuple(f'{FLAG}{name}={text!r}' for name, text in given.items())
    return Invocation(path, flags, as_json)


def _find(root: object, words: Sequence[str]) -> tuple[tuple[str, ...], object]:
    path: list[str] = []
    found = root
    for word in words:
        if callable(found) or word in HELP_FLAGS:
            break
        found = _member(found, word)
        path.append(word.replace('-', '_'))
    return tuple(path), found


def _member(group: object, word: str) -> object:
    names = _names(group)
    name = word.replace('-', '_')
    if name not in names:
        raise UsageError(
            f'there is no command "{word}"{_hint(name, names)}',
            step='parse arguments',
            peer='command line',
        )
    return getattr(group, name)


def _names(group: object) -> list[str]:
    members = inspect.getmembers(group)
    return [name for name, _ in members if not name.startswith('_')]


def _hint(name: str, known: Sequence[str]) -> str:
    nearest = difflib.get_close_matches(name, known, n=1)
    if nearest:
        return f', did you mean "{nearest[0]}"?'
    return f', known: {", ".join(known)}'


def _bind(
    command: Callable, words: Sequence[str], title: str
) -> dict[str, str]:
    expected = inspect.signature(command).parameters
    names = list(expected)
    given: dict[str, str] = {}
    for name, text in _pairs(words, names, given):
        _require_new(name, names, given, title)
        given[name] = text
    for name, parameter in expected.items():
        if parameter.default is parameter.empty and name not in given:
            raise _usage(f'{title} needs {name.upper()}', name, names)
    return given


def _require_new(
    name: str, names: list[str], given: dict[str, str], title: str
) -> None:
    if name not in names:
        raise _usage(f'{title} has no flag --{name}', name, names)
    if name in given:
        raise _usage(f'{title} got {name} twice', name, names)


def _pairs(
    words: Sequence[str], names: list[str], given: dict[str, str]
) -> Iterator[tuple[str, str]]:
    """Yield name and text of each argument, flags and others alike."""
    queue = list(words)
    while queue:
        word = queue.pop(0)
        if word.startswith(FLAG):
            yield _flag(word, queue, names)
        else:
            free = [name for name in names if name not in given]
            if not free:
                raise _usage(f'"{word}" is one argument too many', '', names)
            yield free[0], word


def _flag(word: str, queue: list[str], names: list[str]) -> tuple[str, str]:
    name, equals, text = word.removeprefix(FLAG).partition('=')
    name = name.replace('-', '_')
    if name in names and not equals:
        if not queue or queue[0].startswith(FLAG):
            raise _usage(f'--{name} needs a value', name, names)
        text = queue.pop(0)
    return name, text


def _usage(message: str, name: str, names: Sequence[str]) -> UsageError:
    known = list(names)
    hint = '' if name in known else _hint(name, known)
    return UsageError(
        f'{message}{hint}', step='parse arguments', peer='command line'
    )
