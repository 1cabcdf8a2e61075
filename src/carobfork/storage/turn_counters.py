"""Boards: which backend servers the open turns run on.

Every turn is begun and finished at the store hosts, so they know of all
turns of all entry hosts within milliseconds, while sums of what entry hosts
tell of themselves are some hundred milliseconds old.
"""

import collections

from carobfork import clock

OPEN_TURN_TTL_MS = 5000
"""A turn that was neither finished nor settled by then lost its host."""


class TurnCounter:
    """Count open turns by backend server.

    :param timer: measures ages.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without turns."""
        self._timer = timer
        self._open_turns: dict[str, tuple[str, float]] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    def assign(self, attempt: str, worker: str) -> None:
        """Note that a turn is about to run on a server."""
        self.remove(attempt)
        if worker:
            self._open_turns[attempt] = (worker, self._timer.now_ms())
            self._counts[worker] += 1

    def remove(self, attempt: str) -> None:
        """Note that a turn has ended."""
        worker, _since_ms = self._open_turns.pop(attempt, ('', 0))
        if worker:
            self._counts[worker] -= 1

    def counts(self) -> dict[str, int]:
        """Return the open turns by server, without idle ones."""
        self._expire()
        return {name: count for name, count in self._counts.items() if count}

    def _expire(self) -> None:
        oldest_ms = self._timer.now_ms() - OPEN_TURN_TTL_MS
        while self._open_turns:
            attempt = next(iter(self._open_turns))
            if self._open_turns[attempt][1] > oldest_ms:
                return
            self.remove(attempt)
