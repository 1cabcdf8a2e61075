"""Relays: a caller's request on its way to backend servers.

A request that may not run twice is sent once, unless the server says that
it did not run it.
"""

import contextlib
from collections.abc import Iterator

import gevent
import structlog
from gevent import event

from carobfork import clock, exceptions
from carobfork.gateway import (
    desks,
    events,
    exchanges,
    measures,
    placements,
    routes,
    turns,
    workers,
)

SERVE_EVERY_MS = 20
"""Between looks at calls that wait: slots come free at other hosts, too."""
START_WAIT_MS = 800
"""After its start a host is told the configuration within this time."""
START_POLL_MS = 20
START_RETRY_MS = 300
"""For callers of a host that waits for its first configuration."""
MOST_REFUSALS = 4
"""Servers that may say 'not run', or be out of reach, for one request."""
_SPREADS = 1000

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
        self._policy = placements.PLACEMENTS[policy]
        self._desks: dict[str, desks.Desk] = {}
        self._has_waiting = event.Event()
        self._started_ms = timer.now_ms()
        self.latencies = measures.Histogram()
        self.queue_times = measures.Histogram()

    def desk(self, service: str) -> desks.Desk:
        """Return the desk of a service."""
        if service not in self._desks:
            self._desks[service] = desks.Desk(
                service,
                self._table,
                self._timer,
                self._policy,
                self._has_waiting.set,
            )
        return self._desks[service]

    def waiting(self) -> dict[str, int]:
        """Return the calls that wait for a slot, by service."""
        return {
            name: len(desk.waiting)
            for name, desk in self._desks.items()
            if desk.waiting
        }

    def serve_desks(self) -> None:
        """Let all desks look at what waits."""
        for desk in list(self._desks.values()):
            desk.serve()

    def run_desks(self) -> None:
        """Serve what waits, until the greenlet is killed.

        Sleeps where nothing waits, as is usual on most hosts.
        """
        while True:
            self._has_waiting.wait()
            self.serve_desks()
            if not self.waiting():
                self._has_waiting.clear()
            gevent.sleep(clock.to_seconds(SERVE_EVERY_MS))

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
            service = self.routes.services.get(run.service)
            run.turn = self._turns.open(
                run.call,
                run.route,
                service.event_tokens if service else 1,
                run.request.body,
            )
            run.body = run.turn.history + run.request.body
        while not self._try_once(run, caller):
            logger.info(
                'trying another worker',
                request=run.call.attempt,
                worker=run.worker,
                runs=run.runs,
                refusals=run.refusals,
                last_event=run.log.last,
            )

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
            events=run.log.count,
            queued_ms=round(run.queued_ms),
            took_ms=round(took_ms),
            outcome=run.failure.outcome.value if run.failure else 'answered',
            reason=str(run.failure or ''),
        )

    def _try_once(self, run: exchanges.Run, caller: exchanges.Caller) -> bool:
        """Send the request to one server; tell whether it was answered."""
        with self._slot(run) as worker:
            run.worker = worker.instance
            try:
                self.exchanger.exchange(run, worker, caller)
            except exchanges.ServerRefusedError as error:
                self._note_refusal(run, error)
            except exceptions.ConnectionFailedError as error:
                worker.note_failure(self._timer.now_ms())
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
            raise self._refusal(run, error.message) from error

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

    @contextlib.contextmanager
    def _slot(self, run: exchanges.Run) -> Iterator[workers.Worker]:
        """Hold a slot of a server.

        :raises OverloadedError: there is none in time.
        """
        desk = self.desk(run.service)
        worker = self._wait_for_slot(run, desk)
        taken_ms = self._timer.now_ms()
        try:
            yield worker
        finally:
            desk.release(worker, self._timer.now_ms() - taken_ms)

    def _wait_for_slot(
        self, run: exchanges.Run, desk: desks.Desk
    ) -> workers.Worker:
        asked_ms = self._timer.now_ms()
        granted = event.AsyncResult()
        ticket = desks.Ticket(
            run.call,
            run.route,
            run.until_ms - asked_ms,
            granted.set,
            run.avoided,
        )
        desk.submit(ticket)
        try:
            worker = granted.get()
        except BaseException:
            desk.withdraw(ticket)
            if granted.ready() and granted.value is not None:
                desk.release(granted.value, 0)
            raise
        run.queued_ms += self._timer.now_ms() - asked_ms
        if worker is None:
            raise self._refusal(run, 'no free slot')
        return worker

    def _refusal(
        self, run: exchanges.Run, reason: str
    ) -> exceptions.CarobforkError:
        desk = self.desk(run.service)
        left_ms = run.until_ms - self._timer.now_ms()
        # Attempts are random, so their hashes spread a burst's return.
        spread = (hash(run.call.attempt) % _SPREADS) / _SPREADS
        return exceptions.OverloadedError(
            f'{reason}; {len(desk.waiting)} wait',
            step='admit',
            peer=run.service,
            retry_after_ms=int(desk.retry_after_ms(left_ms, spread)),
        )


def _deadline_error(run: exchanges.Run) -> exceptions.CarobforkError:
    if run.is_sent:
        return DeadlineError('the time was up', step='relay', peer=run.worker)
    return exceptions.NotRunError('the time was up', step='wait')
