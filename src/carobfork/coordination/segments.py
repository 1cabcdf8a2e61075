"""Encode the segments of a journal and read journals.

A segment starts with the number of its last record. This distinguishes the
records held by peers in an outage from those already committed.
"""

from collections.abc import Sequence

import attrs

from carobfork import exceptions
from carobfork.coordination import ports
from carobfork.state import identifiers, records

_ROOT = 'journal'
_CHUNK_ROOT = 'chunks'


def segment_key(incarnation: identifiers.Incarnation, number: int) -> str:
    """Return the key of a journal's segment."""
    return f'{_ROOT}/{incarnation}/{number:08d}'


def chunk_prefix(incarnation: identifiers.Incarnation) -> str:
    """Return the key prefix of a journal's chunks."""
    return f'{_CHUNK_ROOT}/{incarnation}/'


def chunk_key(incarnation: identifiers.Incarnation, number: int) -> str:
    """Return the key of a chunk of compacted segments."""
    return f'{chunk_prefix(incarnation)}{number:08d}'


def pack(
    codec: ports.RecordCodec, last_record: int, encoded: Sequence[bytes]
) -> bytes:
    """Return a segment that holds the encoded records.

    :param last_record: the number of the last record.
    """
    header = codec.encode(records.SegmentStarted(last_record))
    return codec.pack([header, *encoded])


@attrs.frozen
class Tail:
    """Holds the numbers of the last segment and record of a journal.

    ``successor`` is the incarnation that sealed it, empty if none did.
    """

    number: int = 0
    last_record: int = 0
    successor: str = ''


@attrs.frozen
class JournalContent:
    """Holds all records of a journal in order."""

    tail: Tail
    records: list[records.Record]


class JournalReader:
    """Reads the journals of any incarnation.

    :param store: the platform's object API.
    :param codec: decodes segments.
    """

    def __init__(
        self, store: ports.ObjectStore, codec: ports.RecordCodec
    ) -> None:
        """Initialize the reader."""
        self._store = store
        self._codec = codec

    def numbers(self, incarnation: identifiers.Incarnation) -> list[int]:
        """Return the numbers of a journal's segments in order."""
        keys = self._store.list_keys(f'{_ROOT}/{incarnation}/')
        return [int(key.rpartition('/')[-1]) for key in keys]

    def tail(self, incarnation: identifiers.Incarnation) -> Tail:
        """Return the end of a journal."""
        numbers = self.numbers(incarnation)
        if not numbers:
            return Tail()
        found = self.segment(incarnation, numbers[-1])
        return _tail_of(numbers[-1], found)

    def segment(
        self, incarnation: identifiers.Incarnation, number: int
    ) -> list[records.Record]:
        """Return the records of a segment, none if it was deleted."""
        return self._object(segment_key(incarnation, number))

    def chunk(self, key: str) -> list[records.Record]:
        """Return the records of a chunk.

        :raises PlatformError: if the chunk is missing.
        """
        found = self._object(key)
        if not found:
            raise exceptions.PlatformError(
                f'chunk {key} is missing', step='read journal', peer='platform'
            )
        return found

    def read(self, incarnation: identifiers.Incarnation) -> JournalContent:
        """Return the records of a journal, its compacted part first."""
        numbered = [
            (number, self.segment(incarnation, number))
            for number in self.numbers(incarnation)
        ]
        if not numbered:
            return JournalContent(Tail(), [])
        manifest = last_manifest(found for _, found in numbered)
        content: list[records.Record] = []
        for key in manifest.chunks:
            content.extend(self.chunk(key))
        for number, found in numbered:
            if number > manifest.last_segment:
                content.extend(found)
        return JournalContent(
            _tail_of(*numbered[-1]),
            [record for record in content if not _is_frame(record)],
        )

    def _object(self, key: str) -> list[records.Record]:
        found = self._store.fetch(key)
        return self._codec.unpack(found.body) if found else []


def last_manifest(segments) -> records.Compacted:
    """Return the newest manifest in the segments, or an empty one."""
    manifest = records.Compacted(last_segment=0, chunks=())
    for segment in segments:
        for record in segment:
            if isinstance(record, records.Compacted):
                manifest = record
    return manifest


def _tail_of(number: int, segment: list[records.Record]) -> Tail:
    last_record = 0
    successor = ''
    for record in segment:
        if isinstance(record, records.SegmentStarted):
            last_record = record.last_record
        elif isinstance(record, records.Sealed):
            successor = record.successor
    return Tail(number, last_record, successor)


def _is_frame(record: records.Record) -> bool:
    return isinstance(record, records.JOURNAL_RECORDS)
