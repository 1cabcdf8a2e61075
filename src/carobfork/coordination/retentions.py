"""Remove ended programs after a retention period."""

import gevent

from carobfork import clock
from carobfork.state import programs

RETENTION_MS = 600_000
CHECK_INTERVAL_MS = 5000


class Retention:
    """Removes ended programs after ``RETENTION_MS``.

    Each process measures the time itself, so a takeover restarts it.

    :param table: the programs.
    :param timer: measures the time since each program ended.
    """

    def __init__(
        self, table: programs.ProgramTable, timer: clock.Clock
    ) -> None:
        """Initialize without ended programs."""
        self._table = table
        self._timer = timer
        self._ended_ms: dict[str, float] = {}

    def run(self) -> None:
        """Remove programs periodically until the greenlet is killed."""
        while True:
            gevent.sleep(clock.to_seconds(CHECK_INTERVAL_MS))
            self.step()

    def step(self) -> None:
        """Remove the programs whose retention period has passed."""
        now_ms = self._timer.now_ms()
        ended = self._ended()
        self._ended_ms = {
            name: self._ended_ms.get(name, now_ms) for name in ended
        }
        for name, since_ms in self._ended_ms.items():
            if now_ms - since_ms >= RETENTION_MS:
                self._table.programs.pop(name, None)

    def _ended(self) -> list[str]:
        """Return the ended programs, sub-agents only after their parent."""
        return [
            name
            for name, program in self._table.programs.items()
            if program.closed_reason
            and program.parent not in self._table.programs
        ]
