"""Hold what is known of one backend server (worker).

Its entry in the platform's registry, the results of this host's calls, its own
reports and those of other hosts are combined.
"""

import attrs
import structlog

from carobfork.gateway import calls, permits, slowdowns
from carobfork.pacing import paces

NEVER_MS = float('-inf')
"""Time of an event that has not happened; earlier than any other time."""
MIN_AVOID_MS = 250
"""How long a worker is avoided after its first failure."""
MAX_AVOID_MS = 4000
"""Upper bound after repeated failures, so that a worker that has recovered gets
calls again within a few seconds."""
REMOTE_LOAD_TTL_MS = 1200
"""How long the load reports of other hosts are used: a few heartbeats."""
OWN_SUCCESS_TTL_MS = 500
"""How long a successful call of this host outweighs the suspicion of others."""
RECENT_FAILURE_MS = 5000
"""How long a failure counts as recent, whether this or another host met it:
workers that crash repeatedly fail again within a few seconds."""
_MAX_DOUBLINGS = 5
"""Bounds the exponent; ``MAX_AVOID_MS`` is reached earlier."""
DURATION_MEAN_WEIGHT = 0.1
"""Weight of the latest call in the moving mean of a worker's durations."""

logger = structlog.get_logger(part='workers')


@attrs.frozen
class Entry:
    """A backend server's entry in the registry.

    :param instance: the server's identifier.
    :param service: the service that it belongs to.
    :param ip: its IP address.
    :param port: its port.
    :param failure_domain: the failure domain that it runs in.
    :param slots: number of calls that it runs at a time.
    :param is_draining: whether it accepts no new calls.
    :param started_ms: Unix time of the process's start. A different value
        means a new process, so all observations are reset.
    :param version: the version of its software; empty if it is unknown.
    """

    instance: str
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool = False
    started_ms: float = 0
    version: str = ''

    @property
    def process(self) -> tuple[str, float, str]:
        """What tells its process from others that had the same name."""
        return self.instance, self.started_ms, self.version

    @property
    def unknown(self) -> 'Entry':
        """The same for a process whose start and version are unknown."""
        return attrs.evolve(self, started_ms=0, version='')


