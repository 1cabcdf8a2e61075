"""Follow the platform's objects of one kind: list them, then watch changes."""

import random
from collections.abc import Callable

import attrs
import gevent
import structlog
from gevent import event

from carobfork import clock, exceptions
from carobfork.platform import decoding, objects

FIRST_RETRY_MS = 100
"""Upper bound of the first pause after a failure; it doubles with each one."""
MAX_RETRY_MS = 800
"""Much shorter than the time within which a configuration must take effect."""

logger = structlog.get_logger(part='platform')


@attrs.frozen
class Snapshot:
    """All objects of a kind.

    :param stored_objects: the objects that exist.
    :param revision: the store's revision at which they were read.
    :param was_unreachable: whether the store was unreachable before.
    """

    stored_objects: list[decoding.StoredObject]
    revision: int
    was_unreachable: bool = False


OnSnapshot = Callable[[Snapshot], None]


class Follower:
    """Follower of the platform's objects of one kind.

    :param store: client of the platform's store.
    :param kind: kind of the objects.
    :param on_snapshot: called with all objects after each change.
    :param needed: set while no other host reports the objects, so that they
        have to be followed; by default they always are.
    :param on_current: called whenever all changes are known.
    :param watch_ms: how long the store may wait for a change before it
        answers that there was none; by default, that is long.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        kind: str,
        on_snapshot: OnSnapshot,
        needed: event.Event | None = None,
        on_current: Callable[[], None] | None = None,
        watch_ms: float | None = None,
    ) -> None:
        """Create a follower that knows no objects."""
        self._store = store
        self._kind = kind
        self._on_snapshot = on_snapshot
        self._needed = needed
        self._on_current = on_current
        self._watch_ms = watch_ms
        self._present: dict[str, decoding.StoredObject] = {}
        self._revision: int | None = None
        self._failures = 0

    def run(self) -> None:
        """Follow until the greenlet is killed, from a listing on."""
        self._revision = None
        while True:
            self._wait_until_needed()
            try:
                self._step()
                if self._on_current:
                    self._on_current()
            except objects.HistoryGoneError:
                logger.info('listing again', kind=self._kind)
                self._revision = None
            except exceptions.PlatformError as error:
                # A watch from an old revision may hang while the store drops
                # its history; a listing is always current.
                self._revision = None
                self._wait_after(error)

    @property
    def is_fresh(self) -> bool:
        """Whether the objects were listed and are being watched."""
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
        changes = self._store.watch(self._kind, self._revision, self._watch_ms)
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
