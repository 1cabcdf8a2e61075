"""Estimate how much of its processor an entry host uses for calls."""

import math

from carobfork import clock

REQUEST_CORE_MS = 2
"""Processor time of a request: 1.8 ms of a plain call, 2.1 ms of a stream
(docs/design/platform.md)."""
AVERAGING_MS = 1000
"""Time constant of the mean: some reports, and as long as callers keep a
directory's answer."""


class BusyMeter:
    """Moving mean of the processor that requests use.

    Requests are counted, since the processor time of a process also holds its
    start and what it spends on other hosts.

    :ivar cores: the processor in use, in cores.
    :param timer: clock for the time between two readings.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create a meter that has seen no request."""
        self._timer = timer
        self.cores: float = 0
        self._requests = 0
        self._updated_ms = timer.now_ms()

    def update(self, requests: int) -> float:
        """Return the processor in use, in cores.

        :param requests: number of requests since the start of the process.
        """
        now_ms = self._timer.now_ms()
        span_ms = now_ms - self._updated_ms
        if span_ms > 0:
            cores = (requests - self._requests) * REQUEST_CORE_MS / span_ms
            weight = 1 - math.exp(-span_ms / AVERAGING_MS)
            self.cores += (cores - self.cores) * weight
            self._requests = requests
            self._updated_ms = now_ms
        return self.cores
