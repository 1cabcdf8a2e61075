"""Pool waits: how long calls wait at the pools, as their hosts last said."""

import attrs

from carobfork import clock

WAIT_TTL_MS = 2000


@attrs.frozen
class _Wait:
    wait_ms: float
    recorded_ms: float


class WaitTable:
    """Remember expected waits for a short time.

    :param timer: ages them.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without any."""
        self._timer = timer
        self._waits: dict[tuple[str, int], _Wait] = {}

    def record(self, pool: str, rank: int, wait_ms: float) -> None:
        """Remember what a rank must wait at a pool."""
        self._waits[pool, rank] = _Wait(wait_ms, self._timer.now_ms())

    def get_ms(self, pool: str, rank: int) -> float:
        """Return what a rank must wait, 0 where it is not known."""
        wait = self._waits.get((pool, rank))
        if (
            wait is None
            or self._timer.now_ms() - wait.recorded_ms > WAIT_TTL_MS
        ):
            return 0
        return wait.wait_ms
