"""Store and read the parts of streams on a quorum of store hosts."""

from collections.abc import Callable
from typing import Any

from carobfork.storage import messages, stream_messages

RunOnAll = Callable[[Any, bool], dict[str, Any]]
"""Sends all members a request and returns the replies of a write quorum, which
is a read quorum as well if the second argument says so."""


class PartClient:
    """A client of the parts of streams that store hosts keep.

    :param run_on_all: asks the members of the storage group.
    """

    def __init__(self, run_on_all: RunOnAll) -> None:
        """Create a client of a group."""
        self._run_on_all = run_on_all

    def store(self, message: stream_messages.StorePart) -> None:
        """Store a part of a stream that may be taken up.

        :raises NotRunError: if too few members have synced it, or another
            attempt has taken the stream up with the same number.
        """
        self._run_on_all(message, False)  # noqa: WPS425

    def read(self, stream: str) -> list[messages.StreamPart]:
        """Return the parts of a stream that a read quorum holds.

        :param stream: the attempt that brought its first event.
        :raises NotRunError: if too few members reply.
        """
        replies = self._run_on_all(
            stream_messages.ReadParts(stream),
            True,  # noqa: WPS425
        )
        return [part for held in replies.values() for part in held.parts]
