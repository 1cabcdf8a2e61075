"""Adapt the number of slots of a backend server to the latency it shows.

Hosts that hold slots measure the time to the first token and between tokens
and report both when they release a slot. The engines' own load reports,
which may be late or missing, are not needed. Policies register themselves by
a decorator; the bundle names the one in force.
"""

from collections.abc import Callable
from typing import Protocol

import attrs

INITIAL_SLOT_LIMIT = 4
MIN_SLOT_LIMIT = 1
MAX_SLOT_LIMIT = 256


@attrs.frozen
class CallReport:
    """Measurements of one call, reported when its slot is released.

    Times are 0 if the call ended before they were known.

    :param held_ms: time from the grant to the release.
    :param first_token_ms: time from the grant to the first output.
    :param between_tokens_ms: mean time between output tokens.
    :param output_tokens: tokens that were generated.
    """

    held_ms: float = 0
    first_token_ms: float = 0
    between_tokens_ms: float = 0
    output_tokens: int = 0
    prefilled_tokens: int = 0
    """Prompt tokens that were not in the engine's cache."""
    failed: bool = False
    """Whether the connection to the engine failed or was lost."""

    @property
    def tokens(self) -> int:
        """Tokens that the engine computed, prefilled and generated."""
        return self.output_tokens + self.prefilled_tokens


class SlotLimiter(Protocol):
    """Policy that sets the slot limit of one engine."""

    limit: int

    def observe(self, report: CallReport, busy: int) -> None:
        """Update the limit with a call's report.

        :param report: measurements of the call.
        :param busy: slots that were held when the call ended.
        """


LimiterFactory = Callable[[float], SlotLimiter]
LIMITERS: dict[str, LimiterFactory] = {}  # noqa: WPS407


def register(name: str) -> Callable[[LimiterFactory], LimiterFactory]:
    """Register a limiter under a name.

    A limiter's factory takes the target for the time between tokens, in ms.
    """

    def decorator(factory: LimiterFactory) -> LimiterFactory:  # noqa: WPS430
        LIMITERS[name] = factory
        return factory

    return decorator


@register('fixed')
class FixedLimiter:
    """Keep the initial number of slots.

    :param target_ms: not used.
    """

    def __init__(self, target_ms: float) -> None:
        """Set the limit, which does not change."""
        self.limit = INITIAL_SLOT_LIMIT

    def observe(self, report: CallReport, busy: int) -> None:
        """Ignore the report."""


@register('aimd')
class AimdLimiter:
    """Additive increase, multiplicative decrease around a latency target.

    The limit changes once per window of as many samples as there are slots,
    so that the effect of a change is measured before the next one. Far below
    the target the limit grows by half instead of by one, which is safe since
    the time between tokens grows no faster than the number of slots.

    :param target_ms: longest time between tokens.
    """

    decrease_ratio = 0.8
    increase_ratio = 1.5
    target_ratio = 0.9
    """Fraction of the target that a window's mean may reach. The margin lets
    the tail of the distribution meet the target too."""
    headroom_ratio = 0.5
    """Fraction of the target below which the limit grows faster."""

    def __init__(self, target_ms: float) -> None:
        """Set the initial limit."""
        self.limit = INITIAL_SLOT_LIMIT
        self._target_ms = target_ms
        self._window = _SampleWindow()

    def observe(self, report: CallReport, busy: int) -> None:
        """Update the limit once a window of samples is complete."""
        if not report.between_tokens_ms:
            return
        self._window.add(report, busy)
        if self._window.samples >= self.limit:
            self._adjust(self._window)
            self._window = _SampleWindow()

    def _adjust(self, window: '_SampleWindow') -> None:
        latency_ratio = window.between_tokens_ms / self._target_ms
        if latency_ratio > self.target_ratio:
            self.limit = max(
                MIN_SLOT_LIMIT, int(self.limit * self.decrease_ratio)
            )
        elif window.max_busy >= self.limit:
            more = self.limit + 1
            if latency_ratio < self.headroom_ratio:
                more = int(self.limit * self.increase_ratio)
            self.limit = min(MAX_SLOT_LIMIT, more)


@register('gradient')
class GradientLimiter:
    """Raise the limit while more slots increase the engine's throughput.

    The throughput of a window of samples is the slots in use divided by the
    time between tokens. The limit keeps changing in the same direction while
    the relative change of throughput is at least ``min_gain_ratio`` of that
    of the slots, and reverses otherwise.

    :param target_ms: not used.
    """

    step_ratio = 0.1
    min_gain_ratio = 0.25

    def __init__(self, target_ms: float) -> None:
        """Set the initial limit."""
        self.limit = INITIAL_SLOT_LIMIT
        self._window = _SampleWindow()
        self._last_limit = 0
        self._last_throughput = 0

    def observe(self, report: CallReport, busy: int) -> None:
        """Update the limit once a window of samples is complete."""
        if not report.between_tokens_ms:
            return
        self._window.add(report, busy)
        if self._window.samples >= self.limit:
            if self._window.max_busy >= self.limit:
                self._adjust(self._window.throughput)
            self._window = _SampleWindow()

    def _adjust(self, throughput: float) -> None:
        slot_growth = (self.limit - self._last_limit) / self.limit
        throughput_growth = (throughput - self._last_throughput) / throughput
        step = max(1, int(self.limit * self.step_ratio))
        if (
            throughput_growth < slot_growth * self.min_gain_ratio
            or not slot_growth
        ):
            step = -step
        # After a decrease, a throughput that fell little compared with the
        # slots is a reason to go on down, so the direction is inverted.
        if slot_growth < 0:
            step = -step
        self._last_limit = self.limit
        self._last_throughput = throughput
        self.limit = max(MIN_SLOT_LIMIT, min(MAX_SLOT_LIMIT, self.limit + step))


@attrs.define
class _SampleWindow:
    """Sums over the samples of the current window."""

    samples: int = 0
    total_ms: float = 0
    total_busy: int = 0
    max_busy: int = 0

    def add(self, report: CallReport, busy: int) -> None:
        self.samples += 1
        self.total_ms += report.between_tokens_ms
        self.total_busy += busy
        self.max_busy = max(self.max_busy, busy)

    @property
    def between_tokens_ms(self) -> float:
        return self.total_ms / self.samples

    @property
    def throughput(self) -> float:
        return self.total_busy / self.total_ms
