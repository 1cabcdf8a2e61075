"""Relays: a caller's request on its way to backend servers.

A request that may not run twice is sent once, unless the server says that
it did not run it.
"""

import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.gateway import (
    admissions,
    events,
    exchanges,
    measures,
    routes,
    turns,
    workers,
)

START_WAIT_MS = 800
"""After its start a host is told the configuration within this time."""
START_POLL_MS = 20
START_RETRY_MS = 300
"""For callers of a host that waits for its first configuration."""
MOST_REFUSALS = 4
"""Servers that may say 'not run', or be out of reach, for one request."""

logger = structlog.get_logger(part='relay')


class NotFoundError(exceptions.BadRequestError):
    """No route leads there."""

    code = 'no_route'
    http_status = 404


class BrokenAnswerError(exceptions.UnknownOutcomeError):
    """The backend server broke off; the call may have run."""

    code = 'broken_answer'
    http_status = 502


class DeadlineError(exceptions.UnknownOutcomeError):
    """The time was up while the backend server was at work."""

    code = 'deadline'


class Relay:
    """Forward requests.

    :param codec: translates headers.
    :param table: the backend servers.
    :param turn_desk: budgets and histories.
    :param timer: measures spans.
    :param policy: name of the placement policy.
    """

    def __init__(
        self,
        codec: exchanges.Codec,
        table: workers.WorkerTable,
        turn_desk: turns.TurnDesk,
        timer: clock.Clock,
        policy: str = 'home',
    ) -> None:
        """Start without a configuration."""
        self.routes: routes.RouteTable | None = None
        self.exchanger = exchanges.Exchanger(codec, turn_desk, timer)
        self._codec = codec
        self._table = table
        self._turns = turn_desk
        self._timer = timer
        self.admission = admissions.Admission(table, timer, policy)
        self._started_ms = timer.now_ms()
        self.latencies = measures.Histogram()
        self.queue_times = measures.Histogram()

    def handle(
        self, request: exchanges.Request, caller: exchanges.Caller
    ) -> None:
        """Answer a request.

        :raises CarobforkError: there is no answer of a backend server.
        """
        run = self._prepare(request)
        left_ms = run.until_ms - self._timer.now_ms()
        timeout = gevent.Timeout(clock.to_seconds(max(left_ms, 0)))
        try:
            with timeout:
                self._carry_out(run, caller)
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            run.failure = _deadline_error(run)
            raise run.failure from None
        except exceptions.CarobforkError as error:
            run.failure = error
            raise
        finally:
            self._close(run)

    def _prepare(self, request: exchanges.Request) -> exchanges.Run:
        self._wait_for_routes()
        head = request.head
        route = self.routes.match(head.get('host'), head.first[1])
        if route is None:
            raise NotFoundError(
                f'no route in version {self.routes.version}', step='route'
            )
        call = self._codec.decode_call(head)
        wait_ms = route.timeout_ms
        if call.deadline_ms is not None:
            wait_ms = min(wait_ms, call.deadline_ms)
        return exchanges.Run(
            request,
            call,
            route,
            route.draw_service(),
            request.arrived_ms + wait_ms,
            events.EventLog(call.last_event if route.is_resumable else ''),
            request.body,
        )

    def _wait_for_routes(self) -> None:
        """Wait for the first configuration, if this host has just started.

        Its callers have lost one host already: a refusal would cost them
        their next attempt, too.
        """
        until_ms = self._started_ms + START_WAIT_MS
        while self.routes is None:
            if self._timer.now_ms() > until_ms:
                raise exceptions.NotRunError(
                    'no configuration yet',
                    step='route',
                    retry_after_ms=START_RETRY_MS,
                )
            gevent.sleep(clock.to_seconds(START_POLL_MS))

    def _carry_out(self, run: exchanges.Run, caller: exchanges.Caller) -> None:
        if run.route.kind == routes.Kind.stream and run.call.program:
            self._open_turn(run)
        while not self._try_once(run, caller):
            logger.info(
                'trying another worker',
                request=run.call.attempt,
                worker=run.worker,
                runs=run.runs,
                refusals=run.refusals,
                was_kept=run.was_kept,
                last_event=run.log.last,
            )

    def _open_turn(self, run: exchanges.Run) -> None:
        """Reserve a turn and learn of the turns of other hosts."""
        service = self.routes.services.get(run.service)
        run.turn = self._turns.open(
            run.call,
            run.route,
            service.event_tokens if service else 1,
            run.request.body,
            self.admission.preview(run),
        )
        run.body = run.turn.history + run.request.body
        if run.turn.open_turns is not None:
            self._table.note_open_turns(run.turn.open_turns, run.turn.worker)

    def _close(self, run: exchanges.Run) -> None:
        if run.turn is not None:
            self._turns.close(run.turn, run.log.count)
        took_ms = self._timer.now_ms() - run.request.arrived_ms
        self.latencies.observe(took_ms)
        self.queue_times.observe(run.queued_ms)
        logger.info(
            'request ended',
            request=run.call.attempt,
            program=run.call.program,
            route=run.route.name,
            version=self.routes.version,
            worker=run.worker,
            runs=run.runs,
            refusals=run.refusals,
            was_kept=run.was_kept,
            events=run.log.count,
            queued_ms=round(run.queued_ms),
            took_ms=round(took_ms),
            outcome=run.failure.outcome.value if run.failure else 'answered',
            reason=str(run.failure or ''),
        )

    def _try_once(self, run: exchanges.Run, caller: exchanges.Caller) -> bool:
        """Send the request to one server; tell whether it was answered."""
        with self.admission.slot(run) as worker:
            run.worker = worker.instance
            if run.turn is not None:
                self._turns.place(run.turn, run.worker)
            try:
                self.exchanger.exchange(run, worker, caller)
            except exchanges.ServerRefusedError as error:
                self._note_refusal(run, error)
            except exceptions.ConnectionFailedError as error:
                worker.note_failure(self._timer.now_ms())
                self.exchanger.pool.discard(worker)
                self._note_failure(run, error)
            else:
                return True
            run.avoided = run.avoided.union((worker.instance,))
        return False

    def _note_refusal(
        self, run: exchanges.Run, error: exceptions.CarobforkError
    ) -> None:
        run.refusals += 1
        if run.refusals >= MOST_REFUSALS:
            raise self.admission.refusal(run, error.message) from error

    def _note_failure(
        self, run: exchanges.Run, error: exceptions.ConnectionFailedError
    ) -> None:
        """Count a run that broke off; go on only where that is allowed."""
        if not error.sent:
            self._note_refusal(run, error)
            return
        left_ms = run.until_ms - self._timer.now_ms()
        if not run.may_repeat() or left_ms < exchanges.LEAST_LEFT_MS:
            raise BrokenAnswerError(
                error.message, step='relay', peer=run.worker
            ) from error
        run.runs += 1


def _deadline_error(run: exchanges.Run) -> exceptions.CarobforkError:
    if run.is_sent:
        return DeadlineError('the time was up', step='relay', peer=run.worker)
    return exceptions.NotRunError('the time was up', step='wait')
