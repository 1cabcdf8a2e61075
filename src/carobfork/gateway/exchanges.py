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
    events,
    framing,
    pools,
    routes,
    turns,
    workers,
)

MOST_STRAY_ANSWERS = 2
"""Late answers to other requests that are skipped on one connection."""
MAX_ANSWER_BYTES = 1_048_576
"""Answers up to this size are read whole before they are passed on."""
LONG_BODY_BYTES = 16_384
"""Longer bodies are sent while the answer is awaited: it may come early."""
LEAST_LEFT_MS = 15
"""With less time left no server can answer."""
_STEP = 'relay'
_OK = 300
_FAILED = 500
_PROMISES = frozenset((402, 408, 421, 429, 503))
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


class Caller(Protocol):
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
class Run:
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
    until_ms: float
    log: events.EventLog
    body: bytes
    turn: turns.Turn | None = None
    is_sent: bool = False
    runs: int = 0
    refusals: int = 0
    avoided: frozenset[str] = frozenset()
    worker: str = ''
    queued_ms: float = 0
    was_kept: bool = False
    failure: exceptions.CarobforkError | None = None

    def may_repeat(self) -> bool:
        """Tell whether it may be sent again after a run that failed."""
        return self.route.is_repeatable and self.runs + 1 < self.route.attempts


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
        self, codec: Codec, turn_desk: turns.TurnDesk, timer: clock.Clock
    ) -> None:
        """Start without connections."""
        self.pool = pools.Pool(timer)
        self._codec = codec
        self._turns = turn_desk
        self._timer = timer

    def exchange(
        self, run: Run, worker: workers.Worker, caller: Caller
    ) -> None:
        """Send a request once and pass its answer on.

        :raises ServerRefusedError: the server did not run it.
        :raises ConnectionFailedError: the exchange broke off; the caller
            has nothing but whole events.
        """
        started_ms = self._timer.now_ms()
        connection = self.pool.take(worker, pools.most_idle_ms(run.route))
        try:
            answer = self._send(run, worker, connection)
            self._pass_on(run, worker, connection, answer, caller)
        except BaseException:
            connection.close()
            run.was_kept = connection.is_reused
            raise
        now_ms = self._timer.now_ms()
        worker.note_success(now_ms - started_ms, now_ms)
        self._finish(worker, connection, answer)

    def _finish(
        self,
        worker: workers.Worker,
        connection: pools.Connection,
        answer: _Answer,
    ) -> None:
        if answer.keeps_open:
            self.pool.give_back(worker, connection, answer.told.idle_ms)
        else:
            connection.close()

    def _send(
        self, run: Run, worker: workers.Worker, connection: pools.Connection
    ) -> _Answer:
        left_ms = run.until_ms - self._timer.now_ms()
        if left_ms < LEAST_LEFT_MS:
            raise exceptions.ConnectionFailedError(
                'too little time left', sent=False, step=_STEP
            )
        head = self._codec.encode_request(
            run.request.head,
            worker.instance,
            left_ms,
            len(run.body),
            run.log.last,
        )
        run.is_sent = True
        with _broken_as_failure(worker.instance):
            connection.sock.settimeout(None)
            with _sending(connection, head + run.body):
                answer = self._read_head(run, connection)
        if answer.told.load:
            running, waiting, _slots = answer.told.load
            worker.note_load(running + waiting, self._timer.now_ms())
        if answer.told.not_run:
            run.is_sent = run.runs > 0
            self._drop_refusal(worker, connection, answer)
        return answer

    def _drop_refusal(
        self,
        worker: workers.Worker,
        connection: pools.Connection,
        answer: _Answer,
    ) -> None:
        with _broken_as_refusal(worker.instance):
            connection.reader.read_body(answer.shape, MAX_ANSWER_BYTES)
        self._finish(worker, connection, answer)
        if answer.told.is_elsewhere:
            worker.note_failure(self._timer.now_ms())
        raise ServerRefusedError(
            f'the server answered {answer.told.status}, not run',
            step=_STEP,
            peer=worker.instance,
        )

    def _read_head(self, run: Run, connection: pools.Connection) -> _Answer:
        """Return the answer to this request, skipping late ones."""
        for _ in range(MOST_STRAY_ANSWERS + 1):
            answer = self._next_head(run, connection)
            if answer.told.is_for(run.call.attempt):
                return answer
            logger.warning(
                'stray answer',
                request=run.call.attempt,
                other=answer.told.attempt,
                worker=run.worker,
            )
            if not answer.told.attempt:
                # It answers nobody; waiting for another would be vain.
                break
            connection.reader.read_body(answer.shape, MAX_ANSWER_BYTES)
        raise framing.FramingError('no answer to the request', step=_STEP)

    def _next_head(self, run: Run, connection: pools.Connection) -> _Answer:
        head = connection.reader.read_head(framing.HEAD_BYTES)
        if head is None:
            raise EOFError('the server closed the connection')
        told = self._codec.decode_answer(head)
        if told.is_encoded:
            raise framing.FramingError('the body is encoded', step=_STEP)
        shape = framing.response_shape(head, run.request.head.first[0])
        return _Answer(head, told, shape)

    def _pass_on(
        self,
        run: Run,
        worker: workers.Worker,
        connection: pools.Connection,
        answer: _Answer,
        caller: Caller,
    ) -> None:
        status = answer.told.status
        if run.route.kind == routes.Kind.stream and status < _OK:
            self._pass_stream(run, worker, connection, answer, caller)
            return
        with _broken_as_failure(worker.instance):
            body = connection.reader.read_body(answer.shape, MAX_ANSWER_BYTES)
        # Without the server's word that it did not run the call, some
        # statuses would promise too much.
        is_unfit = status in _PROMISES or caller.has_begun
        if is_unfit or (status >= _FAILED and run.may_repeat()):
            raise exceptions.ConnectionFailedError(
                f'the server answered {status}',
                sent=True,
                step=_STEP,
                peer=worker.instance,
            )
        caller.respond(status, answer.head.end_to_end(), body)

    def _pass_stream(
        self,
        run: Run,
        worker: workers.Worker,
        connection: pools.Connection,
        answer: _Answer,
        caller: Caller,
    ) -> None:
        if not caller.has_begun:
            caller.begin(answer.told.status, answer.head.end_to_end())
        splitter = events.EventSplitter()
        with _broken_as_failure(worker.instance):
            for piece in connection.reader.pieces(answer.shape):
                fresh = _accept(run, splitter.feed(piece), worker)
                if fresh:
                    caller.send(fresh)
            if splitter.rest:
                raise EOFError('the stream ended inside an event')
        if run.turn is not None:
            self._turns.keep(run.turn, run.log)
        caller.end()


