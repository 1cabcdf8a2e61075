"""Documents: settings and bundles, JSON with comments into attrs classes.

Every problem of a document is reported at once, with its path.
"""

import pathlib
from typing import TypeVar

import attrs
import cattrs
import jsonc

from carobfork import exceptions

Document = TypeVar('Document')


def make_converter() -> cattrs.Converter:
    """Return a converter that refuses unknown fields."""
    return cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)


def parse(text: str, kind: type[Document], source: str) -> Document:
    """Parse a document.

    :param text: JSON with comments.
    :param kind: the attrs class to build.
    :param source: what to call the document in errors.
    :raises SettingsError: naming every problem found.
    """
    try:
        fields = jsonc.loads(text)
    except ValueError as error:
        raise exceptions.SettingsError(
            f'{source} is not JSON with comments: {error}', step='parse'
        ) from error
    try:
        return make_converter().structure(fields, kind)
    except Exception as error:  # cattrs raises groups of several kinds
        problems = '; '.join(cattrs.transform_error(error, path=source))
        raise exceptions.SettingsError(problems, step='check') from error


def load(path: str, kind: type[Document]) -> Document:
    """Read and parse a document.

    :raises SettingsError: it can't be read or has problems.
    """
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise exceptions.SettingsError(
            f'{path} can not be read: {error.strerror}', step='read'
        ) from error
    return parse(text, kind, path)


def to_fields(document: attrs.AttrsInstance) -> dict:
    """Return a document as plain maps and lists."""
    return make_converter().unstructure(document)
