"""Dumps: a process's state on request, bounded in size.

Sections fill a registry by decorator. Lists are cut at ``MEMBERS_LIMIT``
and say how many members they had.
"""

from collections.abc import Callable, Iterable

from carobfork.inspections import hosts

MEMBERS_LIMIT = 100

Section = Callable[[hosts.InspectedHost], object]
SECTIONS: dict[str, Section] = {}  # noqa: WPS407


def section(name: str) -> Callable[[Section], Section]:
    """Register what describes a section of the dump."""

    def decorator(describe: Section) -> Section:  # noqa: WPS430
        SECTIONS[name] = describe
        return describe

    return decorator


def describe(host: hosts.InspectedHost) -> dict:
    """Return all sections of a host's dump."""
    return {name: show(host) for name, show in SECTIONS.items()}


def bounded(members: Iterable) -> dict:
    """Return the first members and how many there are."""
    listed = list(members)
    return {'count': len(listed), 'first': listed[:MEMBERS_LIMIT]}