def _accept(
    run: Run, found: list[events.Event], worker: workers.Worker
) -> bytes:
    """Return the bytes of the events that are new to the caller."""
    try:
        return b''.join(event.raw for event in found if run.log.accept(event))
    except events.EventOrderError as error:
        raise exceptions.ConnectionFailedError(
            error.message, sent=True, step=_STEP, peer=worker.instance
        ) from error


@contextlib.contextmanager
def _broken_as_failure(peer: str) -> Iterator[None]:
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
def _broken_as_refusal(peer: str) -> Iterator[None]:
    """Report a refusal whose body broke off: the head has said it."""
    try:
        yield
    except (OSError, EOFError, exceptions.BadRequestError) as error:
        raise ServerRefusedError(
            f'not run, then {error}', step=_STEP, peer=peer
        ) from error


@contextlib.contextmanager
def _sending(connection: pools.Connection, payload: bytes) -> Iterator[None]:
    """Send a request; a long one while the answer is awaited.

    The connection is spoilt where the answer comes before the request was
    sent: the server may go on to read it.
    """
    if len(payload) <= LONG_BODY_BYTES:
        connection.sock.sendall(payload)
        yield
        return
    writer = gevent.spawn(_send_quietly, connection.sock.sendall, payload)
    try:
        yield
    finally:
        if not writer.ready():
            writer.kill(block=False)
            connection.is_spoilt = True


def _send_quietly(send: Callable[[bytes], None], payload: bytes) -> None:
    try:
        send(payload)
    except OSError as error:
        # The reader of the answer meets the same failure and reports it.
        logger.debug('request not sent whole', reason=str(error))
