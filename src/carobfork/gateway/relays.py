"""Forward callers' requests to backend servers.

A request that must not run twice is sent again only if the backend server
declares that it did not run it, or if nothing was sent.
"""

import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.gateway import (
    contexts,
    crash_detectors,
    exchanges,
    fingerprints,
    metrics,
    places,
    ports,
    request_guards,
    routes,
    stream_versions,
    turns,
    worker_tables,
)
from carobfork.storage import messages
from carobfork.tenancy import credit_stocks, key_ages

STARTUP_TIMEOUT_MS = 800
"""How long a request waits for the first configuration: a host gets it within
this time after its start."""
STARTUP_POLL_INTERVAL_MS = 20
STARTUP_RETRY_AFTER_MS = 300
"""Retry delay for callers of a host that has no configuration in time."""
MAX_REFUSALS = 4
"""Maximum number of backend servers that refuse a request or can't be reached
before the request is refused, unless it is committed."""
MIN_RETRY_INTERVAL_MS = 25
"""Pause after the first refusal of a request that a server may have run: it
can't be refused any more. The pause doubles with each further refusal."""
MAX_RETRY_INTERVAL_MS = 200
"""Upper bound of that pause: a few times what a server needs to free a slot."""

logger = structlog.get_logger(part='relay')


class NotFoundError(exceptions.BadRequestError):
    """No route matches the request."""

    code = 'no_route'
    http_status = 404


class BrokenAnswerError(exceptions.UnknownOutcomeError):
    """The backend server gave no usable answer; the call may have run."""

    code = 'broken_answer'
    http_status = 502


