"""Paces: how an engine's time between tokens grows with its batch.

The line is fitted to what holders report; older reports count less.
"""

import math

_DECAY = 0.98
_MIN_VARIANCE = 1e-6
_MIN_SLOTS = 1


class LatencyModel:
    """Fit the time between tokens as a line over the slots in use."""

    def __init__(self) -> None:
        """Start without reports."""
        self._weight = 0
        self._busy = 0
        self._between_ms = 0
        self._busy_squared = 0
        self._product = 0

    def observe(self, busy: int, between_tokens_ms: float) -> None:
        """Learn from a call that ended while ``busy`` slots were held."""
        self._weight = self._weight * _DECAY + 1
        self._busy = self._busy * _DECAY + busy
        self._between_ms = self._between_ms * _DECAY + between_tokens_ms
        self._busy_squared = self._busy_squared * _DECAY + busy * busy
        self._product = self._product * _DECAY + busy * between_tokens_ms

    def max_slots(self, target_ms: float) -> float:
        """Return how many slots keep the target, infinite if unknown."""
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
            # No spread yet: take the time to be proportional to the slots.
            slope = mean_ms / mean_busy
        slots = mean_busy + (target_ms - mean_ms) / slope
        return max(_MIN_SLOTS, int(slots))
