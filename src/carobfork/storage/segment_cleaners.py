"""Remove files of records that are not needed any more."""

from collections.abc import Callable

import gevent
import structlog

from carobfork import clock
from carobfork.storage import record_indexes, segments

INTERVAL_MS = 5000

logger = structlog.get_logger(part='disk')


class SegmentCleaner:
    """Remove the expired segments of one disk.

    A program may go on for longer than the records of its first turns, so its
    charges are written to the newest file before an older one is removed.

    :param index: knows which records are needed.
    :param files: the record files.
    :param write: writes records and returns whether they are on the disk.
    """

    def __init__(
        self,
        index: record_indexes.RecordIndex,
        files: segments.Segments,
        write: Callable[[list[record_indexes.Record]], bool],
    ) -> None:
        """Create a cleaner that removes nothing until it runs."""
        self._index = index
        self._files = files
        self._write = write

    def run(self, known_until_ms: Callable[[], float]) -> None:
        """Remove expired segments until the greenlet is killed.

        :param known_until_ms: returns the time until which this host knows all
            records, by the wall clock.
        """
        while True:
            gevent.sleep(clock.to_seconds(INTERVAL_MS))
            for segment in self._index.expire(known_until_ms()):
                self._remove(segment)

    def _remove(self, segment: int) -> None:
        """Remove a segment, unless its charges can't be moved yet."""
        charges = self._index.live_charges(segment)
        if self._write(charges):
            self._index.charge_index.forget_segment(segment)
            self._index.segment_retention.forget(segment)
            self._files.remove(segment)
            logger.info('segment removed', segment=segment, moved=len(charges))
