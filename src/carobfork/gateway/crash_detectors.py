"""Tell servers that have ended from connections that have merely broken."""

import contextlib
from collections.abc import Iterable

import attrs
import structlog
from gevent import pool

from carobfork import clock, exceptions
from carobfork.gateway import (
    connection_pools,
    contexts,
    failures,
    process_checks,
    request_guards,
    stalls,
    unanswered_calls,
    worker_tables,
    workers,
)

CONNECT_TIMEOUT_MS = 100
"""Covers many round trips. A server that does not answer in time may be cut
off, and does not count as ended."""

logger = structlog.get_logger(part='crashes')


class CrashDetector:
    """Counts the crashes of servers under the requests that they had.

    :ivar seen: number of calls during which a server crashed.
    :ivar probes: number of times that a silent server was asked.
    :ivar checker: asks servers for their process; without one, only refused
        connections and the registry tell.
    :param table: the known servers.
    :param timer: the clock for times since calls.
    :param guard: counts the crashes.
    :param connections: opens connections to silent servers.
    """

    def __init__(
        self,
        table: worker_tables.WorkerTable,
        timer: clock.Clock,
        guard: request_guards.RequestGuard,
        connections: connection_pools.ConnectionPool,
    ) -> None:
        """Create a detector that has seen no crash."""
        self.seen = 0
        self.probes = 0
        self._timer = timer
        self._guard = guard
        self._connections = connections
        self.checker: process_checks.ProcessChecker | None = None
        self._calls = unanswered_calls.UnansweredCalls(timer, table)
        self._running = pool.Group()

    def check(
        self,
        context: contexts.RequestContext,
        worker: workers.Worker,
        error: exceptions.ConnectionFailedError,
    ) -> None:
        """Find out whether a server has ended under a request that failed.

        :param context: the request.
        :param worker: the server that it was sent to.
        :param error: why the exchange failed.
        """
        cause = error.__cause__
        if not error.sent:
            self._count_refused(worker, error)
        elif isinstance(cause, (OSError, EOFError, stalls.StalledError)):
            call = _describe(context, self._timer.now_ms())
            # Kept first: the caller may leave while the server is asked.
            is_kept = self._calls.add(worker, call)
            if not isinstance(cause, stalls.StalledError):
                self._count_refused(
                    worker, self._connect(worker), [] if is_kept else [call]
                )

    def abandon(
        self,
        context: contexts.RequestContext,
        worker: workers.Worker,
        error: BaseException,
    ) -> None:
        """Keep a call that was given up for a reason beside its server.

        :param error: why it was; if there was no room for the answer, the
            server has given one.
        """
        is_answered = isinstance(error, failures.AnswerDroppedError)
        if context.is_at_server and not is_answered:
            self._calls.add(worker, _describe(context, self._timer.now_ms()))

    def probe_due(self) -> None:
        """Count what the registry tells, and ask silent servers."""
        for worker, ended in self._calls.take_ended().items():
            self._count(worker, ended, 'replaced')
        for worker in self._calls.take_due_probes():
            self.probes += 1
            self._running.spawn(self._probe, worker)

    def close(self) -> None:
        """End all probes."""
        self._running.kill(block=False)

    def _connect(
        self, worker: workers.Worker
    ) -> exceptions.ConnectionFailedError | None:
        """Return why no connection to a server can be opened, if so."""
        try:
            connection = self._connections.open(worker, CONNECT_TIMEOUT_MS)
        except exceptions.ConnectionFailedError as error:
            return error
        connection.close()
        return None

    def _probe(self, worker: workers.Worker) -> None:
        asked_ms = self._timer.now_ms()
        try:
            is_same = self._is_same_process(worker)
        except exceptions.ConnectionFailedError as error:
            self._calls.record_silence(worker)
            self._count_refused(worker, error)
            return
        if is_same:
            self._calls.clear(worker, asked_ms)
        elif is_same is False:
            ended = self._calls.take(worker, asked_ms)
            self._count(worker, ended, 'another process')

    def _count_refused(
        self,
        worker: workers.Worker,
        error: exceptions.ConnectionFailedError | None,
        more: Iterable[unanswered_calls.UnansweredCall] = (),
    ) -> None:
        """Count the crash of a server that refuses connections.

        :param error: why there is no connection to it, if there is none.
        :param more: calls that count besides those that were kept.
        """
        if error and isinstance(error.__cause__, ConnectionRefusedError):
            self._count(worker, [*self._calls.take(worker), *more], 'refused')

    def _is_same_process(self, worker: workers.Worker) -> bool | None:
        """Return whether a server is still the process that it was, if known.

        :raises ConnectionFailedError: if it does not answer in time.
        """
        with contextlib.closing(self._connections.open(worker)) as connection:
            if self.checker is None:
                return None
            return self.checker.is_same_process(connection)

    def _count(
        self,
        worker: workers.Worker,
        ended: Iterable[unanswered_calls.UnansweredCall],
        evidence: str,
    ) -> None:
        """Count the crash of a server under its unanswered calls.

        :param evidence: what tells that it has ended.
        """
        ended = list(ended)
        latest_ms = max((call.ended_ms for call in ended), default=0)
        for call in ended:
            self.seen += 1
            age_ms = self._timer.now_ms() - call.ended_ms
            logger.info(
                'worker crashed',
                worker=worker.instance,
                request=call.attempt,
                fingerprint=call.keys.request,
                path=call.keys.path,
                has_output=call.has_output,
                evidence=evidence,
                age_ms=round(age_ms),
            )
            # All of them tell of one end, which none can have come after.
            one_end = attrs.evolve(call, ended_ms=latest_ms)
            self._guard.record_crash(one_end, worker)


def _describe(
    context: contexts.RequestContext, now_ms: float
) -> unanswered_calls.UnansweredCall:
    return unanswered_calls.UnansweredCall(
        context.keys, context.call.attempt, context.has_output, now_ms
    )
