"""Detect failed hosts by the local clock alone."""

from collections.abc import Set

from carobfork import clock
from carobfork.state import identifiers

LIVENESS_TIMEOUT_MS = 3500
MIN_STALL_MS = 2000


class FailureDetector:
    """Declares a host dead when its heartbeats stop.

    A process that was suspended received no heartbeats. When it resumes, all
    timeouts start again; otherwise it would declare every other host dead.

    :param timer: measures the time since the last heartbeat.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Initialize the detector without heartbeats."""
        self._timer = timer
        self._last_heartbeat_ms: dict[identifiers.Incarnation, float] = {}
        self._dead: set[identifiers.Incarnation] = set()
        self._ticked_ms = timer.now_ms()

    def record_heartbeat(self, incarnation: identifiers.Incarnation) -> None:
        """Record a heartbeat of a host."""
        self._last_heartbeat_ms[incarnation] = self._timer.now_ms()
        self._dead.discard(incarnation)

    def is_dead(self, incarnation: identifiers.Incarnation) -> bool:
        """Return whether a host is declared dead."""
        return incarnation in self._dead

    def start_round(self) -> bool:
        """Start a round and return whether this process was suspended."""
        now_ms = self._timer.now_ms()
        stalled = now_ms - self._ticked_ms > MIN_STALL_MS
        self._ticked_ms = now_ms
        if stalled:
            self._last_heartbeat_ms.clear()
        return stalled

    def check(self, incarnation: identifiers.Incarnation) -> bool:
        """Check a host and return whether it is newly declared dead.

        The first check of a host starts its timeout.
        """
        now_ms = self._timer.now_ms()
        heard_ms = self._last_heartbeat_ms.setdefault(incarnation, now_ms)
        if (
            incarnation in self._dead
            or now_ms - heard_ms <= LIVENESS_TIMEOUT_MS
        ):
            return False
        self._dead.add(incarnation)
        return True

    def retain_only(self, known: Set[identifiers.Incarnation]) -> None:
        """Remove all hosts except the known ones."""
        self._dead &= known
        for incarnation in self._last_heartbeat_ms.keys() - known:
            self._last_heartbeat_ms.pop(incarnation)
