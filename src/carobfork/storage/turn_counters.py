"""Count the open turns on each backend server.

Every turn begins and finishes at the store hosts, so they know the turns of
all entry hosts within milliseconds. Totals of the entry hosts' own load
reports are a few hundred milliseconds old.
"""

import collections

from carobfork import clock

OPEN_TURN_TTL_MS = 5000
"""Age at which a turn stops counting: if it is neither finished nor settled by
then, its entry host was lost."""


class TurnCounter:
    """The open turns, counted by backend server.

    :param timer: measures the age of turns.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create a counter without turns."""
        self._timer = timer
        self._open_turns: dict[str, tuple[str, float]] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    def assign(self, attempt: str, worker: str) -> None:
        """Count a turn on the backend server that it runs on.

        A turn that was assigned before moves to the new worker; without a
        worker it is no longer counted.
        """
        self.remove(attempt)
        if worker:
            self._open_turns[attempt] = (worker, self._timer.now_ms())
            self._counts[worker] += 1

    def remove(self, attempt: str) -> None:
        """Stop counting a turn that has ended; unknown turns are ignored."""
        worker, _since_ms = self._open_turns.pop(attempt, ('', 0))
        if worker:
            self._counts[worker] -= 1

    def counts(self) -> dict[str, int]:
        """Return the number of open turns by worker, without idle workers."""
        self._expire()
        return {name: count for name, count in self._counts.items() if count}

    def _expire(self) -> None:
        oldest_ms = self._timer.now_ms() - OPEN_TURN_TTL_MS
        while self._open_turns:
            attempt = next(iter(self._open_turns))
            if self._open_turns[attempt][1] > oldest_ms:
                return
            self.remove(attempt)
