"""Send one request to one backend server and relay the answer.

Answers are matched to requests by the attempt that the server echoes, never
by their order on a connection.
"""

import contextlib
from collections.abc import Callable, Iterator

import structlog
from gevent import lock

from carobfork import clock, exceptions
from carobfork.gateway import (
    answer_readers,
    connection_pools,
    contexts,
    failures,
    ports,
    request_senders,
    routes,
    stalls,
    stream_relays,
    turns,
    worker_tables,
    workers,
)

LARGE_TURN_BYTES = 262_144
"""Turns with longer requests are stored one at a time: each store host gets an
encoded copy, which together take several times the room of the request."""
_STEP = 'relay'
_REDIRECT_STATUS = 300
_SERVER_ERROR_STATUS = 500
_NOT_RUN_STATUSES = frozenset((402, 408, 421, 429, 503))
"""HTTP statuses by which callers conclude that a call has not run."""

CheckProcess = Callable[
    [contexts.RequestContext, connection_pools.Connection], bool
]
"""Checks which process a connection leads to, and whether it is alive if it is
unproved; returns whether it is open and may be used."""

logger = structlog.get_logger(part='exchange')


class Exchanger:
    """Send requests to backend servers and relay their answers.

    :ivar stalls: notices servers that do not answer.
    :param codec: translates heads to and from call metadata.
    :param turn_manager: stores complete turns.
    :param timer: the clock for deadlines and durations.
    :param table: learns from answers which servers are limited or leave.
    :param check_process: checks which process a connection leads to.
    """

    def __init__(
        self,
        codec: ports.Codec,
        turn_manager: turns.TurnManager,
        timer: clock.Clock,
        table: worker_tables.WorkerTable,
        check_process: CheckProcess,
    ) -> None:
        """Create an exchanger with an empty connection pool."""
        self._check_process = check_process
        self.pool = connection_pools.ConnectionPool(timer)
        self.sent_to_limited = 0
        self.stalls = stalls.StallDetector(timer)
        self._codec = codec
        self._turns = turn_manager
        self._large_turns = lock.BoundedSemaphore()
        self._timer = timer
        self._table = table
        self._reader = answer_readers.AnswerReader(codec, table.leaving.record)

    def exchange(
        self,
        context: contexts.RequestContext,
        worker: workers.Worker,
        response: ports.ResponseWriter,
        connection: connection_pools.Connection | None = None,
    ) -> None:
        """Send a request once and relay the answer.

        :param context: the request.
        :param worker: the backend server to send it to.
        :param response: the writer of the caller's response.
        :param connection: an open connection to the server, if there is one.
        :raises ServerRefusedError: if the server did not run the call.
        :raises NotRunError: if too little time is left and nothing was sent.
        :raises DeadlineError: if too little time is left to send it again.
        :raises ConnectionFailedError: if the exchange failed. The caller has
            then received at most complete events.
        :raises AnswerDroppedError: if there is no room for the answer.
        """
        started_ms = self._timer.now_ms()
        context.is_at_server = False
        if connection is None:
            self._left_ms(context)
            connection = self.connect(context, worker)
        try:
            with self._watch(context, worker) as watch:
                answer = self._send(context, worker, connection, watch)
                self._relay_answer(context, connection, answer, response, watch)
        except BaseException:
            connection.close()
            context.was_reused = connection.is_reused
            raise
        now_ms = self._timer.now_ms()
        worker.record_success(now_ms - started_ms, now_ms)
        self._release_connection(worker, connection, answer)

    def connect(
        self, context: contexts.RequestContext, worker: workers.Worker
    ) -> connection_pools.Connection:
        """Return a connection to the process of a worker's entry.

        If the server closes the connection on which it was asked for its
        process, or does not prove it alive, another one is opened at once.

        :raises ConnectionFailedError: if there is none; nothing was sent.
        """
        connection = self.pool.acquire(
            worker, connection_pools.max_unproved_idle_ms(context.route)
        )
        try:
            is_open = self._check_process(context, connection)
        except BaseException:
            connection.close()
            raise
        if is_open:
            return connection
        connection.close()
        successor = self.pool.open(worker)
        successor.is_confirmed = True
        return successor

    @contextlib.contextmanager
    def _watch(
        self, context: contexts.RequestContext, worker: workers.Worker
    ) -> Iterator[stalls.Watch]:
        """Watch the progress of an exchange.

        :raises ConnectionFailedError: if it stalls and may be tried elsewhere.
        """
        try:
            with self.stalls.watch(context, worker) as watch:
                yield watch
        except stalls.StalledError as error:
            raise exceptions.ConnectionFailedError(
                str(error), sent=True, step=_STEP, peer=worker.instance
            ) from error

    def _left_ms(self, context: contexts.RequestContext) -> float:
        """Return the time left to send a request.

        :raises NotRunError: if it is too short and nothing was sent.
        :raises DeadlineError: if it is too short to send the request again.
        """
        left_ms = context.deadline_at_ms - self._timer.now_ms()
        if left_ms < contexts.MIN_LEFT_MS:
            raise context.deadline_error(left_ms)
        return left_ms

    def _release_connection(
        self,
        worker: workers.Worker,
        connection: connection_pools.Connection,
        answer: answer_readers.Answer,
    ) -> None:
        if answer.keeps_open and worker.leaving_since_ms is None:
            self.pool.release(worker, connection, answer.told.idle_ms)
        else:
            connection.close()

    def _send(
        self,
        context: contexts.RequestContext,
        worker: workers.Worker,
        connection: connection_pools.Connection,
        watch: stalls.Watch,
    ) -> answer_readers.Answer:
        with request_senders.OutgoingRequest(
            context, self._turns.histories, watch
        ) as request:
            head = self._encode_head(context, worker, connection)
            context.is_sent = True
            context.is_at_server = True
            context.has_output = False
            self._log_limited(context, worker)
            with failures.raise_as_failure(worker.instance):
                connection.sock.settimeout(None)
                with request.send(connection, head):
                    answer = self._reader.read(context, connection)
        if answer.told.load:
            worker.record_load(answer.told.load, self._timer.now_ms())
        if not answer.told.is_elsewhere:
            self._record_limit(worker, answer)
        if answer.told.not_run:
            context.is_sent = context.failed_attempts > 0
            self._raise_refusal(worker, connection, answer)
        return answer

    def _encode_head(
        self,
        context: contexts.RequestContext,
        worker: workers.Worker,
        connection: connection_pools.Connection,
    ) -> bytes:
        left_ms = self._left_ms(context)
        stream_relays.check_process(context, connection, sent=False)
        return self._codec.encode_request(
            context.request.head,
            worker.instance,
            left_ms,
            context.body_bytes,
            context.event_log.last_id,
            context.tenant_name if context.has_tenants else None,
        )

    def _record_limit(
        self, worker: workers.Worker, answer: answer_readers.Answer
    ) -> None:
        """Record a limit, or its absence in the answer to a call that ran."""
        told = answer.told
        if told.limit_per_s is not None or not told.not_run:
            self._table.limiter.record(worker, told.limit_per_s)

    def _log_limited(
        self, context: contexts.RequestContext, worker: workers.Worker
    ) -> None:
        if worker.limit_per_s is not None:
            self.sent_to_limited += 1
            logger.info(
                'sent to limited worker',
                request=context.call.attempt,
                worker=worker.instance,
                limit_per_s=worker.limit_per_s,
                runs=context.failed_attempts,
                refusals=context.refusals,
            )

    def _raise_refusal(
        self,
        worker: workers.Worker,
        connection: connection_pools.Connection,
        answer: answer_readers.Answer,
    ) -> None:
        with failures.raise_as_refusal(worker.instance):
            connection.reader.read_body(
                answer.shape, answer_readers.MAX_ANSWER_BYTES
            )
        # The connection is not kept: a late copy of a refusal that names no
        # attempt would be taken for the answer to the next request on it.
        if answer.told.is_elsewhere:
            worker.record_failure(self._timer.now_ms())
        else:
            worker.pace.record_refusal(self._timer.now_ms())
        raise exceptions.ServerRefusedError(
            f'the server refused the call with status {answer.told.status}',
            step=_STEP,
            peer=worker.instance,
        )

    def _relay_answer(
        self,
        context: contexts.RequestContext,
        connection: connection_pools.Connection,
        answer: answer_readers.Answer,
        response: ports.ResponseWriter,
        watch: stalls.Watch,
    ) -> None:
        status = answer.told.status
        if (
            context.route.kind == routes.Kind.stream
            and status < _REDIRECT_STATUS
        ):
            self._relay_stream(context, connection, answer, response, watch)
            return
        with self.pool.room.hold(on_wait=watch.pause) as room:
            with failures.raise_as_failure(context.worker):
                body = connection.reader.read_body(
                    answer.shape, answer_readers.MAX_ANSWER_BYTES, room
                )
            watch.record_progress()
            self._respond(context, answer, body, response)

    def _respond(
        self,
        context: contexts.RequestContext,
        answer: answer_readers.Answer,
        body: bytes,
        response: ports.ResponseWriter,
    ) -> None:
        """Pass on an answer that was read whole, unless it is unusable.

        :raises ConnectionFailedError: if it is.
        """
        status = answer.told.status
        # Some statuses tell the caller that the call did not run. They are
        # not passed on unless the server has declared that.
        is_unusable = status in _NOT_RUN_STATUSES or response.has_begun
        if is_unusable or (
            status >= _SERVER_ERROR_STATUS and context.can_retry()
        ):
            raise exceptions.ConnectionFailedError(
                f'the server answered with status {status}',
                sent=True,
                step=_STEP,
                peer=context.worker,
            )
        response.respond(status, answer.head.end_to_end(), body)

    def _relay_stream(
        self,
        context: contexts.RequestContext,
        connection: connection_pools.Connection,
        answer: answer_readers.Answer,
        response: ports.ResponseWriter,
        watch: stalls.Watch,
    ) -> None:
        stream_relays.check_is_stream(context, answer.head)
        if not response.has_begun:
            response.begin(answer.told.status, answer.head.end_to_end())
        with self.pool.room.hold(on_wait=watch.pause) as room:
            stream_relays.StreamRelay(
                context, connection, response, watch, room
            ).run(answer.shape)
            self._store_turn(context)
        response.end()

    def _store_turn(self, context: contexts.RequestContext) -> None:
        if context.turn is None:
            return
        is_large = len(context.request.body) > LARGE_TURN_BYTES
        with self._large_turns if is_large else contextlib.nullcontext():
            self._turns.store(context.turn, context.event_log)


def trust_process(
    _context: contexts.RequestContext,
    connection: connection_pools.Connection,
) -> bool:
    """Trust the process at the other end; use no connection unproved."""
    return not connection.is_unproved
