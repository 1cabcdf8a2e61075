"""Render a host's metrics in the Prometheus text format.

Counters are plain integers of their modules and are rendered on request.
"""

import bisect
from collections.abc import Iterator, Mapping

LATENCY_BOUNDS_MS = (5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000)
"""From the fastest tool call to the longest deadline of interactive callers."""
PREFIX = 'carobfork_'
"""Start of every metric's name."""


class Histogram:
    """Histogram of durations.

    :param bounds_ms: upper bounds of the buckets, ascending; one more bucket
        counts longer durations.
    """

    def __init__(
        self, bounds_ms: tuple[float, ...] = LATENCY_BOUNDS_MS
    ) -> None:
        """Create an empty histogram."""
        self._bounds_ms = bounds_ms
        self._counts = [0 for _bound in (*bounds_ms, None)]
        self._total_ms = 0

    def observe(self, span_ms: float) -> None:
        """Add a duration.

        :param span_ms: the duration in ms.
        """
        self._counts[bisect.bisect_left(self._bounds_ms, span_ms)] += 1
        self._total_ms += span_ms

    def lines(self, name: str) -> Iterator[str]:
        """Yield the lines of the text format, with bounds in ms.

        :param name: the metric's name with its prefix.
        """
        yield f'# TYPE {name} histogram'
        below = 0
        bounds = (*(f'{bound:g}' for bound in self._bounds_ms), '+Inf')
        for bound, count in zip(bounds, self._counts, strict=True):
            below += count
            yield f'{name}_bucket{{le="{bound}"}} {below}'
        yield f'{name}_sum {self._total_ms:g}'
        yield f'{name}_count {below}'


def render(
    counters: Mapping[str, float],
    gauges: Mapping[str, float],
    histograms: Mapping[str, Histogram],
) -> bytes:
    """Return metrics in the text format.

    :param counters: values by name without the prefix.
    :param gauges: values by name without the prefix.
    :param histograms: histograms by name without the prefix.
    """
    lines: list[str] = []
    for kind, numbers in (('counter', counters), ('gauge', gauges)):
        for name, number in numbers.items():
            lines.append(f'# TYPE {PREFIX}{name} {kind}')
            lines.append(f'{PREFIX}{name} {number:g}')
    for name, histogram in histograms.items():
        lines.extend(histogram.lines(PREFIX + name))
    lines.append('')
    return '\n'.join(lines).encode()
