"""Define the messages by which the events of streams are kept while they run.

A caller may take a stream up at another entry host. The turn is stored whole
only if that host knows the events that the caller already has.
"""

import attrs

from carobfork.storage import messages


@messages.register
@attrs.frozen
class StreamPart:
    """Consecutive events of a stream that one attempt brings to its caller.

    :param stream: the attempt that brought the stream's first event.
    :param take: number of times that the stream had been taken up before this
        attempt, 0 for the attempt that began it.
    :param attempt: the attempt.
    :param after: identifier of the last event that the caller had before; 0 if
        it had none.
    :param position: number of events of the attempt before these.
    :param events: identifier and data of each event. An attempt that takes the
        stream up writes a part without events first.
    """

    stream: str
    take: int
    attempt: str
    after: int
    position: int
    events: list[tuple[int, bytes]]


@messages.register
@attrs.frozen
class StorePart:
    """Store a part of a stream before the caller gets it.

    It is refused with ``taken`` if another attempt has the same number.
    """

    part: StreamPart
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

    parts: list[StreamPart]
