"""Clocks in milliseconds: the system's own and one moved by tests."""

import datetime
import time
from typing import Protocol

MS_PER_SECOND = 1000


class Clock(Protocol):
    """Tell monotonic time, in milliseconds since an arbitrary start."""

    def now_ms(self) -> float:
        """Return the monotonic time in ms."""


class SystemClock:
    """Read the machine's monotonic clock.

    Spans measured with it are comparable within one process only.
    """

    def now_ms(self) -> float:
        """Return the monotonic time in ms."""
        return time.monotonic() * MS_PER_SECOND


class BootClock:
    """Read the clock that also counts while the machine is suspended.

    Whatever expires by it has expired when a host wakes up.
    """

    def now_ms(self) -> float:
        """Return the time since the machine's start in ms."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND


class WallClock:
    """Read the time of day, which may jump and differ between hosts."""

    def now_ms(self) -> float:
        """Return the Unix time in ms."""
        return time.time() * MS_PER_SECOND


class ManualClock:
    """Stand still until a test advances it."""

    def __init__(self, start_ms: float = 0) -> None:
        """Start the clock at ``start_ms``."""
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the time that was last set, in ms."""
        return self._now_ms

    def advance(self, span_ms: float) -> None:
        """Move the clock forward by ``span_ms``."""
        self._now_ms += span_ms


def parse_timestamp_ms(text: str) -> float:
    """Return the Unix time in ms that a log's timestamp states.

    :param text: time in the form of ISO 8601, with its offset from UTC.
    :raises ValueError: if it is malformed.
    """
    return datetime.datetime.fromisoformat(text).timestamp() * MS_PER_SECOND


def per_ms(rate_per_s: float) -> float:
    """Convert a rate per second to one per ms."""
    return rate_per_s / MS_PER_SECOND


def to_seconds(span_ms: float) -> float:
    """Convert a span for libraries that count in seconds."""
    return span_ms / MS_PER_SECOND
