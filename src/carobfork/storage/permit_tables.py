"""Grant permits to send requests to backend servers that name a limit.

The limit holds for all entry hosts together. One store host, chosen by the
server's name, grants the permits of a server.
"""

import random

import attrs

from carobfork import clock
from carobfork.storage import messages, rate_schedules

LIMIT_TTL_MS = 30_000
"""How long a limit is kept after the last request for a permit."""


@attrs.define
class _Limit:
    """What is known of one server's limit.

    :param limit_per_s: requests a second, ``None`` if the limit has ended.
    :param heard_ms: when an entry host heard this from the server.
    :param requested_ms: when a permit was last requested.
    """

    schedule: rate_schedules.RateSchedule
    limit_per_s: float | None = None
    heard_ms: float = float('-inf')
    requested_ms: float = 0


class PermitTable:
    """The limits that entry hosts reported, and the permits granted.

    :param timer: the clock for permits and ages.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create a table without limits."""
        self._timer = timer
        self._limits: dict[str, _Limit] = {}

    def grant(self, message: messages.PermitRequest) -> messages.Permit:
        """Grant a permit, or tell when to ask again."""
        now_ms = self._timer.now_ms()
        limit = self._limits.get(message.worker) or self._add(message, now_ms)
        limit.requested_ms = now_ms
        if now_ms - message.age_ms >= limit.heard_ms:
            limit.heard_ms = now_ms - message.age_ms
            limit.limit_per_s = message.limit_per_s
        if limit.limit_per_s is None:
            return messages.Permit(limit_per_s=None)
        wait_ms = limit.schedule.reserve(
            rate_schedules.usable_rate(limit.limit_per_s),
            now_ms,
            message.max_wait_ms,
        )
        retry_ms = limit.schedule.wait_ms(now_ms) - message.max_wait_ms
        return messages.Permit(limit.limit_per_s, wait_ms, max(0, retry_ms))

    def _add(self, message: messages.PermitRequest, now_ms: float) -> _Limit:
        """Start a schedule at a random moment.

        Another store host may have granted permits until now, so the schedule
        must not start with one that is due at once.
        """
        self._expire(now_ms)
        rate_per_s = rate_schedules.usable_rate(message.limit_per_s or 0)
        first_ms = now_ms + random.random() * clock.MS_PER_SECOND / rate_per_s
        limit = _Limit(rate_schedules.RateSchedule(first_ms))
        self._limits[message.worker] = limit
        return limit

    def _expire(self, now_ms: float) -> None:
        for worker, limit in list(self._limits.items()):
            if now_ms - limit.requested_ms > LIMIT_TTL_MS:
                self._limits.pop(worker)
