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
MAX_CRASHES = 4
"""Number of crashes from which on a request is blocked whatever output it had:
some retries may reach servers without being counted as crashes."""
MAX_CRASHES_BY_REQUEST = 2
"""How many of the crashes that one request explains count under its path: one
request blocks no path, and the first crash under another one does."""
SAME_CRASH_MS = 4000
"""Crashes of a server this far apart are of two processes, though the registry
names one: the hosts that see a crash do so within the time of a call."""
MAX_KEPT_CRASHES = 64
"""Bounds the memory for each request; the oldest crashes are dropped."""
BLOCK_MS = 600_000
"""How long a request is blocked after its last crash, and how long a crash
counts: long compared with the retries of callers."""
MAX_REQUESTS = 4096
"""Bounds the memory; the requests whose last crash is oldest are dropped."""


@attrs.frozen
class CrashedServer:
    """A crash under a request or path, as it is stored.

    :param server: the server process.
    :param weight: the weight of its crash.
    :param requests: the requests to a path that it had.
    """

    server: str
    weight: int
    requests: tuple[str, ...] = ()


@attrs.frozen
class CrashCount:
    """The crashes under a request, as they are stored.

    :param weight: the weight of all of them.
    :param servers: the server processes whose crash was counted.
    :param left_ms: how long they still count.
    :param requests: the requests to a path whose crash was counted.
    :param crashes: each of the crashes; older versions don't store them.
    """

    weight: int
    servers: tuple[str, ...]
    left_ms: float
    requests: tuple[str, ...] = ()
    crashes: tuple[CrashedServer, ...] = ()

    def aged(self, age_ms: float) -> 'CrashCount':
        """Return the count as it is some time later."""
        return attrs.evolve(self, left_ms=self.left_ms - age_ms)


@attrs.define(eq=False)
class _Crash:
    """A crash that was counted.

    :param moment_ms: when the first call that it broke had ended.
    :param requests: the requests that the server had, if this is under a path.
    """

    server: str
    moment_ms: float
    weight: int = 0
    requests: set[str] = attrs.Factory(set)


@attrs.define
class _Suspect:
    """A request, or all requests to a path, that were on crashed servers.

    :param expires_ms: when its crashes stop counting.
    :param other_weight: weight of crashes that are known as a sum only.
    :param crashes: the crashes that this host has counted.
    """

    expires_ms: float
    other_weight: int = 0
    crashes: list[_Crash] = attrs.Factory(list)

    @property
    def weight(self) -> int:
        """The weight of all crashes."""
        independent = self._independent()
        weight = sum(crash.weight for crash in independent)
        if len(independent) >= MAX_CRASHES:
            weight = max(weight, BLOCKED_WEIGHT)
        return self.other_weight + weight

    def find(self, server: str, moment_ms: float) -> _Crash:
        """Return the crash of a server process, a new one if none is known."""
        for crash in self.crashes:
            age_ms = abs(moment_ms - crash.moment_ms)
            if crash.server == server and age_ms < SAME_CRASH_MS:
                return crash
        added = _Crash(server, moment_ms)
        self.crashes = [*self.crashes, added][-MAX_KEPT_CRASHES:]
        return added

    def raise_to(self, weight: int) -> None:
        """Apply that the crashes weigh at least so much."""
        self.other_weight += max(0, weight - self.weight)

    def _independent(self) -> list[_Crash]:
        """Return the crashes that no single request explains.

        Of those that one does, a few are returned.
        """
        requests = set().union(*(crash.requests for crash in self.crashes))
        explained = max(
            (self._crashes_under(request) for request in requests),
            key=len,
            default=[],
        )
        explained.sort(key=_weigh, reverse=True)
        others = [crash for crash in self.crashes if crash not in explained]
        return [*others, *explained[:MAX_CRASHES_BY_REQUEST]]

    def _crashes_under(self, request: str) -> list[_Crash]:
        return [crash for crash in self.crashes if request in crash.requests]


def _weigh(crash: _Crash) -> int:
    return crash.weight


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
        age_ms: float = 0,
    ) -> None:
        """Count a crash, once for each server process.

        Under a path, a few crashes count of those that one request explains:
        one that comes again and again says little about others.

        :param server: identifies the server process.
        :param has_output: whether a part of the answer had come.
        :param request: the request, if the fingerprint is that of its path.
        :param age_ms: how long ago the call ended that the crash broke.
        """
        weight = OUTPUT_CRASH_WEIGHT if has_output else SILENT_CRASH_WEIGHT
        moment_ms = self._timer.now_ms() - age_ms
        crash = self._touch(fingerprint, BLOCK_MS).find(server, moment_ms)
        crash.weight = max(crash.weight, weight)
        if request:
            crash.requests.add(request)

    def learn(self, fingerprint: str, weight: int) -> None:
        """Apply the weight of all crashes that another host knows of."""
        if weight > self.weight(fingerprint):
            self._touch(fingerprint, BLOCK_MS).raise_to(weight)

    def block(self, fingerprint: str, left_ms: float) -> None:
        """Block a request that another host has blocked.

        :param left_ms: how long it stays blocked.
        """
        self._touch(fingerprint, left_ms).raise_to(BLOCKED_WEIGHT)

    def dump(self) -> dict[str, CrashCount]:
        """Return the crashes that still count, oldest last crash first."""
        now_ms = self._timer.now_ms()
        return {
            fingerprint: _dump_suspect(suspect, suspect.expires_ms - now_ms)
            for fingerprint, suspect in self._suspects.items()
            if suspect.expires_ms > now_ms
        }

    def restore(self, crashes: Mapping[str, CrashCount]) -> None:
        """Apply crashes that were stored."""
        now_ms = self._timer.now_ms()
        for fingerprint, count in crashes.items():
            suspect = self._touch(fingerprint, count.left_ms)
            for server in count.servers:
                suspect.find(server, now_ms)
            for stored in count.crashes:
                crash = suspect.find(stored.server, now_ms)
                crash.weight = max(crash.weight, stored.weight)
                crash.requests.update(stored.requests)
            suspect.raise_to(count.weight)

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


def _dump_suspect(suspect: _Suspect, left_ms: float) -> CrashCount:
    requests = set().union(*(crash.requests for crash in suspect.crashes))
    return CrashCount(
        suspect.weight,
        tuple(crash.server for crash in suspect.crashes),
        left_ms,
        tuple(requests),
        tuple(
            CrashedServer(crash.server, crash.weight, tuple(crash.requests))
            for crash in suspect.crashes
        ),
    )
