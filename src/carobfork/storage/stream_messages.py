"""Define the messages by which the events of streams are kept while they run.

A caller may take a stream up at another entry host. The turn is stored whole
only if that host knows the events that the caller already has.
"""

import attrs

from carobfork.storage import messages


@messages.register
@attrs.frozen
class StorePart:
    """Store a part of a stream before the caller gets it.

    It is refused with ``taken`` if another attempt has the same number.
    """

    part: messages.StreamPart
    retain_ms: float


@messages.register
@attrs.frozen
class ReadParts:
    """Request all parts of a stream, named by its first attempt."""

    stream: str


@messages.register
@attrs.frozen
class StreamParts:
    """The reply to ``ReadParts``: the parts that the member holds."""

    parts: list[messages.StreamPart]
