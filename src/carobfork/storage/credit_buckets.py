"""Count the credits of one tenant that one store host has granted."""

import random

import attrs

MAX_RETRY_MS = 500
"""Furthest credit that is promised to one entry host. Entry hosts ask each
member at most about twice a second for a tenant that has none left."""
SLICE_MS = 20
"""Grants within this time are kept as one, made at the time of the last. That
takes rate x slice from the depth, and a few hundred steps a request."""


@attrs.define
class _Slice:
    """Credits that were granted at about the same time."""

    granted_ms: float
    count: float
    began_ms: float = attrs.field(
        default=attrs.Factory(lambda part: part.granted_ms, takes_self=True)
    )


@attrs.define
class Bucket:
    """One tenant's share at one store host.

    In each past span of y ms up to the longest, at most depth + rate x y
    credits were granted. What is older is forgotten: a tenant that always uses
    its rate may still use its burst once in each window.

    :param version: the version of the configuration that set the rate.
    :param rate_per_ms: this member's share of the rate.
    :param depth: the most credits that are granted at once.
    :param span_ms: the longest span.
    :param slices: the credits granted in it, the oldest first.
    :param requested_ms: when credits were last requested.
    :param promised_ms: when the last credit is there that entry hosts without
        one were told to come for.
    :param lent: the part of a credit, at most a whole one, that is granted
        ahead. It changes with each grant: when a tenant has emptied all
        members at once, they have the next credits at different times.
    """

    version: int
    rate_per_ms: float
    depth: float
    span_ms: float
    slices: list[_Slice] = attrs.Factory(list)
    requested_ms: float = 0
    promised_ms: float = 0
    lent: float = attrs.Factory(random.random)

    def set_level(self, level: float, now_ms: float) -> None:
        """Forget what was granted and hold this many credits at a time."""
        self.slices = []
        if level < self.depth:
            self.slices.append(_Slice(now_ms, self.depth - level))

    def change(
        self, version: int, rate_per_ms: float, depth: float, now_ms: float
    ) -> None:
        """Apply a new quota; what was granted under the old one was right."""
        self.version = version
        if (rate_per_ms, depth) == (self.rate_per_ms, self.depth):
            return
        level = self.level(now_ms)
        self.rate_per_ms = rate_per_ms
        self.depth = depth
        self.promised_ms = 0
        self.set_level(min(level, depth), now_ms)

    def level(self, now_ms: float) -> float:
        """Return the credits in the bucket."""
        since_ms = now_ms - self.span_ms
        while self.slices and self.slices[0].granted_ms <= since_ms:
            self.slices.pop(0)
        level = self.depth
        granted: float = 0
        for part in reversed(self.slices):
            granted += part.count
            filled = (now_ms - part.granted_ms) * self.rate_per_ms
            level = min(level, self.depth + filled - granted)
        return level

    def whole(self, now_ms: float) -> int:
        """Return the credits that may be granted."""
        return max(0, int(self.level(now_ms) + self.lent))

    def take(self, count: int, now_ms: float) -> None:
        """Grant credits."""
        if not count:
            return
        self.lent = random.random()
        last = self.slices[-1] if self.slices else None
        if last and now_ms - last.began_ms < SLICE_MS:
            last.granted_ms = now_ms
            last.count += count
        else:
            self.slices.append(_Slice(now_ms, count))

    def promise_ms(self, now_ms: float) -> float:
        """Return the wait until a credit that nobody else was told of.

        Hosts that come back at the same time would be refused again.
        """
        whole_ms = now_ms + self._wait_ms(now_ms)
        free_ms = max(whole_ms, self.promised_ms + 1 / self.rate_per_ms)
        if free_ms - now_ms > MAX_RETRY_MS:
            return max(MAX_RETRY_MS, whole_ms - now_ms)
        self.promised_ms = free_ms
        return free_ms - now_ms

    def _wait_ms(self, now_ms: float) -> float:
        """Return the wait until the next credit."""
        wait_ms: float = 0
        granted = 1 - self.lent
        for part in reversed(self.slices):
            granted += part.count
            age_ms = now_ms - part.granted_ms
            filled_ms = (granted - self.depth) / self.rate_per_ms - age_ms
            wait_ms = max(wait_ms, min(filled_ms, self.span_ms - age_ms))
        return wait_ms
