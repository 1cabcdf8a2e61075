"""Detectors: which hosts fell silent, by this process's clock alone."""

from collections.abc import Set

from carobfork import clock
from carobfork.state import identifiers

LIVENESS_TIMEOUT_MS = 3500
MIN_STALL_MS = 2000


class FailureDetector:
    """Declare a host dead after a silence.

    A process that stood still heard nobody; when it goes on, every silence
    is counted anew, or a thawed host would declare all others dead.

    :param timer: measures silence.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without having heard anyone."""
        self._timer = timer
        self._last_heartbeat_ms: dict[identifiers.Incarnation, float] = {}
        self._dead: set[identifiers.Incarnation] = set()
        self._ticked_ms = timer.now_ms()

    def record_heartbeat(self, incarnation: identifiers.Incarnation) -> None:
        """Note a sign of life."""
        self._last_heartbeat_ms[incarnation] = self._timer.now_ms()
        self._dead.discard(incarnation)

    def is_dead(self, incarnation: identifiers.Incarnation) -> bool:
        """Tell whether a host is taken for dead."""
        return incarnation in self._dead

    def start_round(self) -> bool:
        """Begin a round of checks; tell whether this process stood still."""
        now_ms = self._timer.now_ms()
        stalled = now_ms - self._ticked_ms > MIN_STALL_MS
        self._ticked_ms = now_ms
        if stalled:
            self._last_heartbeat_ms.clear()
        return stalled

    def check(self, incarnation: identifiers.Incarnation) -> bool:
        """Tell whether a host is newly taken for dead.

        The first check of a host starts its silence.
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
        """Forget all hosts but the known ones."""
        self._dead &= known
        for incarnation in self._last_heartbeat_ms.keys() - known:
            self._last_heartbeat_ms.pop(incarnation)
