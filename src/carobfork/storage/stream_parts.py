"""Serve requests about the parts of streams on one disk."""

from collections.abc import Callable
from typing import Any

from carobfork.storage import (
    disks,
    messages,
    record_indexes,
    stream_messages,
)

ReplyCallback = Callable[[Any], None]


class StreamParts:
    """The parts of streams that one store host keeps.

    :param disk: stores them.
    """

    def __init__(self, disk: disks.Disk) -> None:
        """Serve the parts on a disk."""
        self._disk = disk

    def store(
        self, message: stream_messages.StorePart, reply: ReplyCallback
    ) -> None:
        """Store a part, unless its number belongs to another attempt."""
        index = self._disk.index
        record = index.new_record(_make_charge(message), message.retain_ms)
        if not index.parts.claim(
            message.part, record.written_ms + record.retain_ms
        ):
            self._refuse('taken', reply)
            return
        self._disk.submit(
            disks.Submission(
                [record],
                lambda: reply(messages.Done()),
                lambda: self._refuse('failed', reply),
            )
        )

    def read(
        self, message: stream_messages.ReadParts, reply: ReplyCallback
    ) -> None:
        """Reply with the parts of a stream, if all records are held here."""
        if not self._disk.identity.is_complete:
            self._refuse('filling', reply)
            return
        encoded = self._disk.index.parts.read(message.stream)
        records = map(record_indexes.decode_record, encoded)
        reply(
            stream_messages.StreamParts(
                [record.entry.part for record in records]
            )
        )

    def _refuse(self, reason: str, reply: ReplyCallback) -> None:
        reply(messages.Refused(reason, self._disk.identity.group))


def _make_charge(message: stream_messages.StorePart) -> messages.Charge:
    """Return the charge that a part is kept as, with a name of its own."""
    part = message.part
    name = f'{part.attempt}#{part.position}'
    return messages.Charge(
        name,
        name,
        tokens=0,
        is_settled=True,
        retain_ms=message.retain_ms,
        part=part,
    )