@attrs.define(eq=False)
class Worker:
    """A backend server and this host's observations of it.

    :param entry: its current entry, or the last one if that was removed.
    :param in_flight: number of calls of this host that it runs.
    :param remote_in_flight: number of calls of other hosts, as last reported.
    :param remote_updated_ms: when ``remote_in_flight`` was last updated.
    :param consecutive_failures: failed calls since the last success; those
        that fail together count once.
    :param avoided_until_ms: time until which failures keep new calls away.
    :param unlisted_since_ms: when its entry was removed, or ``None``.
    :param idle_connections: number of idle connections kept to it.
    :param last_kept_ms: when a connection was last kept for reuse.
    :param open_turns_updated_ms: when its open turns were last counted.
    :param last_success_ms: when it last served a call of this host.
    :param last_suspected_ms: when enough other hosts last suspected it.
    :param last_failure_ms: when it last failed a call of this host or any
        other host suspected it.
    :param mean_duration_ms: moving mean of the durations of its calls.
    :param is_local: whether it is in the preferred failure domain.
    :param is_replaced: whether another process has taken its name.
    :param permit_stock: its limit, and this host's permits while it has one.
    :param pace: how many calls it takes after a start or a recovery.
    :param can_be_paced: whether this host paces servers.
    :param leaving_since_ms: when this host first heard that it leaves.
    :param told_started_ms: when its process started, as it last told.
    :param renewed_from: the process that had its name before, if its own start
        and version are unknown. The registry may still tell of that process.
    :param replaced_by: the worker of the entry that arrived while its own
        start and version were unknown; probably of the same process.
    """

    entry: Entry
    in_flight: int = 0
    remote_in_flight: int = 0
    remote_updated_ms: float = NEVER_MS
    consecutive_failures: int = 0
    avoided_until_ms: float = NEVER_MS
    unlisted_since_ms: float | None = None
    idle_connections: int = 0
    last_kept_ms: float = NEVER_MS
    open_turns_updated_ms: float = NEVER_MS
    last_success_ms: float = NEVER_MS
    last_suspected_ms: float = NEVER_MS
    last_failure_ms: float = NEVER_MS
    mean_duration_ms: float = 0
    is_local: bool = False
    is_replaced: bool = False
    permit_stock: permits.PermitStock = attrs.Factory(permits.PermitStock)
    pace: paces.Pace = attrs.Factory(paces.Pace)
    can_be_paced: bool = True
    leaving_since_ms: float | None = None
    told_started_ms: float = 0
    renewed_from: tuple | None = None
    replaced_by: 'Worker | None' = None
    _slowdown: slowdowns.Slowdown = attrs.Factory(slowdowns.Slowdown)

    @property
    def instance(self) -> str:
        """The server's identifier."""
        return self.entry.instance

    @property
    def limit_per_s(self) -> float | None:
        """The requests a second that it takes, ``None`` if it names no limit.

        The limit holds for the requests of all hosts together.
        """
        return self.permit_stock.limit_per_s

    @limit_per_s.setter
    def limit_per_s(self, limit_per_s: float | None) -> None:
        if limit_per_s != self.limit_per_s:
            logger.info(
                'worker limit',
                worker=self.instance,
                limit_per_s=limit_per_s,
                before=self.limit_per_s,
            )
        self.permit_stock.limit_per_s = limit_per_s

    def is_same_process(self, entry: Entry) -> bool:
        """Return whether an entry is of the process that this one describes."""
        return self.entry.process == entry.process

    def has_version(self, version: str | None) -> bool:
        """Return whether its software has a version; ``None`` means any."""
        return (
            version is None or bool(version) and self.entry.version == version
        )

    def load(self, now_ms: float) -> int:
        """Return the estimated number of calls that it runs."""
        if now_ms - self.remote_updated_ms > REMOTE_LOAD_TTL_MS:
            return self.in_flight
        return self.in_flight + self.remote_in_flight

    def update_load(self, total_calls: int, now_ms: float) -> None:
        """Apply a total from the backend server or the store hosts.

        :param total_calls: calls of all hosts, including this one.
        :param now_ms: the current time.
        """
        self.remote_in_flight = max(0, total_calls - self.in_flight)
        self.remote_updated_ms = now_ms

    def record_load(self, reported: calls.ServerLoad, now_ms: float) -> None:
        """Apply the load that the backend server reports with an answer."""
        self.update_load(reported.running + reported.waiting, now_ms)
        if reported.time_ratio is not None:
            self._slowdown.record(reported.time_ratio, now_ms)

    def record_limit(self, limit_per_s: float | None, now_ms: float) -> None:
        """Apply the request limit that an answer names, or its absence."""
        self.permit_stock.limit_heard_ms = now_ms
        self.limit_per_s = limit_per_s

    def clear_limit(self) -> None:
        """Drop the limit, because another host heard that it has ended."""
        self.limit_per_s = None

    def time_ratio(self, now_ms: float) -> float:
        """Return how long calls are expected to take, relative to usual."""
        return self._slowdown.ratio(self.mean_duration_ms, now_ms)

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether failures keep new calls away.

        The failures may be of calls of this host or of several others.
        """
        if self.avoided_until_ms > now_ms:
            return True
        is_suspected = now_ms - self.last_suspected_ms < REMOTE_LOAD_TTL_MS
        return (
            is_suspected and now_ms - self.last_success_ms > OWN_SUCCESS_TTL_MS
        )

    def has_recent_failure(self, now_ms: float) -> bool:
        """Return whether calls that run at most once should avoid it."""
        return now_ms - self.last_failure_ms < RECENT_FAILURE_MS

    def record_success(self, duration_ms: float, now_ms: float) -> None:
        """Record a successful call and reset the failure count.

        :param duration_ms: duration of the call.
        :param now_ms: the current time.
        """
        self.last_success_ms = now_ms
        self.pace.record_answer(duration_ms, now_ms)
        self.consecutive_failures = 0
        if self.mean_duration_ms:
            change = (
                duration_ms - self.mean_duration_ms
            ) * DURATION_MEAN_WEIGHT
            self.mean_duration_ms += change
        else:
            self.mean_duration_ms = duration_ms

    def record_failure(self, now_ms: float) -> None:
        """Record a failed call; avoid the worker for a doubling interval.

        Calls that fail while it is avoided had been sent before: they fail for
        the same reason, so the interval begins anew and doesn't double.
        """
        if self.avoided_until_ms <= now_ms or not self.consecutive_failures:
            self.consecutive_failures += 1
        doublings = min(self.consecutive_failures - 1, _MAX_DOUBLINGS)
        pause_ms = min(MIN_AVOID_MS * 2**doublings, MAX_AVOID_MS)
        self.last_failure_ms = now_ms
        self.avoided_until_ms = now_ms + pause_ms
        self.begin_pace(paces.Reason.failed, now_ms, pause_ms)
        logger.info(
            'worker avoided',
            worker=self.instance,
            failures=self.consecutive_failures,
            pause_ms=pause_ms,
        )

    def begin_pace(
        self, reason: paces.Reason, now_ms: float, pause_ms: float = 0
    ) -> None:
        """Let it have few calls at first.

        :param pause_ms: how long it gets none before that.
        """
        if self.can_be_paced:
            self.pace.begin(self.instance, reason, now_ms, pause_ms)
