"""Followers: objects of one kind, listed once and then watched."""

import random
from collections.abc import Callable

import attrs
import gevent
import structlog
from gevent import event

from carobfork import clock, exceptions
from carobfork.platform import decoding, objects

FIRST_RETRY_MS = 100
MAX_RETRY_MS = 800
"""Short against the time in which a configuration must be in force."""

logger = structlog.get_logger(part='platform')


@attrs.frozen
class Snapshot:
    """All present objects of a kind.

    :param revision: the store's revision at which they were seen.
    :param was_unreachable: whether the store was out of reach before.
    """

    stored_objects: list[decoding.StoredObject]
    revision: int
    was_unreachable: bool = False


OnSnapshot = Callable[[Snapshot], None]


class Follower:
    """Follow a kind of objects.

    :param store: where they live.
    :param kind: their kind.
    :param on_snapshot: takes the objects after each change.
    :param needed: set while nobody else tells of the objects; by default
        it always is.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        kind: str,
        on_snapshot: OnSnapshot,
        needed: event.Event | None = None,
    ) -> None:
        """Start without objects."""
        self._store = store
        self._kind = kind
        self._on_snapshot = on_snapshot
        self._needed = needed
        self._present: dict[str, decoding.StoredObject] = {}
        self._revision: int | None = None
        self._failures = 0

    def run(self) -> None:
        """Follow until the greenlet is killed."""
        while True:
            self._wait_until_needed()
            try:
                self._step()
            except objects.HistoryGoneError:
                logger.info('listing again', kind=self._kind)
                self._revision = None
            except exceptions.PlatformError as error:
                # A watch from an old revision may wait without an answer
                # where history is being dropped; a listing is never old.
                self._revision = None
                self._wait_after(error)

    @property
    def is_fresh(self) -> bool:
        """Whether the store told of the last change there was."""
        return self._revision is not None

    def _wait_until_needed(self) -> None:
        if self._needed is not None and not self._needed.is_set():
            self._revision = None
            self._needed.wait()

    def _step(self) -> None:
        was_unreachable = self._failures > 0
        if self._revision is None:
            listing = self._store.list(self._kind)
            self._present = {entry.name: entry for entry in listing.items}
            self._revision = listing.revision
            self._report(was_unreachable)
            return
        changes = self._store.watch(self._kind, self._revision)
        for stored, is_removed in changes.events:
            self._apply(stored, is_removed)
        self._revision = changes.revision
        if changes.events or was_unreachable:
            self._report(was_unreachable)

    def _report(self, was_unreachable: bool) -> None:
        if was_unreachable:
            logger.info(
                'platform regained', kind=self._kind, failures=self._failures
            )
        self._failures = 0
        present = list(self._present.values())
        self._on_snapshot(Snapshot(present, self._revision, was_unreachable))

    def _apply(self, stored: decoding.StoredObject, is_removed: bool) -> None:
        known = self._present.get(stored.name)
        if known is not None and known.revision > stored.revision:
            return
        if is_removed:
            self._present.pop(stored.name, None)
        else:
            self._present[stored.name] = stored

    def _wait_after(self, error: exceptions.PlatformError) -> None:
        if not self._failures:
            logger.warning(
                'platform lost', kind=self._kind, reason=error.message
            )
        pause_ms = min(FIRST_RETRY_MS * 2**self._failures, MAX_RETRY_MS)
        self._failures = min(self._failures + 1, 10)
        gevent.sleep(clock.to_seconds(pause_ms * random.uniform(0.5, 1)))
