"""Remember which requests were on servers that crashed, and block those."""

from collections.abc import Mapping

import attrs

from carobfork import clock

SILENT_CRASH_WEIGHT = 2
"""Weight of a crash before any part of the answer had come."""
OUTPUT_CRASH_WEIGHT = 1
"""Weight of a crash after that: the request had begun to run soundly, so it is
more likely that another one crashed the server."""
BLOCKED_WEIGHT = 6
"""Weight from which on a request is blocked: three silent crashes."""
BLOCK_MS = 600_000
"""How long a request is blocked after its last crash, and how long a crash
counts: long compared with the retries of callers."""
MAX_REQUESTS = 4096
"""Bounds the memory; the requests whose last crash is oldest are dropped."""


@attrs.frozen
class CrashCount:
    """The crashes under a request, as they are stored.

    :param weight: the weight of all of them.
    :param servers: the server processes whose crash was counted.
    :param left_ms: how long they still count.
    :param requests: the requests to a path whose crash was counted.
    """

    weight: int
    servers: tuple[str, ...]
    left_ms: float
    requests: tuple[str, ...] = ()

    def aged(self, age_ms: float) -> 'CrashCount':
        """Return the count as it is some time later."""
        return attrs.evolve(self, left_ms=self.left_ms - age_ms)


@attrs.define
class _Suspect:
    """A request that was on servers that crashed.

    :param servers: the server processes whose crash was counted.
    :param requests: the requests whose crash was counted, if this is a path.
    :param expires_ms: when its crashes stop counting.
    """

    expires_ms: float
    weight: int = 0
    servers: set[str] = attrs.Factory(set)
    requests: set[str] = attrs.Factory(set)


class CrashHistory:
    """Requests that were on servers that crashed, by fingerprint.

    :param timer: measures the time since the last crash.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create a history without crashes."""
        self._timer = timer
        self._suspects: dict[str, _Suspect] = {}

    def add(
        self,
        fingerprint: str,
        server: str,
        has_output: bool,
        request: str = '',
    ) -> None:
        """Count a crash, once for each server process.

        Crashes under a path also count once for each request: one that comes
        again and again says nothing about others.

        :param server: identifies the server process.
        :param has_output: whether a part of the answer had come.
        :param request: the request, if the fingerprint is that of its path.
        """
        suspect = self._touch(fingerprint, BLOCK_MS)
        if server in suspect.servers or request in suspect.requests:
            return
        suspect.servers.add(server)
        if request:
            suspect.requests.add(request)
        suspect.weight += (
            OUTPUT_CRASH_WEIGHT if has_output else SILENT_CRASH_WEIGHT
        )

    def learn(self, fingerprint: str, weight: int) -> None:
        """Apply the weight of all crashes that another host knows of."""
        if weight > self.weight(fingerprint):
            self._touch(fingerprint, BLOCK_MS).weight = weight

    def block(self, fingerprint: str, left_ms: float) -> None:
        """Block a request that another host has blocked.

        :param left_ms: how long it stays blocked.
        """
        suspect = self._touch(fingerprint, left_ms)
        suspect.weight = max(suspect.weight, BLOCKED_WEIGHT)

    def dump(self) -> dict[str, CrashCount]:
        """Return the crashes that still count, oldest last crash first."""
        now_ms = self._timer.now_ms()
        return {
            fingerprint: CrashCount(
                suspect.weight,
                tuple(suspect.servers),
                suspect.expires_ms - now_ms,
                tuple(suspect.requests),
            )
            for fingerprint, suspect in self._suspects.items()
            if suspect.expires_ms > now_ms
        }

    def restore(self, crashes: Mapping[str, CrashCount]) -> None:
        """Apply crashes that were stored."""
        for fingerprint, count in crashes.items():
            suspect = self._touch(fingerprint, count.left_ms)
            suspect.weight = max(suspect.weight, count.weight)
            suspect.servers.update(count.servers)
            suspect.requests.update(count.requests)

    def clear(self, fingerprint: str) -> None:
        """Forget the crashes under a request."""
        self._suspects.pop(fingerprint, None)

    def weight(self, fingerprint: str) -> int:
        """Return the weight of a request's crashes."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_ms < self._timer.now_ms():
            return 0
        return suspect.weight

    def left_ms(self, fingerprint: str) -> float:
        """Return how long a request stays blocked, 0 if it is not."""
        if self.weight(fingerprint) < BLOCKED_WEIGHT:
            return 0
        return self._suspects[fingerprint].expires_ms - self._timer.now_ms()

    def _touch(self, fingerprint: str, left_ms: float) -> _Suspect:
        """Return a request's entry, kept at least for a time from now on."""
        now_ms = self._timer.now_ms()
        if not self.weight(fingerprint):
            self._suspects.pop(fingerprint, None)
        suspect = self._suspects.pop(fingerprint, None) or _Suspect(now_ms)
        suspect.expires_ms = max(suspect.expires_ms, now_ms + left_ms)
        # The last one is the one that was touched last.
        self._suspects[fingerprint] = suspect
        if len(self._suspects) > MAX_REQUESTS:
            self._suspects.pop(next(iter(self._suspects)))
        return suspect
