"""Define the messages that entry hosts exchange.

Message classes are registered by a decorator. The class name is the tag on
the wire, so renaming a class breaks hosts of other versions.
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
    """Reports that a host is alive."""

    sender: identifiers.Incarnation
    bundle_version: int
    leaving: bool = False


@register
@attrs.frozen
class Leaving:
    """Reports that a host is about to stop; address answers omit it."""

    sender: identifiers.Incarnation


@register
@attrs.frozen
class Noted:
    """Confirms that a message was processed."""


@register
@attrs.frozen
class Failure:
    """Reports that a request could not be answered."""

    code: str
    message: str
    step: str = ''
    peer: str = ''
