"""Seal the journal of another incarnation and read its records.

The conditional create of the next segment decides which of several hosts
takes the programs over, and it fences the former owner.
"""

from collections.abc import Iterator
from typing import Protocol

import attrs
import structlog

from carobfork import exceptions
from carobfork.coordination import holdings, journals, ports, segments
from carobfork.state import identifiers, records

logger = structlog.get_logger(part='seals')


class Holders(Protocol):
    """The peers that hold records for an incarnation."""

    def gather(
        self, incarnation: identifiers.Incarnation, tail: segments.Tail
    ) -> list[holdings.HeldRecord]:
        """Return the held records that are not committed, oldest first."""

    def forget(self, incarnation: identifiers.Incarnation) -> None:
        """Make all holders drop the records, which are all committed."""


class Sealer:
    """Seals the journals of dead or stopping incarnations.

    :param store: the platform's object API.
    :param codec: encodes the seal.
    :param holders: the peers that may hold an incarnation's records.
    """

    def __init__(
        self,
        store: ports.ObjectStore,
        codec: ports.RecordCodec,
        holders: Holders,
    ) -> None:
        """Initialize the sealer."""
        self.reader = segments.JournalReader(store, codec)
        self._store = store
        self._codec = codec
        self._holders = holders

    def seal(
        self,
        incarnation: identifiers.Incarnation,
        successor: identifiers.Incarnation,
    ) -> str:
        """Seal a journal and return the successor that its seal names.

        :raises PlatformError: if the platform did not answer. Callers retry,
            as the failed attempt may have taken effect.
        :raises ConnectionFailedError: if a live peer did not answer.
        """
        while True:
            tail = self.reader.tail(incarnation)
            if tail.successor:
                self._holders.forget(incarnation)
                return tail.successor
            held = self._holders.gather(incarnation, tail)
            self._close(incarnation, tail, held, successor)

    def _close(
        self,
        incarnation: identifiers.Incarnation,
        tail: segments.Tail,
        held: list[holdings.HeldRecord],
        successor: identifiers.Incarnation,
    ) -> None:
        number = tail.number
        last_record = tail.last_record
        seal = self._codec.encode(records.Sealed(str(successor)))
        try:
            for batch in _batches(held):
                number += 1
                last_record = batch[-1].number
                encoded = self._sealable(batch)
                self._create(incarnation, number, last_record, encoded)
            self._create(incarnation, number + 1, last_record, [seal])
        except exceptions.ConflictError:
            # The owner or another host created the segment first; the caller
            # reads the tail again.
            logger.info('A seal met a conflict.', peer=str(incarnation))

    def _sealable(self, batch: list[holdings.HeldRecord]) -> list[bytes]:
        """Return the encoded records without intents.

        A call is sent only after the platform has its intent. If a held
        intent were committed, the outcome of its call would be unknown,
        although the call never ran and cannot run after the seal.
        """
        return [
            entry.encoded
            for entry in batch
            if not isinstance(
                self._codec.decode(entry.encoded), records.IntentRecorded
            )
        ]

    def _create(
        self,
        incarnation: identifiers.Incarnation,
        number: int,
        last_record: int,
        encoded: list[bytes],
    ) -> None:
        key = segments.segment_key(incarnation, number)
        segment = segments.pack(self._codec, last_record, encoded)
        self._store.update(key, segment, expected_version=0)


@attrs.frozen
class JournalTree:
    """Holds the records of a journal and of all journals that it adopted.

    ``incarnations`` are those whose programs are among the records.
    """

    records: list[records.Record]
    incarnations: frozenset[identifiers.Incarnation]


class JournalTreeReader:
    """Reads a sealed journal and all journals that it adopted.

    :param sealer: seals journals whose adoption was not finished.
    """

    def __init__(self, sealer: Sealer) -> None:
        """Initialize the reader."""
        self._sealer = sealer

    def read(
        self,
        incarnation: identifiers.Incarnation,
        path: tuple[identifiers.Incarnation, ...],
    ) -> JournalTree:
        """Return the journal tree of an incarnation.

        :param path: the incarnations that adopted it, current owner first.
        """
        found: list[records.Record] = []
        incarnations = {incarnation}
        content = self._sealer.reader.read(incarnation)
        for record in content.records:
            if not isinstance(record, records.Adopted):
                found.append(record)
            elif record.merged:
                incarnations.add(record.incarnation)
            elif record.incarnation not in incarnations:
                tree = self._adopted(record, (*path, incarnation))
                found.extend(tree.records)
                incarnations |= tree.incarnations
        return JournalTree(found, frozenset(incarnations))

    def _adopted(
        self,
        record: records.Adopted,
        path: tuple[identifiers.Incarnation, ...],
    ) -> JournalTree:
        """Return an adopted journal tree, empty if another host won the seal.

        The adoption is recorded before the seal, so the seal decides. A
        missing seal is created here, because the failed adopter might still
        create it.
        """
        winner = self._sealer.seal(record.incarnation, path[0])
        if winner in {str(adopter) for adopter in path}:
            return self.read(record.incarnation, path)
        return JournalTree([], frozenset())


def _batches(
    entries: list[holdings.HeldRecord],
) -> Iterator[list[holdings.HeldRecord]]:
    batch: list[holdings.HeldRecord] = []
    size = 0
    for entry in entries:
        if batch and size + len(entry.encoded) > journals.MAX_SEGMENT_BYTES:
            yield batch
            batch = []
            size = 0
        batch.append(entry)
        size += len(entry.encoded)
    if batch:
        yield batch
