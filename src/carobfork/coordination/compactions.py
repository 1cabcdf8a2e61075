"""Compact journals to bound their size and the data read at a restart.

Committed segments are merged into chunks that leave out the records no longer
needed to restore programs; a manifest in the journal then replaces the
segments by the chunks. Chunks whose records are mostly live are kept
unchanged, so that a long history is not copied by every compaction. Journals
of adopted incarnations are merged the same way.
"""

import itertools

import attrs
import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.coordination import (
    chunks,
    homes,
    journals,
    ports,
    seals,
    segments,
    takeovers,
)
from carobfork.state import identifiers, records

CHECK_INTERVAL_MS = 1000
COMPACT_AFTER_SEGMENTS = 100
MANIFEST_TIMEOUT_MS = 10_000
DELETE_INTERVAL_MS = 20

logger = structlog.get_logger(part='compactions')


@attrs.define
class _Progress:
    """Holds what the compactions of one journal have written and deleted."""

    journal: journals.Journal
    manifest: records.Compacted = records.Compacted(0, ())
    written: dict[str, chunks.ChunkSummary] = attrs.Factory(dict)
    deleted_segment: int = 0
    merged: list[identifiers.Incarnation] = attrs.Factory(list)


class Compactor:
    """Compacts the journal of this host.

    :param store: the platform's object API.
    :param codec: encodes chunks.
    :param home: provides the journal and the live programs.
    :param adoptions: provides the incarnations whose journals are merged.
    :param sealer: reads the journals that are merged.
    """

    def __init__(
        self,
        store: ports.ObjectStore,
        codec: ports.RecordCodec,
        home: homes.Home,
        adoptions: takeovers.Takeovers,
        sealer: seals.Sealer,
    ) -> None:
        """Initialize the compactor with nothing compacted."""
        self.compactions = 0
        self._store = store
        self._codec = codec
        self._home = home
        self._adoptions = adoptions
        self._sealer = sealer
        self._tree_reader = seals.JournalTreeReader(sealer)
        self._numbers = itertools.count(1)
        self._progress = _Progress(home.journal)

    def run(self) -> None:
        """Compact periodically until the greenlet is killed."""
        while True:
            gevent.sleep(clock.to_seconds(CHECK_INTERVAL_MS))
            try:
                self.step()
            except exceptions.CarobforkError as error:
                logger.warning('Journal compaction failed.', error=str(error))

    def step(self, min_segments: int = COMPACT_AFTER_SEGMENTS) -> None:
        """Compact if enough segments were committed since the last run.

        :param min_segments: number of new segments that is enough.
        :raises PlatformError: if the platform did not answer.
        """
        journal = self._home.journal
        if journal is not self._progress.journal:
            self._progress = _Progress(journal)
        last_segment = journal.segments.last_number
        fresh = last_segment - self._progress.manifest.last_segment
        if journal.sealed or journal.stalled or fresh < min_segments:
            return
        self._compact(self._progress, last_segment)
        self._delete(self._progress)
        self.compactions += 1

    def _compact(self, progress: _Progress, last_segment: int) -> None:
        writer = self._writer(progress)
        for key in progress.manifest.chunks:
            self._copy_chunk(writer, key, progress.written[key])
        merged = []
        own = progress.journal.incarnation
        start = progress.manifest.last_segment + 1
        for number in range(start, last_segment + 1):
            for record in self._sealer.reader.segment(own, number):
                merged.extend(self._copy(writer, record, own))
        manifest = records.Compacted(last_segment, tuple(writer.close()))
        progress.journal.append(manifest, MANIFEST_TIMEOUT_MS)
        progress.manifest = manifest
        progress.merged.extend(merged)
        self._adoptions.prune()

    def _writer(self, progress: _Progress) -> chunks.ChunkWriter:
        return chunks.ChunkWriter(
            self._store,
            self._codec,
            lambda: segments.chunk_key(
                progress.journal.incarnation, next(self._numbers)
            ),
            progress.written,
        )

    def _copy_chunk(
        self,
        writer: chunks.ChunkWriter,
        key: str,
        summary: chunks.ChunkSummary,
    ) -> None:
        if summary.is_worth_keeping(self._home.table.programs):
            writer.add_existing(key)
            return
        for record in self._sealer.reader.chunk(key):
            self._copy_live(writer, record)

    def _copy(
        self,
        writer: chunks.ChunkWriter,
        record: records.Record,
        own: identifiers.Incarnation,
    ) -> frozenset[identifiers.Incarnation]:
        """Copy a record and return the incarnations merged in its place."""
        if not isinstance(record, records.Adopted) or record.merged:
            self._copy_live(writer, record)
            return frozenset()
        if record.incarnation not in self._adoptions.adopted:
            if record.incarnation not in self._adoptions.lost:
                writer.add(record)
            return frozenset()
        tree = self._tree_reader.read(record.incarnation, (own,))
        for adopted in tree.records:
            self._copy_live(writer, adopted)
        for incarnation in sorted(tree.incarnations):
            self._copy_live(writer, records.Adopted(incarnation, merged=True))
        return tree.incarnations

    def _copy_live(
        self, writer: chunks.ChunkWriter, record: records.Record
    ) -> None:
        if chunks.is_live(record, self._home.table):
            writer.add(record)

    def _delete(self, progress: _Progress) -> None:
        """Delete the objects that the manifest replaced, except for seals."""
        own = progress.journal.incarnation
        last_segment = progress.manifest.last_segment
        while progress.deleted_segment < last_segment:
            number = progress.deleted_segment + 1
            self._delete_object(segments.segment_key(own, number))
            progress.deleted_segment = number
        for key in set(progress.written) - set(progress.manifest.chunks):
            self._delete_object(key)
            progress.written.pop(key)
        while progress.merged:
            self._delete_merged(progress.merged[-1])
            progress.merged.pop()

    def _delete_merged(self, incarnation: identifiers.Incarnation) -> None:
        numbers = self._sealer.reader.numbers(incarnation)
        for number in numbers[:-1]:
            self._delete_object(segments.segment_key(incarnation, number))
        for key in self._store.list_keys(segments.chunk_prefix(incarnation)):
            self._delete_object(key)

    def _delete_object(self, key: str) -> None:
        self._store.delete(key)
        gevent.sleep(clock.to_seconds(DELETE_INTERVAL_MS))
