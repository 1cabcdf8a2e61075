"""Check that a connection leads to the process that the registry describes.

A backend server may start again under its name and at its address with other
software. The registry tells so a moment later, or long after where this host is
out of contact. Requests name the instance that may run them, not its process,
so a stream could be recorded with, or go on at, a version that is not there.
A connection leads to one process, so it is enough to ask once on each.

A server may also drop an idle connection without notice. It is asked on such a
one for its health before a call that must not run twice is sent on it: this
costs the server less than another connection, and no call is lost.

A server that was leaving is asked whether another process has taken its name.
"""

import weakref
from collections.abc import Callable

import attrs
import structlog

from carobfork import exceptions, time_limits
from carobfork.gateway import (
    calls,
    connection_pools,
    contexts,
    failures,
    framing,
    ports,
    workers,
)

REPORT_TIMEOUT_MS = 300
"""Reports need no slot; this covers many round trips to a busy server."""
REPEATED_REPORT_TIMEOUT_MS = 2 * REPORT_TIMEOUT_MS
"""For requests that another server has turned away or not answered: if all
servers of a service are silent for a moment, they are asked for longer than
that before the request is refused."""
PROOF_TIMEOUT_MS = 100
"""How long a server may take to prove a connection alive: some round trips.
Another connection is opened after it."""
MAX_REPORT_BYTES = 65_536
_STEP = 'check process'
_OK = 200

logger = structlog.get_logger(part='processes')


@attrs.frozen
class _Answer:
    """What a server tells of itself.

    :param keeps_open: whether the connection is open after it.
    """

    told: calls.ServerAnswer
    body: bytes
    keeps_open: bool


