"""Exchanges: one request sent once to one backend server, and its answer.

Answers are matched to requests by the attempt that the server echoes, never
by their order on a connection.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs
import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.gateway import (
    calls,
    connection_pools,
    events,
    framing,
    routes,
    turns,
    workers,
)

MAX_STRAY_ANSWERS = 2
"""Late answers to other requests that are skipped on one connection."""
MAX_ANSWER_BYTES = 1_048_576
"""Answers up to this size are read whole before they are passed on."""
MAX_BLOCKING_SEND_BYTES = 16_384
"""Longer bodies are sent while the answer is awaited: it may come early."""
MIN_LEFT_MS = 15
"""With less time left no server can answer."""
_STEP = 'relay'
_REDIRECT_STATUS = 300
_SERVER_ERROR_STATUS = 500
_NOT_RUN_STATUSES = frozenset((402, 408, 421, 429, 503))
"""Statuses that promise that a call has not run."""

logger = structlog.get_logger(part='exchange')


class ServerRefusedError(exceptions.NotRunError):
    """The backend server said that it did not run the call."""

    code = 'server_refused'


class Codec(Protocol):
    """Translate headers."""

    def decode_call(self, head: framing.Head) -> calls.Call:
        """Return what a request says about itself."""

    def encode_request(
        self,
        head: framing.Head,
        instance: str,
        left_ms: float,
        body_bytes: int,
        last_event: str,
    ) -> bytes:
        """Return the head that the backend server gets."""

    def decode_answer(self, head: framing.Head) -> calls.ServerAnswer:
        """Return what a response says about itself."""


class ResponseWriter(Protocol):
    """The caller's end of a request."""

    has_begun: bool

    def respond(
        self, status: int, fields: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole response."""

    def begin(self, status: int, fields: list[tuple[str, str]]) -> None:
        """Prepare the head of a response of unknown length."""

    def send(self, piece: bytes) -> None:
        """Send a piece of the body."""

    def end(self) -> None:
        """End the body."""


@attrs.frozen
class Request:
    """A request that was read whole."""

    head: framing.Head
    body: bytes
    arrived_ms: float


@attrs.define(eq=False)
class RequestContext:
    """One request on its way.

    :param until_ms: when its time is up.
    :param log: the events that the caller was given.
    :param body: what the backend server gets.
    :param is_sent: whether a server may be at work on it.
    :param runs: sends that broke off.
    :param refusals: servers that did not run it.
    :param was_kept: whether the last exchange that broke off was on a kept
        connection.
    :param failure: why the caller got no server's answer, if it got none.
    """

    request: Request
    call: calls.Call
    route: routes.Route
    service: str
    deadline_at_ms: float
    event_log: events.EventLog
    body: bytes
    turn: turns.Turn | None = None
    is_sent: bool = False
    failed_attempts: int = 0
    refusals: int = 0
    avoided: frozenset[str] = frozenset()
    worker: str = ''
    queued_ms: float = 0
    was_reused: bool = False
    failure: exceptions.CarobforkError | None = None

    def can_retry(self) -> bool:
        """Tell whether it may be sent again after a run that failed."""
        return (
            self.route.is_repeatable
            and self.failed_attempts + 1 < self.route.max_attempts
        )


@attrs.frozen
class _Answer:
    """A response's head and what follows from it."""

    head: framing.Head
    told: calls.ServerAnswer
    shape: framing.BodyShape

    @property
    def keeps_open(self) -> bool:
        """Whether the connection can be used again."""
        return self.head.keeps_open and not self.shape.ends_with_connection


class Exchanger:
    """Send requests to backend servers and pass their answers on.

    :param codec: translates headers.
    :param turn_desk: keeps the turns that ended whole.
    :param timer: measures spans.
    """

    def __init__(
        self, codec: Codec, turn_manager: turns.TurnManager, timer: clock.Clock
    ) -> None:
        """Start without connections."""
        self.pool = connection_pools.ConnectionPool(timer)
        self._codec = codec
        self._turns = turn_manager
        self._timer = timer

    def exchange(
        self,
        context: RequestContext,
        worker: workers.Worker,
        response: ResponseWriter,
    ) -> None:
        """Send a request once and pass its answer on.

        :raises ServerRefusedError: the server did not run it.
        :raises ConnectionFailedError: the exchange broke off; the caller
            has nothing but whole events.
        """
        started_ms = self._timer.now_ms()
        connection = self.pool.acquire(
            worker, connection_pools.max_idle_ms(context.route)
        )
        try:
            answer = self._send(context, worker, connection)
            self._relay_answer(context, worker, connection, answer, response)
        except BaseException:
            connection.close()
            context.was_reused = connection.is_reused
            raise
        now_ms = self._timer.now_ms()
        worker.record_success(now_ms - started_ms, now_ms)
        self._release_connection(worker, connection, answer)

    def _release_connection(
        self,
        worker: workers.Worker,
        connection: connection_pools.Connection,
        answer: _Answer,
    ) -> None:
        if answer.keeps_open:
            self.pool.release(worker, connection, answer.told.idle_ms)
        else:
            connection.close()

    def _send(
        self,
        context: RequestContext,
        worker: workers.Worker,
        connection: connection_pools.Connection,
    ) -> _Answer:
        left_ms = context.deadline_at_ms - self._timer.now_ms()
        if left_ms < MIN_LEFT_MS:
            raise exceptions.ConnectionFailedError(
                'too little time left', sent=False, step=_STEP
            )
        head = self._codec.encode_request(
            context.request.head,
            worker.instance,
            left_ms,
            len(context.body),
            context.event_log.last_id,
        )
        context.is_sent = True
        with _raise_as_failure(worker.instance):
            connection.sock.settimeout(None)
            with _sending(connection, head + context.body):
                answer = self._read_matching_answer(context, connection)
        if answer.told.load:
            running, waiting, _slots = answer.told.load
            worker.update_load(running + waiting, self._timer.now_ms())
        if answer.told.not_run:
            context.is_sent = context.failed_attempts > 0
            self._raise_refusal(worker, connection, answer)
        return answer

    def _raise_refusal(
        self,
        worker: workers.Worker,
        connection: connection_pools.Connection,
        answer: _Answer,
    ) -> None:
        with _raise_as_refusal(worker.instance):
            connection.reader.read_body(answer.shape, MAX_ANSWER_BYTES)
        self._release_connection(worker, connection, answer)
        if answer.told.is_elsewhere:
            worker.record_failure(self._timer.now_ms())
        raise ServerRefusedError(
            f'the server answered {answer.told.status}, not run',
            step=_STEP,
            peer=worker.instance,
        )

    def _read_matching_answer(
        self, context: RequestContext, connection: connection_pools.Connection
    ) -> _Answer:
        """Return the answer to this request, skipping late ones."""
        for _ in range(MAX_STRAY_ANSWERS + 1):
            answer = self._read_answer(context, connection)
            if answer.told.is_for(context.call.attempt):
                return answer
            logger.warning(
                'stray answer',
                request=context.call.attempt,
                other=answer.told.attempt,
                worker=context.worker,
            )
            if not answer.told.attempt:
                # It answers nobody; waiting for another would be vain.
                break
            connection.reader.read_body(answer.shape, MAX_ANSWER_BYTES)
        raise framing.FramingError('no answer to the request', step=_STEP)

    def _read_answer(
        self, context: RequestContext, connection: connection_pools.Connection
    ) -> _Answer:
        head = connection.reader.read_head(framing.MAX_HEAD_BYTES)
        if head is None:
            raise EOFError('the server closed the connection')
        decoded = self._codec.decode_answer(head)
        if decoded.is_encoded:
            raise framing.FramingError('the body is encoded', step=_STEP)
        shape = framing.response_shape(head, context.request.head.first[0])
        return _Answer(head, decoded, shape)

    def _relay_answer(
        self,
        context: RequestContext,
        worker: workers.Worker,
        connection: connection_pools.Connection,
        answer: _Answer,
        response: ResponseWriter,
    ) -> None:
        status = answer.told.status
        if (
            context.route.kind == routes.Kind.stream
            and status < _REDIRECT_STATUS
        ):
            self._relay_stream(context, worker, connection, answer, response)
            return
        with _raise_as_failure(worker.instance):
            body = connection.reader.read_body(answer.shape, MAX_ANSWER_BYTES)
        # Without the server's word that it did not run the call, some
        # statuses would promise too much.
        is_unusable = status in _NOT_RUN_STATUSES or response.has_begun
        if is_unusable or (
            status >= _SERVER_ERROR_STATUS and context.can_retry()
        ):
            raise exceptions.ConnectionFailedError(
                f'the server answered {status}',
                sent=True,
                step=_STEP,
                peer=worker.instance,
            )
        response.respond(status, answer.head.end_to_end(), body)

    def _relay_stream(
        self,
        context: RequestContext,
        worker: workers.Worker,
        connection: connection_pools.Connection,
        answer: _Answer,
        response: ResponseWriter,
    ) -> None:
        if not response.has_begun:
            response.begin(answer.told.status, answer.head.end_to_end())
        splitter = events.EventSplitter()
        with _raise_as_failure(worker.instance):
            for piece in connection.reader.iter_body(answer.shape):
                new_bytes = _accept_new(context, splitter.feed(piece), worker)
                if new_bytes:
                    response.send(new_bytes)
            if splitter.remainder:
                raise EOFError('the stream ended inside an event')
        if context.turn is not None:
            self._turns.store(context.turn, context.event_log)
        response.end()


def _accept_new(
    context: RequestContext,
    received: list[events.Event],
    worker: workers.Worker,
) -> bytes:
    """Return the bytes of the events that are new to the caller."""
    try:
        return b''.join(
            event.raw for event in received if context.event_log.accept(event)
        )
    except events.EventOrderError as error:
        raise exceptions.ConnectionFailedError(
            error.message, sent=True, step=_STEP, peer=worker.instance
        ) from error


@contextlib.contextmanager
def _raise_as_failure(peer: str) -> Iterator[None]:
    """Report a broken exchange as one that may have run."""
    try:
        yield
    except exceptions.ConnectionFailedError:
        raise
    except (OSError, EOFError, exceptions.BadRequestError) as error:
        raise exceptions.ConnectionFailedError(
            str(error), sent=True, step=_STEP, peer=peer
        ) from error


@contextlib.contextmanager
def _raise_as_refusal(peer: str) -> Iterator[None]:
    """Report a refusal whose body broke off: the head has said it."""
    try:
        yield
    except (OSError, EOFError, exceptions.BadRequestError) as error:
        raise ServerRefusedError(
            f'not run, then {error}', step=_STEP, peer=peer
        ) from error


@contextlib.contextmanager
def _sending(
    connection: connection_pools.Connection, payload: bytes
) -> Iterator[None]:
    """Send a request; a long one while the answer is awaited.

    The connection is spoilt where the answer comes before the request was
    sent: the server may go on to read it.
    """
    if len(payload) <= MAX_BLOCKING_SEND_BYTES:
        connection.sock.sendall(payload)
        yield
        return
    writer = gevent.spawn(_send_in_background, connection.sock.sendall, payload)
    try:
        yield
    finally:
        if not writer.ready():
            writer.kill(block=False)
            connection.has_partial_request = True


def _send_in_background(send: Callable[[bytes], None], payload: bytes) -> None:
    try:
        send(payload)
    except OSError as error:
        # The reader of the answer meets the same failure and reports it.
        logger.debug('request not sent whole', reason=str(error))
