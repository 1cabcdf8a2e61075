"""Schedule sends at a rate, without credit for times that were not used."""

import math

from carobfork import clock

PERMIT_TTL_MS = 300
"""How long a send time may be used. Credit for idle time would let all hosts
send at the same moment after a pause."""
MIN_RATE_PER_S = 0.2
"""Rate at which a server with a smaller limit still gets requests: only its
answers tell when the limit has ended."""


def usable_rate(limit_per_s: float) -> float:
    """Return the rate at which a server with a limit gets requests."""
    return max(limit_per_s, MIN_RATE_PER_S)


class RateSchedule:
    """Evenly spaced times at which one request each may be sent.

    :param first_ms: the first of these times.
    """

    def __init__(self, first_ms: float) -> None:
        """Create a schedule of which no time is reserved."""
        self._next_ms = first_ms
        self._last_ms: float | None = None
        self._interval_ms: float = 0

    def reserve(
        self, rate_per_s: float, now_ms: float, max_wait_ms: float
    ) -> float | None:
        """Reserve the next time and return the wait until it, in ms.

        :param rate_per_s: times per second, above 0.
        :param max_wait_ms: the longest acceptable wait. If the next time is
            further away, ``None`` is returned and nothing is reserved.
        """
        self._update_interval(rate_per_s, now_ms)
        self._skip_expired(now_ms)
        wait_ms = max(0, self._next_ms - now_ms)
        if wait_ms > max_wait_ms:
            return None
        self._last_ms = self._next_ms
        self._next_ms += self._interval_ms
        return wait_ms

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until the next unreserved time."""
        return max(0, self._next_ms - now_ms)

    def _update_interval(self, rate_per_s: float, now_ms: float) -> None:
        """Change the rate; times that are reserved still count.

        Limits may move with each answer, and each host's share of one with
        the number of hosts.
        """
        interval_ms = clock.MS_PER_SECOND / rate_per_s
        if interval_ms == self._interval_ms:
            return
        self._interval_ms = interval_ms
        if self._last_ms is None:
            self._next_ms = min(self._next_ms, now_ms + interval_ms)
        else:
            # Not before now: the lower rate before a rise leaves no credit.
            self._next_ms = max(
                self._last_ms + interval_ms, min(self._next_ms, now_ms)
            )

    def _skip_expired(self, now_ms: float) -> None:
        late_ms = now_ms - PERMIT_TTL_MS - self._next_ms
        if late_ms > 0:
            skipped = math.ceil(late_ms / self._interval_ms)
            self._next_ms += skipped * self._interval_ms
