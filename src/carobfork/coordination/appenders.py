"""Create the segments of a journal, each exactly once."""

import gevent

from carobfork import clock, exceptions
from carobfork.coordination import ports, segments
from carobfork.state import identifiers

RETRY_DELAY_MS = 200
_STEP = 'append'
_PEER = 'platform'


class SegmentAppender:
    """Appends segments by conditional create, retrying until they exist.

    :param store: the platform's object API.
    :param incarnation: the owner of the journal.
    """

    def __init__(
        self, store: ports.ObjectStore, incarnation: identifiers.Incarnation
    ) -> None:
        """Initialize the appender before the first segment."""
        self.last_number = 0
        self.stalled = False
        """Whether the last create attempt failed without an answer."""
        self.writes = 0
        self._store = store
        self._incarnation = incarnation
        self._closed = False

    def append(self, segment: bytes) -> None:
        """Create the next segment, retrying while the platform is down.

        :param segment: the packed records.
        :raises SealedError: if another host has sealed the journal.
        """
        key = segments.segment_key(self._incarnation, self.last_number + 1)
        while not self._create(key, segment):
            # A create may take effect although its answer is lost. The next
            # attempt then conflicts, and reading the object back settles it.
            self.stalled = True
            gevent.sleep(clock.to_seconds(RETRY_DELAY_MS))
        self.stalled = False
        self.last_number += 1

    def close(self) -> None:
        """Reject all further segments."""
        self._closed = True

    def _create(self, key: str, segment: bytes) -> bool:
        """Try once and return whether the segment exists."""
        if self._closed:
            raise sealed_error(self._incarnation)
        self.writes += 1
        try:
            self._store.update(key, segment, expected_version=0)
        except exceptions.ConflictError:
            return self._is_own(key, segment)
        except exceptions.PlatformError:
            return False
        return True

    def _is_own(self, key: str, segment: bytes) -> bool:
        """Return whether the conflicting object is this host's own write.

        :raises SealedError: if another host wrote it to seal the journal.
        """
        try:
            found = self._store.fetch(key)
        except exceptions.PlatformError:
            return False
        if found is None:
            return False
        if found.body != segment:
            raise sealed_error(self._incarnation)
        return True


def sealed_error(
    incarnation: identifiers.Incarnation,
) -> exceptions.SealedError:
    """Return the error for appends to a journal sealed by another host."""
    return exceptions.SealedError(
        f'the journal of {incarnation} is sealed: it was taken over',
        step=_STEP,
        peer=_PEER,
    )
