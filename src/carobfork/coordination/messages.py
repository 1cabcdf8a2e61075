"""Messages that entry hosts send each other.

Message classes fill a registry by decorator; a class's name is its tag on
the wire, so renaming one breaks hosts of another version.
"""

from typing import TypeVar

import attrs

from carobfork.state import identifiers

MESSAGES: dict[str, type] = {}  # noqa: WPS407

Message = TypeVar('Message')


def register(kind: type[Message]) -> type[Message]:
    """Register a message class."""
    MESSAGES[kind.__name__] = kind
    return kind


@register
@attrs.frozen
class Heartbeat:
    """A host is alive."""

    sender: identifiers.Incarnation
    bundle_version: int
    leaving: bool = False


@register
@attrs.frozen
class Leaving:
    """A host is about to stop; address answers no longer name it."""

    sender: identifiers.Incarnation


@register
@attrs.frozen
class Noted:
    """A message was understood and acted upon."""


@register
@attrs.frozen
class Failure:
    """A request could not be answered."""

    code: str
    message: str
    step: str = ''
    peer: str = ''
