"""Estimate how much slower than usual a backend server's machine works.

Servers that share their machines report this figure with their answers. It
changes many times a second, so one figure says little about the next call,
and hosts that all followed it would send their calls to the same server. A
machine that stays slow shows in the mean of several figures.
"""

import math

AVERAGING_MS = 1000
"""Time constant of the mean: long compared with the changes of the figure,
short compared with the time for which a machine stays slow."""
MAX_SAMPLE_WEIGHT = 0.3
"""Upper bound of the weight of one figure after a pause without answers."""
MIN_BELIEF_MS = 500
"""Least age at which an estimate counts half."""
BELIEF_CALLS = 4
"""Age at which an estimate counts half, in mean durations of the server: a
figure holds for the calls that follow soon after it."""
MAX_RATIO = 10
"""Bound of a figure, so that one wrong figure does not last."""


class Slowdown:
    """The moving mean of one server's figures."""

    def __init__(self) -> None:
        """Create an estimate without figures: as fast as usual."""
        self._mean_ratio: float = 1
        self._updated_ms: float | None = None

    def record(self, ratio: float, now_ms: float) -> None:
        """Add a figure.

        :param ratio: how long work takes, relative to the usual time.
        """
        weight = MAX_SAMPLE_WEIGHT
        if self._updated_ms is not None:
            age_ms = now_ms - self._updated_ms
            weight = min(weight, 1 - math.exp(-age_ms / AVERAGING_MS))
        self._mean_ratio += (min(ratio, MAX_RATIO) - self._mean_ratio) * weight
        self._updated_ms = now_ms

    def ratio(self, call_ms: float, now_ms: float) -> float:
        """Return how long work is expected to take, relative to usual.

        :param call_ms: mean duration of the server's calls.
        """
        if self._updated_ms is None:
            return 1
        half_ms = max(MIN_BELIEF_MS, BELIEF_CALLS * call_ms)
        belief = half_ms / (half_ms + now_ms - self._updated_ms)
        return 1 + (self._mean_ratio - 1) * belief
