"""Check that a connection leads to the process that the registry describes.

A backend server may start again under its name and at its address with other
software. The registry tells so a moment later, or long after where this host is
out of contact. Requests name the instance that may run them, not its process,
so a stream could be recorded with, or go on at, a version that is not there.
A connection leads to one process, so it is enough to ask once on each.
"""

import structlog

from carobfork import exceptions, time_limits
from carobfork.gateway import (
    connection_pools,
    contexts,
    failures,
    framing,
    ports,
)

REPORT_TIMEOUT_MS = 300
"""Reports need no slot; this covers many round trips to a busy server."""
MAX_REPORT_BYTES = 65_536
_STEP = 'check process'
_OK = '200'

logger = structlog.get_logger(part='processes')


class ProcessChecker:
    """Check connections on which streams that can be resumed are sent.

    :ivar reports: number of servers' reports that were asked for.
    :param codec: encodes the request for a report and decodes the answer.
    """

    def __init__(self, codec: ports.Codec) -> None:
        """Create a checker that has asked no server."""
        self.reports = 0
        self._codec = codec

    def check(
        self,
        context: contexts.RequestContext,
        connection: connection_pools.Connection,
    ) -> bool:
        """Ask which process a connection leads to, if a stream is resumable.

        A server whose entry or report names no start is not checked.

        :return: whether the connection is still open after the answer.
        :raises ConnectionFailedError: if it leads to another process, or the
            server does not answer; the request was not sent.
        """
        if connection.is_confirmed or not context.route.is_resumable:
            return True
        is_open = True
        if connection.worker.entry.started_ms:
            is_open = self._compare(connection)
        connection.is_confirmed = True
        return is_open

    def _compare(self, connection: connection_pools.Connection) -> bool:
        worker = connection.worker
        started_ms, is_open = self._ask(connection)
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
        self, connection: connection_pools.Connection
    ) -> tuple[float | None, bool]:
        """Return when the process at the other end started, if it tells.

        Return also whether the connection is still open.

        :raises ConnectionFailedError: if it does not answer in time.
        """
        self.reports += 1
        peer = connection.worker.instance
        late = TimeoutError(f'no report in {REPORT_TIMEOUT_MS} ms')
        with (
            failures.raise_as_failure(peer, sent=False),
            time_limits.time_limit(REPORT_TIMEOUT_MS, late),
        ):
            connection.sock.settimeout(None)
            connection.sock.sendall(
                self._codec.encode_report_request(connection.worker.instance)
            )
            head = connection.reader.read_head(framing.MAX_HEAD_BYTES)
            if head is None:
                raise EOFError('the server closed the connection')
            shape = framing.response_shape(head, 'GET')
            body = connection.reader.read_body(shape, MAX_REPORT_BYTES)
        is_open = head.keeps_open and not shape.ends_with_connection
        if head.first[1] != _OK:
            return None, is_open
        return self._codec.decode_report(body), is_open