class ProcessChecker:
    """Check connections on which streams that can be resumed are sent.

    It also proves idle connections alive.

    :ivar reports: number of servers' reports that were asked for.
    :ivar proved: number of idle connections proved alive.
    :param codec: encodes requests to servers and decodes the answers.
    :param health_path: returns the path of a service's health check, if it has
        one.
    :param on_leaving: called with a worker that says that it leaves.
    """

    def __init__(
        self,
        codec: ports.Codec,
        health_path: Callable[[str], str],
        on_leaving: Callable[[workers.Worker], None] | None = None,
    ) -> None:
        """Create a checker that has asked no server."""
        self.reports = 0
        self.proved = 0
        self._codec = codec
        self._health_path = health_path
        self._on_leaving = on_leaving or _ignore_leaving
        self._unidentified: weakref.WeakSet[workers.Worker] = weakref.WeakSet()

    def check(
        self,
        context: contexts.RequestContext,
        connection: connection_pools.Connection,
    ) -> bool:
        """Ask which process a connection leads to, if a stream is resumable.

        A server whose entry or report names no start is not checked.

        :return: whether the connection is still open after the answer, and
            proved alive if it was not.
        :raises ConnectionFailedError: if it leads to another process, or the
            server does not answer; the request was not sent.
        """
        if connection.is_unproved:
            return self._is_alive(context.service, connection)
        if connection.is_confirmed or not context.route.is_resumable:
            return True
        is_open = True
        if connection.worker.entry.started_ms:
            timeout_ms = REPORT_TIMEOUT_MS
            if context.refusals:
                timeout_ms = REPEATED_REPORT_TIMEOUT_MS
            is_open = self._compare(connection, timeout_ms)
        connection.is_confirmed = True
        return is_open

    def is_successor(
        self,
        connection: connection_pools.Connection,
        *,
        is_inherited: bool = False,
    ) -> bool:
        """Return whether a server that was leaving has been replaced.

        A limited server is asked for its report, which is no request under
        its limit.

        :param connection: a new connection to it.
        :param is_inherited: whether it may have been another process than the
            one of its entry that said that it leaves.
        :raises ConnectionFailedError: if the server does not answer in time.
        """
        worker = connection.worker
        path = ''
        if worker.limit_per_s is None:
            path = self._health_path(worker.entry.service)
        request = self._codec.encode_state_request(worker.instance, path)
        answer = self._ask(connection, request, REPORT_TIMEOUT_MS)
        if answer.told.status != _OK or answer.told.is_leaving:
            return False
        if path:
            return answer.told.instance == worker.instance
        started_ms = self._codec.decode_report(answer.body)
        if started_ms == worker.entry.started_ms:
            return is_inherited
        return started_ms is not None

    def is_same_process(
        self, connection: connection_pools.Connection
    ) -> bool | None:
        """Return whether a server is still the process that it was.

        Return ``None`` if it does not tell.

        :param connection: a new connection to it.
        :raises ConnectionFailedError: if the server does not answer in time.
        """
        worker = connection.worker
        request = self._codec.encode_state_request(worker.instance)
        answer = self._ask(connection, request, REPORT_TIMEOUT_MS)
        started_ms = None
        if answer.told.status == _OK:
            started_ms = self._codec.decode_report(answer.body)
        if not started_ms:
            return False if answer.told.is_elsewhere else None
        # The registry may tell of another process for long.
        known_ms = worker.told_started_ms or worker.entry.started_ms
        worker.told_started_ms = started_ms
        return started_ms == known_ms if known_ms else None

    def _is_alive(
        self, service: str, connection: connection_pools.Connection
    ) -> bool:
        """Return whether the server answers for its health and stays open.

        Whether it is healthy doesn't matter. Any other answer proves nothing:
        it may be a late one to an earlier request, after which the awaited
        one would be taken for the answer to the call.
        """
        worker = connection.worker
        path = self._health_path(service)
        is_limited = worker.limit_per_s is not None
        if is_limited or not path or worker in self._unidentified:
            return False
        request = self._codec.encode_state_request(worker.instance, path)
        try:
            answer = self._ask(connection, request, PROOF_TIMEOUT_MS)
        except exceptions.ConnectionFailedError as error:
            logger.info(
                'idle connection not proved alive',
                worker=worker.instance,
                reason=error.message,
            )
            return False
        told = answer.told
        if not (told.instance or told.attempt or told.not_run):
            self._unidentified.add(worker)
        is_proved = told.instance == worker.instance and not told.attempt
        connection.is_unproved = not is_proved
        self.proved += is_proved
        return is_proved and answer.keeps_open

    def _compare(
        self, connection: connection_pools.Connection, timeout_ms: float
    ) -> bool:
        worker = connection.worker
        self.reports += 1
        request = self._codec.encode_state_request(worker.instance)
        answer = self._ask(connection, request, timeout_ms)
        is_open = answer.keeps_open
        started_ms = None
        if answer.told.status == _OK:
            started_ms = self._codec.decode_report(answer.body)
        if started_ms in {None, worker.entry.started_ms}:
            return is_open
        worker.is_replaced = True
        logger.info(
            'another process has taken the name of a worker',
            worker=worker.instance,
            version=worker.entry.version,
            expected_started_ms=worker.entry.started_ms,
            started_ms=started_ms,
        )
        raise exceptions.ConnectionFailedError(
            f'a process started at {started_ms} ms answers, not the one of'
            f' version {worker.entry.version!r} started at'
            f' {worker.entry.started_ms} ms',
            sent=False,
            step=_STEP,
            peer=worker.instance,
        )

    def _ask(
        self,
        connection: connection_pools.Connection,
        request: bytes,
        timeout_ms: float,
    ) -> _Answer:
        """Send a request for what the server tells of itself.

        :param request: the encoded request.
        :param timeout_ms: how long to wait for the answer.
        :raises ConnectionFailedError: if it does not answer in time.
        """
        peer = connection.worker.instance
        late = TimeoutError(f'no answer in {timeout_ms} ms')
        with (
            failures.raise_as_failure(peer, sent=False),
            time_limits.time_limit(timeout_ms, late),
        ):
            connection.sock.settimeout(None)
            connection.sock.sendall(request)
            head = connection.reader.read_head(framing.MAX_HEAD_BYTES)
            if head is None:
                raise EOFError('the server closed the connection')
            told = self._codec.decode_answer(head)
            if told.tells_leaving(peer):
                self._on_leaving(connection.worker)
            shape = framing.response_shape(head, 'GET')
            body = connection.reader.read_body(shape, MAX_REPORT_BYTES)
        is_open = head.keeps_open and not shape.ends_with_connection
        return _Answer(told, body, is_open)


def _ignore_leaving(_worker: workers.Worker) -> None:
    """Ignore what a server tells where nothing depends on it."""
