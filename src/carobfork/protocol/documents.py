"""Documents: settings and bundles, JSON with comments into attrs classes.

Every problem of a document is reported at once, with its path, the value
found and what is allowed.
"""

import pathlib
from typing import TypeVar

import attrs
import cattrs
import jsonc

from carobfork import exceptions
from carobfork.protocol import strictness

Document = TypeVar('Document')


def parse(text: str, kind: type[Document], source: str) -> Document:
    """Parse a document.

    :param text: JSON with comments.
    :param kind: the attrs class to build.
    :param source: what to call the document in errors.
    :raises SettingsError: naming every problem found.
    """
    fields = _decode(text, source)
    try:
        return strictness.make_converter().structure(fields, kind)
    except cattrs.BaseValidationError as error:
        raise _settings_error(error, source) from error
    except strictness.FieldError as error:
        raise exceptions.SettingsError(
            f'{source}: {error}', step='check', peer=source
        ) from error


def load(path: str, kind: type[Document]) -> Document:
    """Read and parse a document.

    :raises SettingsError: it can't be read or has problems.
    """
    return parse(read_text(path), kind, path)


def read_text(path: str) -> str:
    """Read a text file.

    :raises SettingsError: it can't be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise exceptions.SettingsError(
            f'{path} can not be read: {error.strerror}', step='read', peer=path
        ) from error
    except UnicodeDecodeError as error:
        raise exceptions.SettingsError(
            f'{path} is not UTF-8: {error.reason} at byte {error.start}',
            step='read',
            peer=path,
        ) from error


def to_fields(document: attrs.AttrsInstance) -> dict:
    """Return a document as plain maps and lists."""
    return strictness.make_converter().unstructure(document)


def _decode(text: str, source: str) -> object:
    try:
        return jsonc.loads(text, object_pairs_hook=_unique)
    except (ValueError, RecursionError) as error:
        raise exceptions.SettingsError(
            f'{source} is not JSON with comments: {error}',
            step='parse',
            peer=source,
        ) from error


def _unique(pairs: list[tuple[str, object]]) -> dict:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [name for name, _ in pairs]
        doubled = {name for name in names if names.count(name) > 1}
        raise ValueError(f'fields given twice: {", ".join(sorted(doubled))}')
    return fields


def _settings_error(
    error: cattrs.BaseValidationError, source: str
) -> exceptions.SettingsError:
    found = cattrs.transform_error(
        error, path=source, format_exception=strictness.describe_problem
    )
    problems = tuple(_path_first(problem) for problem in found)
    settings_error = exceptions.SettingsError(
        '; '.join(problems), step='check', peer=source
    )
    settings_error.problems = problems
    return settings_error


def _path_first(problem: str) -> str:
    words, _, path = problem.rpartition(' @ ')
    return f'{path}: {words}'
