"""Counted stores: the platform's object API with its calls counted."""

import collections
from collections.abc import Callable
from typing import TypeVar

import attrs

from carobfork import clock, exceptions
from carobfork.coordination import ports

Found = TypeVar('Found')

DONE = 'done'
CONFLICT = 'conflict'
FAILED = 'failed'


@attrs.frozen
class PlatformCall:
    """One kind of call to the platform and how it ended."""

    operation: str
    ending: str


class CountedStore:
    """Count calls and tell how long the platform has been answering.

    :param store: the platform's object API.
    :param timer: measures silence.
    """

    def __init__(self, store: ports.ObjectStore, timer: clock.Clock) -> None:
        """Start without calls."""
        self.counts: collections.Counter[PlatformCall] = collections.Counter()
        self.failures_in_row = 0
        self._store = store
        self._timer = timer
        self._answered_ms = timer.now_ms()

    @property
    def silent_ms(self) -> float:
        """Time since the platform last answered, in ms."""
        return self._timer.now_ms() - self._answered_ms

    def fetch(self, key: str) -> ports.StoredObject | None:
        """Return an object, or nothing where it does not exist."""
        return self._call('fetch', lambda: self._store.fetch(key))

    def update(self, key: str, body: bytes, expected_version: int) -> int:
        """Replace an object of this version and return the new version."""
        return self._call(
            'update', lambda: self._store.update(key, body, expected_version)
        )

    def delete(self, key: str) -> None:
        """Remove an object if it exists."""
        self._call('delete', lambda: self._store.delete(key))

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that start with ``prefix``, sorted."""
        return self._call('list', lambda: self._store.list_keys(prefix))

    def watch(
        self, prefix: str, since_revision: int
    ) -> tuple[int, list[ports.StoredObject]]:
        """Wait for changes after a revision."""
        return self._call(
            'watch', lambda: self._store.watch(prefix, since_revision)
        )

    def _call(self, operation: str, action: Callable[[], Found]) -> Found:
        try:
            found = action()
        except exceptions.ConflictError:
            self._note(operation, CONFLICT)
            raise
        except exceptions.CarobforkError:
            self.failures_in_row += 1
            self.counts[PlatformCall(operation, FAILED)] += 1
            raise
        self._note(operation, DONE)
        return found

    def _note(self, operation: str, ending: str) -> None:
        self.counts[PlatformCall(operation, ending)] += 1
        self.failures_in_row = 0
        self._answered_ms = self._timer.now_ms()
