"""Limits: how many slots an engine gets, learnt from what it shows.

Holders measure first-token and between-token times and report them when
they release a slot; an engine's own load reports, late or missing, are not
needed. Policies fill a registry by decorator.
"""

from collections.abc import Callable
from typing import Protocol

import attrs

INITIAL_SLOT_LIMIT = 4
MIN_SLOT_LIMIT = 1
MAX_SLOT_LIMIT = 256


@attrs.frozen
class CallReport:
    """What a holder saw of one call, reported when it releases the slot.

    Times are 0 where the call ended before they were known.
    """

    held_ms: float = 0
    first_token_ms: float = 0
    between_tokens_ms: float = 0
    output_tokens: int = 0
    prefilled_tokens: int = 0
    """Prompt tokens that were not in the engine's cache."""
    failed: bool = False
    """Whether the engine could not be reached or broke off."""

    @property
    def tokens(self) -> int:
        """Tokens that the engine computed for the call."""
        return self.output_tokens + self.prefilled_tokens


class SlotLimiter(Protocol):
    """Decide how many slots one engine gets."""

    limit: int

    def observe(self, report: CallReport, busy: int) -> None:
        """Learn from a call that ended while ``busy`` slots were held."""


LimiterFactory = Callable[[float], SlotLimiter]
LIMITERS: dict[str, LimiterFactory] = {}  # noqa: WPS407


def register(name: str) -> Callable[[LimiterFactory], LimiterFactory]:
    """Register a limiter under a name; it takes the target in ms."""

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
        """Start with the limit that stays."""
        self.limit = INITIAL_SLOT_LIMIT

    def observe(self, report: CallReport, busy: int) -> None:
        """Learn nothing."""


@register('aimd')
class AimdLimiter:
    """Add a slot while between-token times meet the target, else cut.

    One round of samples, as many as there are slots, changes the limit once,
    so that a change shows before the next one. Far below the target half as
    many slots again are added, as times grow no faster than the slots.

    :param target_ms: longest time between tokens.
    """

    decrease_ratio = 0.8
    increase_ratio = 1.5
    target_ratio = 0.9
    """What the mean of a round may reach, so that the tail meets the target."""
    headroom_ratio = 0.5

    def __init__(self, target_ms: float) -> None:
        """Start with the initial limit."""
        self.limit = INITIAL_SLOT_LIMIT
        self._target_ms = target_ms
        self._window = _SampleWindow()

    def observe(self, report: CallReport, busy: int) -> None:
        """Learn from a call that ended while ``busy`` slots were held."""
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
    """Climb while one more slot still raises the engine's throughput.

    The throughput of a round is the slots in use over the time between
    tokens. The limit goes on in its direction while throughput grows by a
    part of what the slots grew by, and turns round otherwise.

    :param target_ms: not used.
    """

    step_ratio = 0.1
    min_gain_ratio = 0.25

    def __init__(self, target_ms: float) -> None:
        """Start with the initial limit."""
        self.limit = INITIAL_SLOT_LIMIT
        self._window = _SampleWindow()
        self._last_limit = 0
        self._last_throughput = 0

    def observe(self, report: CallReport, busy: int) -> None:
        """Learn from a call that ended while ``busy`` slots were held."""
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
        # Going down, few tokens lost for many slots cut confirm the way.
        if slot_growth < 0:
            step = -step
        self._last_limit = self.limit
        self._last_throughput = throughput
        self.limit = max(MIN_SLOT_LIMIT, min(MAX_SLOT_LIMIT, self.limit + step))


@attrs.define
class _SampleWindow:
    """Samples since the limit last changed."""

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
