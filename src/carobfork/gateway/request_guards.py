"""Refuse requests that crash the servers that run them.

The load pattern: a request crashes a server, and comes again by retries of
hosts and callers, also at other hosts and from other programs, until no server
is left. A request is known by its own digest and by that of its path. A path is
blocked only once several requests to it have crashed servers, and not while
servers answer others: there, the request alone is.
"""

from collections.abc import Callable, Mapping

from carobfork import clock, exceptions
from carobfork.gateway import (
    contexts,
    fingerprints,
    unanswered_calls,
    workers,
)
from carobfork.storage import crash_histories, messages

ANSWERED_TTL_MS = 60_000
"""How long an answer shows that requests to its path don't crash servers."""
MAX_ANSWERED = 1024
"""Bounds the memory; the paths answered longest ago are dropped."""

Report = Callable[[messages.Crash | messages.CrashCleared], None]


class CrashingRequestError(exceptions.NotRunError):
    """The request has crashed servers, so it is not sent to another one."""

    code = 'crashes_servers'


class RequestGuard:
    """What this host knows of requests that crash servers.

    :ivar blocked_version: version of the blocked requests of all hosts.
    :param timer: the clock for ages of crashes and answers.
    :param report: sends a report to the store hosts.
    """

    def __init__(self, timer: clock.Clock, report: Report) -> None:
        """Create a guard that knows of no crash."""
        self.blocked_version = 0
        self._timer = timer
        self._report = report
        self._history = crash_histories.CrashHistory(timer)
        self._blocked: frozenset[str] = frozenset()
        self._answered_ms: dict[str, float] = {}

    def check(self, context: contexts.RequestContext) -> None:
        """Refuse a request that has crashed several servers.

        :raises CrashingRequestError: if it has.
        """
        left_ms = self.left_ms(context.keys)
        if left_ms:
            raise CrashingRequestError(
                f'servers crashed under request {context.keys.request}'
                f' or others to path {context.keys.path}',
                step='admit',
                peer=context.service,
                retry_after_ms=int(left_ms),
            )

    def left_ms(self, keys: fingerprints.Fingerprints) -> float:
        """Return how long a request stays blocked, 0 if it is not."""
        left_ms = self._history.left_ms(keys.request)
        if self._is_answered(keys.path):
            return left_ms
        return max(left_ms, self._history.left_ms(keys.path))

    def record_crash(
        self, call: unanswered_calls.UnansweredCall, worker: workers.Worker
    ) -> None:
        """Count and report the crash of a server under a call."""
        server = f'{worker.instance}@{worker.entry.started_ms:.0f}'
        keys = call.keys
        age_ms = self._timer.now_ms() - call.ended_ms
        self._count(
            messages.Crash(keys.request, server, call.has_output, age_ms=age_ms)
        )
        if not self._is_answered(keys.path):
            self._count(
                messages.Crash(
                    keys.path, server, call.has_output, keys.request, age_ms
                )
            )

    def record_answer(self, keys: fingerprints.Fingerprints) -> None:
        """Record that a server has answered a request."""
        self._answered_ms.pop(keys.path, None)
        self._answered_ms[keys.path] = self._timer.now_ms()
        if len(self._answered_ms) > MAX_ANSWERED:
            self._answered_ms.pop(next(iter(self._answered_ms)))

    def learn(self, weights: Mapping[str, int]) -> None:
        """Apply the weights of crashes that store hosts know of."""
        for suspect, weight in weights.items():
            if not self._is_answered(suspect):
                self._history.learn(suspect, weight)

    def apply_blocked(self, answer: messages.Hosts) -> None:
        """Apply the blocked requests of all hosts, if they have changed.

        Paths that this host's servers have answered lately are cleared at all
        hosts.
        """
        if answer.blocked is None:
            return
        self.blocked_version = answer.blocked_version
        for released in self._blocked - answer.blocked.keys():
            self._history.clear(released)
        for suspect, left_ms in answer.blocked.items():
            if self._is_answered(suspect):
                self._report(messages.CrashCleared(suspect))
            else:
                self._history.block(suspect, left_ms)
        self._blocked = frozenset(answer.blocked)

    def _count(self, crash: messages.Crash) -> None:
        self._history.add(
            crash.fingerprint,
            crash.server,
            crash.has_output,
            crash.request,
            crash.age_ms,
        )
        self._report(crash)

    def _is_answered(self, path: str) -> bool:
        answered_ms = self._answered_ms.get(path)
        if answered_ms is None:
            return False
        return self._timer.now_ms() - answered_ms < ANSWERED_TTL_MS
