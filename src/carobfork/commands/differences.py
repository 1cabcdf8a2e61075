"""Differences: what changed between two bundles, field by field."""

from collections.abc import Iterator

from carobfork.protocol import documents
from carobfork.state import bundles

_ABSENT = '-'


def compare(old: bundles.Bundle, new: bundles.Bundle) -> list[dict[str, str]]:
    """Return each changed field with its path, old and new value."""
    before = dict(_flatten('bundle', documents.to_fields(old)))
    after = dict(_flatten('bundle', documents.to_fields(new)))
    return [
        {
            'path': path,
            'old': before.get(path, _ABSENT),
            'new': after.get(path, _ABSENT),
        }
        for path in sorted({*before, *after})
        if before.get(path) != after.get(path)
    ]


def _flatten(path: str, found: object) -> Iterator[tuple[str, str]]:
    """Yield each leaf of a document."""
    members = list(_members(found))
    if not members:
        yield path, str(found)
    for label, member in members:
        yield from _flatten(f'{path}{label}', member)


def _members(found: object) -> Iterator[tuple[str, object]]:
    """Yield members of an object or a list; those of lists by name."""
    if isinstance(found, dict):
        for name, member in found.items():
            yield f'.{name}', member
    elif isinstance(found, list | tuple):
        for place, listed in enumerate(found):
            yield f'[{_label(listed, place)}]', listed


def _label(listed: object, place: int) -> object:
    if isinstance(listed, dict):
        return listed.get('name', place)
    return place
