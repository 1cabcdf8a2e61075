"""Hold the limit of one backend server and the permits to send to it."""

import attrs

from carobfork.storage import rate_schedules


@attrs.define(eq=False)
class PermitStock:
    """This host's permits for one process of a backend server.

    :param limit_per_s: requests a second that it takes from all hosts
        together, if it names a limit.
    :param limit_heard_ms: when an answer last named a limit or none.
    :param valid_from_ms: from when each permit that was not used is valid.
    :param requested_ms: when a permit was requested that has not been granted
        or refused yet, else ``None``.
    :param retry_at_ms: time before which no permit is requested.
    :param refusals: refused requests since the last granted permit.
    :param schedule: this host's own schedule while no store host grants
        permits.
    :param alone_until_ms: time until which that schedule is used.
    """

    limit_per_s: float | None = None
    limit_heard_ms: float = float('-inf')
    valid_from_ms: list[float] = attrs.Factory(list)
    requested_ms: float | None = None
    retry_at_ms: float = 0
    refusals: int = 0
    schedule: rate_schedules.RateSchedule | None = None
    alone_until_ms: float = 0

    def add(self, valid_from_ms: float) -> None:
        """Add a permit."""
        self.valid_from_ms.append(valid_from_ms)

    def has_valid(self, now_ms: float) -> bool:
        """Return whether a permit is valid now."""
        return any(from_ms <= now_ms for from_ms in self._unexpired(now_ms))

    def has_any(self, now_ms: float) -> bool:
        """Return whether a permit is valid now or will be."""
        return bool(self._unexpired(now_ms))

    def take(self, now_ms: float) -> None:
        """Use the oldest permit that is valid, if there is one."""
        self.valid_from_ms = sorted(self._unexpired(now_ms))
        if self.valid_from_ms and self.valid_from_ms[0] <= now_ms:
            self.valid_from_ms.pop(0)

    def _unexpired(self, now_ms: float) -> list[float]:
        oldest_ms = now_ms - rate_schedules.PERMIT_TTL_MS
        return [
            from_ms for from_ms in self.valid_from_ms if from_ms >= oldest_ms
        ]
