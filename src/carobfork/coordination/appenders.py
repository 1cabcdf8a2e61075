"""Appenders: create a journal's segments, each exactly once."""

import gevent

from carobfork import clock, exceptions
from carobfork.coordination import ports, segments
from carobfork.state import identifiers

RETRY_DELAY_MS = 200
_STEP = 'append'
_PEER = 'platform'


class SegmentAppender:
    """Create the next segment by conditional create until it is there.

    :param store: the platform's object API.
    :param incarnation: the journal's owner.
    """

    def __init__(
        self, store: ports.ObjectStore, incarnation: identifiers.Incarnation
    ) -> None:
        """Start before the first segment."""
        self.last_number = 0
        self.stalled = False
        """Whether the platform did not answer the last attempt."""
        self.writes = 0
        self._store = store
        self._incarnation = incarnation
        self._closed = False

    def append(self, segment: bytes) -> None:
        """Create the next segment, however long the platform is down.

        :raises SealedError: another host created it.
        """
        key = segments.segment_key(self._incarnation, self.last_number + 1)
        while not self._create(key, segment):
            # The answer may be lost after it took effect: the next attempt
            # then conflicts, and reading back settles it.
            self.stalled = True
            gevent.sleep(clock.to_seconds(RETRY_DELAY_MS))
        self.stalled = False
        self.last_number += 1

    def close(self) -> None:
        """Create no further segments."""
        self._closed = True

    def _create(self, key: str, segment: bytes) -> bool:
        """Try once, and say whether the segment is there."""
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
        """Settle a conflict: this host's own write, or another's seal."""
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
    """Return the error of a journal that another host sealed."""
    return exceptions.SealedError(
        f'{incarnation} was taken over', step=_STEP, peer=_PEER
    )
