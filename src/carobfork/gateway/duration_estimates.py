"""Estimate how long answers take from those that have come."""

import attrs

MEAN_WEIGHT = 0.1
"""Weight of the latest answer in the moving mean and the mean deviation."""
MIN_ANSWERS = 5
"""Number of answers from which on the estimate is used."""


@attrs.define
class DurationEstimate:
    """Moving mean and mean deviation of durations, as for TCP's timeout.

    Source: RFC 6298.
    """

    answers: int = 0
    mean_ms: float = 0
    deviation_ms: float = 0

    def record(self, took_ms: float) -> None:
        """Record a duration."""
        if not self.answers:
            self.mean_ms = took_ms
            self.deviation_ms = took_ms / 2
        error_ms = took_ms - self.mean_ms
        self.mean_ms += error_ms * MEAN_WEIGHT
        self.deviation_ms += (abs(error_ms) - self.deviation_ms) * MEAN_WEIGHT
        self.answers += 1

    def high_ms(self, deviations: float) -> float | None:
        """Return a duration that few exceed, ``None`` if too few are known.

        :param deviations: mean deviations above the mean.
        """
        if self.answers < MIN_ANSWERS:
            return None
        return self.mean_ms + deviations * self.deviation_ms