class Relay:
    """Forward requests to backend servers and retry where that is safe.

    :ivar quota: decides which requests of a tenant may be sent; all, if it is
        not set.
    :param codec: translates heads to and from call metadata.
    :param table: the known backend servers.
    :param turn_manager: manages the budgets and histories of turns.
    :param timer: the clock for deadlines and durations.
    :param policy: registered name of the placement policy.
    :param guard: refuses requests that crash servers.
    :param check_process: checks which process a connection to a server leads
        to; by default all are trusted.
    """

    def __init__(
        self,
        codec: ports.Codec,
        table: worker_tables.WorkerTable,
        turn_manager: turns.TurnManager,
        timer: clock.Clock,
        policy: str = 'home',
        guard: request_guards.RequestGuard | None = None,
        check_process: exchanges.CheckProcess | None = None,
    ) -> None:
        """Create a relay without a configuration."""
        self.quota: ports.Quota = ports.NoQuota()
        self.guard = guard or request_guards.RequestGuard(timer, _ignore_report)
        self.routes: routes.RouteTable | None = None
        self.exchanger = exchanges.Exchanger(
            codec,
            turn_manager,
            timer,
            table,
            check_process or exchanges.trust_process,
        )
        self.crashes = crash_detectors.CrashDetector(
            table, timer, self.guard, self.exchanger.pool
        )
        self._codec = codec
        self.table = table
        self._turns = turn_manager
        self._timer = timer
        self._places = places.Places(
            table,
            timer,
            policy,
            self.exchanger.connect,
            places.Credits(self._new_credit, self._give_back),
            self.guard,
        )
        self.admission = self._places.admission
        self.exchanger.stalls.find_standby = self._places.find_standby
        self._started_ms = timer.now_ms()
        self.key_age = key_ages.KeyAge(timer)
        self.latencies = metrics.Histogram()
        self.queue_times = metrics.Histogram()
        self.streams_resumed = 0
        self.streams_continued = 0

    def handle(
        self, request: contexts.Request, response: ports.ResponseWriter
    ) -> None:
        """Forward a request and send the answer to the caller.

        :param request: the request.
        :param response: the writer of the caller's response.
        :raises CarobforkError: if no backend server has given a usable answer.
        """
        context = self._prepare(request)
        left_ms = context.deadline_at_ms - self._timer.now_ms()
        timeout = gevent.Timeout(clock.to_seconds(max(left_ms, 0)))
        try:
            with timeout:
                self._forward(context, response)
        except BaseException as error:
            context.failure = _explain(error, timeout, context)
            if context.failure is None or context.failure is error:
                raise
            raise context.failure from error.with_traceback(None)
        finally:
            self._close(context)
            # Its traceback refers to the context, and so to the body.
            context.failure = None

    def _prepare(self, request: contexts.Request) -> contexts.RequestContext:
        self._wait_for_routes()
        head = request.head
        route = self.routes.match(head.get('host'), head.first[1])
        if route is None:
            raise NotFoundError(
                f'no route matches in configuration {self.routes.version}',
                step='route',
            )
        call, tenant = contexts.identify(
            self.routes, route, self._codec.decode_call(head)
        )
        if tenant is not None:
            self.key_age.check()
        wait_ms = route.timeout_ms
        if call.deadline_ms is not None:
            wait_ms = min(wait_ms, call.deadline_ms)
        self.quota.check(tenant, self.routes.version)
        return contexts.RequestContext(
            request,
            call,
            route,
            route.choose_service(),
            request.arrived_ms + wait_ms,
            request.body,
            tenant,
            fingerprints.compute_fingerprints(head, call, request.body),
            has_tenants=self.routes.keys is not None,
        )

    def _wait_for_routes(self) -> None:
        """Wait for the first configuration if this host has just started.

        Callers that connect to a new host have often just lost another one. A
        refusal would use up their next attempt, too.

        :raises NotRunError: if there is no configuration in time.
        """
        until_ms = self._started_ms + STARTUP_TIMEOUT_MS
        while self.routes is None:
            if self._timer.now_ms() > until_ms:
                raise exceptions.NotRunError(
                    f'no configuration within {STARTUP_TIMEOUT_MS} ms',
                    step='route',
                    retry_after_ms=STARTUP_RETRY_AFTER_MS,
                )
            gevent.sleep(clock.to_seconds(STARTUP_POLL_INTERVAL_MS))

    def _forward(
        self,
        context: contexts.RequestContext,
        response: ports.ResponseWriter,
    ) -> None:
        self.admission.stop_guard.check(context)
        self.guard.check(context)
        self._take_credit(context)
        if context.route.kind == routes.Kind.stream and (
            context.call.program or context.route.is_resumable
        ):
            self._open_turn(context)
            self.guard.check(context)
        try:
            self._try_workers(context, response)
        except exceptions.NotRunError as error:
            if not context.failed_attempts:
                raise
            # The last refusal does not tell that no earlier attempt has run.
            raise BrokenAnswerError(
                f'{context.failed_attempts} attempts failed, then:'
                f' {error.message}',
                step=error.step,
                peer=error.peer,
            ) from error

    def _try_workers(
        self,
        context: contexts.RequestContext,
        response: ports.ResponseWriter,
    ) -> None:
        """Send the request to one worker after the other until one answers."""
        while not self._try_once(context, response):
            logger.info(
                'trying another worker',
                request=context.call.attempt,
                fingerprint=context.keys.request,
                worker=context.worker,
                server_version=context.server_version,
                runs=context.failed_attempts,
                refusals=context.refusals,
                was_kept=context.was_reused,
                last_event=context.event_log.last_id,
                reason=context.last_error,
                left_ms=round(context.deadline_at_ms - self._timer.now_ms()),
            )
            is_paced = context.failed_attempts and context.refusals
            if is_paced and context.standby is None:
                _pause(context.refusals)

    def _open_turn(self, context: contexts.RequestContext) -> None:
        """Reserve a turn and apply the count of other hosts' turns."""
        worker = self.admission.preview(context)
        likely = worker or next(iter(self.table.usable(context.service)), None)
        context.turn = self._turns.open(
            context.call,
            context.route,
            self._event_tokens(context),
            context.request.body,
            worker.instance if worker else '',
            context.keys,
            stream_versions.choose_version(context, likely),
        )
        if context.resumes_stream:
            self.streams_resumed += 1
            stream_versions.require_origin(context, self.table)
            self._turns.take_up(context.turn, context.event_log)
            self.streams_continued += 1
            context.turn.event_tokens = self._event_tokens(context)
        self.guard.learn(context.turn.crash_weights)
        context.history = context.turn.history
        if context.turn.open_turns is not None:
            self.table.update_open_turns(
                context.turn.open_turns, context.turn.worker
            )

    def _event_tokens(self, context: contexts.RequestContext) -> int:
        service = self.routes.services.get(context.service)
        return service.event_tokens if service else 1

    def _take_credit(self, context: contexts.RequestContext) -> None:
        """Take a credit for the next attempt, unless one is left."""
        if context.credit is None:
            context.credit = self._new_credit(context)

    def _new_credit(
        self, context: contexts.RequestContext
    ) -> credit_stocks.Credit | None:
        return self.quota.take(
            context.tenant,
            self.routes.version,
            context.deadline_at_ms - self._timer.now_ms(),
        )

    def _give_back(self, credit: credit_stocks.Credit) -> None:
        self.quota.give_back(credit)

    def _close(self, context: contexts.RequestContext) -> None:
        if context.standby is not None:
            context.standby.discard()
        if context.credit is not None and not context.is_sent:
            self.quota.give_back(context.credit)
        if context.turn is not None:
            self._turns.close(context.turn, context.event_log.count)
        took_ms = self._timer.now_ms() - context.request.arrived_ms
        self.latencies.observe(took_ms)
        if context.failure is None:
            self.admission.stop_guard.record(context.route, took_ms)
        self.queue_times.observe(context.queued_ms)
        logger.info(
            'request ended',
            request=context.call.attempt,
            fingerprint=context.keys.request,
            tenant=context.tenant_name,
            program=context.call.program,
            route=context.route.name,
            version=self.routes.version,
            worker=context.worker,
            server_version=context.server_version,
            resumes=context.call.resumes,
            runs=context.failed_attempts,
            refusals=context.refusals,
            was_kept=context.was_reused,
            events=context.event_log.count,
            queued_ms=round(context.queued_ms),
            took_ms=round(took_ms),
            outcome=context.failure.outcome.value
            if context.failure
            else 'answered',
            reason=str(context.failure or ''),
        )

    def _try_once(
        self,
        context: contexts.RequestContext,
        response: ports.ResponseWriter,
    ) -> bool:
        """Send the request to one worker; return whether it was answered."""
        with self._places.claim(context) as (worker, connection):
            context.worker = worker.instance
            context.server_version = worker.entry.version
            if context.turn is not None:
                self._turns.update_worker(context.turn, worker)
            try:
                self.exchanger.exchange(context, worker, response, connection)
            except exceptions.ServerRefusedError as error:
                context.last_error = str(error)
                self._count_refusal(context, error)
            except exceptions.ConnectionFailedError as error:
                context.last_error = str(error)
                worker.record_failure(self._timer.now_ms())
                self.exchanger.pool.discard_idle(worker)
                self.crashes.check(context, worker, error)
                self._count_failure(context, error)
                context.record_failed(worker.instance)
            except BaseException as error:
                self.crashes.abandon(context, worker, error)
                raise
            else:
                self.guard.record_answer(context.keys)
                return True
            context.avoid(worker.instance)
        return False

    def _count_refusal(
        self,
        context: contexts.RequestContext,
        error: exceptions.CarobforkError,
    ) -> None:
        context.refusals += 1
        if context.refusals >= MAX_REFUSALS and not context.is_committed:
            raise self.admission.refusal(context, error.message) from error

    def _count_failure(
        self,
        context: contexts.RequestContext,
        error: exceptions.ConnectionFailedError,
    ) -> None:
        """Count a failed attempt.

        :raises OverloadedError: if nothing was sent and too many workers have
            refused the request or could not be reached.
        :raises BrokenAnswerError: if the request was sent and can't be retried.
        """
        if not error.sent:
            self._count_refusal(context, error)
            return
        left_ms = context.deadline_at_ms - self._timer.now_ms()
        is_blocked = bool(self.guard.left_ms(context.keys))
        is_late = left_ms < contexts.MIN_LEFT_MS
        if is_blocked or is_late or not context.can_retry():
            raise BrokenAnswerError(
                error.message, step='relay', peer=context.worker
            ) from error
        context.failed_attempts += 1
        context.credit = None


def _explain(
    error: BaseException,
    timeout: gevent.Timeout,
    context: contexts.RequestContext,
) -> exceptions.CarobforkError | None:
    """Return what the caller is told of an error, if it is one of a call.

    :param timeout: the timeout of the call.
    """
    if error is timeout:
        return context.deadline_error()
    if isinstance(error, contexts.HostStoppedError):
        return context.stop_error()
    return error if isinstance(error, exceptions.CarobforkError) else None


def _pause(refusals: int) -> None:
    """Wait before a request that was refused goes to the next server."""
    interval_ms = MIN_RETRY_INTERVAL_MS * 2 ** (refusals - 1)
    gevent.sleep(clock.to_seconds(min(interval_ms, MAX_RETRY_INTERVAL_MS)))


def _ignore_report(_report: messages.Crash | messages.CrashCleared) -> None:
    """Discard a report where there are no store hosts."""
