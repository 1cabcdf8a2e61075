"""Model how a backend server's time between tokens grows with its batch.

A line is fitted to the reports of the hosts that hold slots. The weight of a
report decays with each later one.
"""

import math

_DECAY = 0.98
_MIN_VARIANCE = 1e-6
_MIN_SLOTS = 1


class LatencyModel:
    """Weighted linear regression of time between tokens on slots in use."""

    def __init__(self) -> None:
        """Create a model without reports."""
        self._weight = 0
        self._busy = 0
        self._between_ms = 0
        self._busy_squared = 0
        self._product = 0

    def observe(self, busy: int, between_tokens_ms: float) -> None:
        """Update the model with a call's report.

        :param busy: slots that were held when the call ended.
        :param between_tokens_ms: mean time between the call's tokens.
        """
        self._weight = self._weight * _DECAY + 1
        self._busy = self._busy * _DECAY + busy
        self._between_ms = self._between_ms * _DECAY + between_tokens_ms
        self._busy_squared = self._busy_squared * _DECAY + busy * busy
        self._product = self._product * _DECAY + busy * between_tokens_ms

    def max_slots(self, target_ms: float) -> float:
        """Return the number of slots that meets a target.

        It is at least one, and infinite if there are no reports.

        :param target_ms: longest mean time between tokens.
        """
        if not self._between_ms:
            return math.inf
        mean_busy = self._busy / self._weight
        mean_ms = self._between_ms / self._weight
        variance = self._busy_squared / self._weight - mean_busy**2
        slope = 0
        if variance > _MIN_VARIANCE:
            covariance = self._product / self._weight - mean_busy * mean_ms
            slope = covariance / variance
        if slope <= 0:
            # Without variance there is no line; assume that the time is
            # proportional to the slots.
            slope = mean_ms / mean_busy
        slots = mean_busy + (target_ms - mean_ms) / slope
        return max(_MIN_SLOTS, int(slots))
