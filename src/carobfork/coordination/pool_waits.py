"""Remember the expected waits that the pools' hosts last reported.

The waits are for slots on a pool's workers, its backend servers.
"""

import attrs

from carobfork import clock

WAIT_TTL_MS = 2000


@attrs.frozen
class _Wait:
    wait_ms: float
    recorded_ms: float


class WaitTable:
    """Expected waits by pool and rank, each valid for ``WAIT_TTL_MS``.

    :param timer: the clock for the age of the entries.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create an empty table."""
        self._timer = timer
        self._waits: dict[tuple[str, int], _Wait] = {}

    def record(self, pool: str, rank: int, wait_ms: float) -> None:
        """Record the expected wait of a rank at a pool."""
        self._waits[pool, rank] = _Wait(wait_ms, self._timer.now_ms())

    def get_ms(self, pool: str, rank: int) -> float:
        """Return the expected wait of a rank, 0 if unknown or expired."""
        wait = self._waits.get((pool, rank))
        if (
            wait is None
            or self._timer.now_ms() - wait.recorded_ms > WAIT_TTL_MS
        ):
            return 0
        return wait.wait_ms
