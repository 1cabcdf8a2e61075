"""Keep the blocked requests of all entry hosts at a store host.

Every store host gets the reports of crashes itself and keeps them on its disk.
Store hosts tell each other of the requests that are blocked. So a restart of
all hosts unblocks none, and counts no request's crashes from the start.
"""

import random
from collections.abc import Iterable, Mapping

import gevent
import structlog
from gevent import event

from carobfork import clock
from carobfork.storage import crash_histories, disks, messages

CLEARED_TTL_MS = 60_000
"""How long reports about cleared requests are ignored."""
SAVE_INTERVAL_MS = 200
"""Time between two writes of crashes; a server that ends reports one for each
call that it had."""
_VERSION_RANGE = 1_000_000_000

logger = structlog.get_logger(part='blocks')


class RequestBlocks:
    """The crashes that entry hosts reported, and the blocked requests.

    :ivar version: changes when a request is blocked. Its first value is random,
        so that versions of another store host are not mistaken for it.
    :param disk: stores the blocked requests.
    :param timer: measures how long requests stay blocked.
    """

    def __init__(self, disk: disks.Disk, timer: clock.Clock) -> None:
        """Create the history with the blocked requests on the disk."""
        self.version = random.randrange(_VERSION_RANGE)
        self._disk = disk
        self._timer = timer
        self._history = crash_histories.CrashHistory(timer)
        self._cleared_ms: dict[str, float] = {}
        self._has_unsaved = event.Event()
        self._history.restore(disk.crash_files.load_crashes())
        stored = disk.crash_files.load_blocked()
        for fingerprint, left_ms in stored.items():
            self._history.block(fingerprint, left_ms)
        self._known = frozenset(stored)

    def add(self, crash: messages.Crash) -> None:
        """Count a crash that an entry host reports."""
        if not self._is_cleared(crash.fingerprint):
            self._history.add(
                crash.fingerprint,
                crash.server,
                crash.has_output,
                crash.request,
                crash.age_ms,
            )
            self._has_unsaved.set()
            self._save_new((crash.fingerprint,))

    def run(self) -> None:
        """Store crashes that were reported, as long as this host runs."""
        while True:
            self._has_unsaved.wait()
            self._has_unsaved.clear()
            self._disk.crash_files.save_crashes(self._history.dump())
            gevent.sleep(clock.to_seconds(SAVE_INTERVAL_MS))

    def merge(self, blocked: Mapping[str, float]) -> None:
        """Block the requests that another store host has blocked.

        :param blocked: how long each stays blocked, in ms.
        """
        unknown = [
            fingerprint
            for fingerprint in blocked.keys() - self._known
            if not self._is_cleared(fingerprint)
        ]
        for fingerprint in unknown:
            self._history.block(fingerprint, blocked[fingerprint])
        self._save_new(unknown)

    def clear(self, cleared: messages.CrashCleared) -> None:
        """Unblock requests that servers have answered.

        Reports about them are ignored for a while, since other store hosts
        may still tell that they are blocked.
        """
        fingerprint = cleared.fingerprint
        self._cleared_ms[fingerprint] = self._timer.now_ms()
        self._history.clear(fingerprint)
        self._has_unsaved.set()
        if fingerprint in self._known:
            logger.warning('requests unblocked', fingerprint=fingerprint)
            self._known -= {fingerprint}
            self._save()

    def weights(self, fingerprints: Iterable[str]) -> dict[str, int]:
        """Return the weights of crashes by fingerprint, without zeros."""
        weights = {
            fingerprint: self._history.weight(fingerprint)
            for fingerprint in fingerprints
        }
        return {name: weight for name, weight in weights.items() if weight}

    def blocked(self) -> dict[str, float]:
        """Return how long each blocked request stays blocked, in ms."""
        remaining = {
            fingerprint: self._history.left_ms(fingerprint)
            for fingerprint in self._known
        }
        return {name: left_ms for name, left_ms in remaining.items() if left_ms}

    def _save_new(self, fingerprints: Iterable[str]) -> None:
        """Store those of some fingerprints that are newly blocked."""
        new = {
            fingerprint
            for fingerprint in fingerprints
            if self._history.left_ms(fingerprint)
        } - self._known
        if new:
            logger.warning('requests blocked', fingerprints=sorted(new))
            self._known |= new
            self._save()

    def _save(self) -> None:
        self.version += 1
        blocked = self.blocked()
        self._known = frozenset(blocked)
        self._disk.crash_files.save_blocked(blocked)

    def _is_cleared(self, fingerprint: str) -> bool:
        cleared_ms = self._cleared_ms.get(fingerprint)
        if cleared_ms is None:
            return False
        if self._timer.now_ms() - cleared_ms < CLEARED_TTL_MS:
            return True
        self._cleared_ms.pop(fingerprint)
        return False
