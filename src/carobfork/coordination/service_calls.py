"""Send service calls, at most once where the operation is not repeatable.

A call that is not repeatable is sent only after its intent is committed and
is never sent again. If it is not answered in time, its outcome is unknown.
A late answer is still recorded; the program's later calls do not wait for it.
"""

import random

import gevent
import structlog

from carobfork import clock, exceptions, logs
from carobfork.coordination import (
    backends,
    calls,
    homes,
    intents,
    journals,
    ports,
    running_calls,
)
from carobfork.state import bundles, programs, records

LATE_ANSWER_TIMEOUT_MS = 600_000
MAX_ATTEMPTS = 3
MAX_RUNNING_CALLS = 2000
MAX_ANSWER_BYTES = 600_000
_RECORD_RETRY_DELAY_MS = 1000
_BAD_GATEWAY = 502

logger = structlog.get_logger(part='service calls')


class ServiceCaller:
    """Runs service calls for the programs homed on this host.

    :param home: the programs of this host and their journal.
    :param backend: client of the plain services.
    :param health: health of the backend servers, for the order of attempts.
    """

    def __init__(
        self,
        home: homes.Home,
        backend: ports.ServiceBackend,
        health: backends.BackendHealth,
    ) -> None:
        """Initialize without calls in flight."""
        self._home = home
        self._backend = backend
        self._health = health
        self._intents = intents.IntentRecorder(home)
        self.running: dict[tuple[str, str], running_calls.RunningCall] = {}

    @property
    def in_flight(self) -> int:
        """Number of calls that are queued or wait for an answer."""
        return len(self.running)

    def run(self, call: calls.ServiceCall) -> records.AnswerRecorded:
        """Run a call, join it if in flight, or return its recorded answer.

        :raises BadRequestError: if the call is invalid; nothing ran.
        :raises NotRunError: if nothing was sent.
        :raises UnknownOutcomeError: if it was sent but not answered in time.
        """
        program = self._home.authorise(call.program, call.token)
        operation = self._operation(call)
        running = self.running.get((call.program, call.key))
        if running is None:
            self._intents.require_not_withdrawing(call)
            answer = calls.recorded_answer(program, call.key, call.digest)
            if answer is not None:
                return answer
            calls.require_open(program)
            running = self._start(program, call, operation)
        calls.match_digest(call.key, running.digest, call.digest)
        return running.wait(call.service, operation.timeout_ms)

    def _start(
        self,
        program: programs.Program,
        call: calls.ServiceCall,
        operation: bundles.Operation,
    ) -> running_calls.RunningCall:
        if self.in_flight >= MAX_RUNNING_CALLS:
            raise exceptions.OverloadedError(
                f'{self.in_flight} service calls are in flight already',
                step='admit',
                peer=call.service,
            )
        running = running_calls.RunningCall(call.digest)
        self.running[call.program, call.key] = running
        logs.spawn(self._execute, running, program, call, operation)
        return running

    def _execute(
        self,
        running: running_calls.RunningCall,
        program: programs.Program,
        call: calls.ServiceCall,
        operation: bundles.Operation,
    ) -> None:
        """Run a call in the order of its program.

        The program's next call may start once the operation's timeout has
        passed; a late answer is awaited in another greenlet.
        """
        try:
            with self._home.in_sequence(program, call.key, call.after):
                with self._home.reservation(program, tokens=0):
                    self._prepare(running, program, call, operation)
                    sending = logs.spawn(
                        self._send, running, program, call, operation
                    )
                    sending.join(clock.to_seconds(operation.timeout_ms))
        except Exception as error:
            self._fail_undispatched(running, call, error)

    def _fail_undispatched(
        self,
        running: running_calls.RunningCall,
        call: calls.ServiceCall,
        error: Exception,
    ) -> None:
        if running.dispatched.is_set():
            logger.warning('A call failed after dispatch.', error=str(error))
            return
        running.fail(_as_not_run(error))
        self.running.pop((call.program, call.key), None)

    def _prepare(
        self,
        running: running_calls.RunningCall,
        program: programs.Program,
        call: calls.ServiceCall,
        operation: bundles.Operation,
    ) -> None:
        """Check ownership and record the intent before anything is sent."""
        self._home.confirm_owned(program)
        running.require_not_abandoned()
        if operation.repeatable:
            running.dispatched.set()
            return
        self._intents.record(call)
        try:
            self._home.confirm_owned(program)
            running.require_not_abandoned()
        except exceptions.NotRunError:
            self._intents.withdraw(call)
            raise
        running.dispatched.set()

    def _send(
        self,
        running: running_calls.RunningCall,
        program: programs.Program,
        call: calls.ServiceCall,
        operation: bundles.Operation,
    ) -> None:
        """Send a call and record its answer, however late it arrives."""
        try:
            answer = self._exchange(call, operation)
        except exceptions.NotRunError as error:
            if not operation.repeatable:
                self._intents.withdraw(call)
            running.fail(error)
        except Exception as error:
            logger.warning('A call was not answered.', error=str(error))
            running.fail(calls.unknown_outcome(call.service))
        else:
            self._record_answer(running, program, answer)
        finally:
            self.running.pop((call.program, call.key), None)

    def _record_answer(
        self,
        running: running_calls.RunningCall,
        program: programs.Program,
        answer: records.AnswerRecorded,
    ) -> None:
        """Record an answer without a time limit, then pass it to callers."""
        try:
            self._record_durably(program, answer)
        except Exception as error:
            logger.warning('An answer was not recorded.', error=str(error))
            running.fail(calls.unknown_outcome(answer.target))
        else:
            running.finish(answer)

    def _record_durably(
        self, program: programs.Program, answer: records.AnswerRecorded
    ) -> None:
        while True:
            self._home.require_owned(program)
            try:
                entry = self._home.journal.enqueue(answer)
            except exceptions.PlatformError:
                # The journal's backlog is full.
                gevent.sleep(clock.to_seconds(_RECORD_RETRY_DELAY_MS))
                continue
            journals.wait_for(entry.durable, timeout_ms=None)
            return

    def _exchange(
        self, call: calls.ServiceCall, operation: bundles.Operation
    ) -> records.AnswerRecorded:
        request = ports.ServiceRequest(
            method=call.method,
            path=call.path,
            body=call.body,
            content_type=call.content_type,
            call=f'{call.program}/{call.key}',
        )
        server, reply = self._send_with_failover(call, request, operation)
        if len(reply.body) > MAX_ANSWER_BYTES:
            reply = ports.ServiceReply(
                _BAD_GATEWAY, b'the answer is too large', 'text/plain'
            )
        return records.AnswerRecorded(
            program=call.program,
            key=call.key,
            digest=call.digest,
            target=f'{call.service}/{server.name}',
            status=reply.status,
            body=reply.body,
            content_type=reply.content_type,
        )

    def _send_with_failover(
        self,
        call: calls.ServiceCall,
        request: ports.ServiceRequest,
        operation: bundles.Operation,
    ) -> tuple[bundles.Server, ports.ServiceReply]:
        """Try servers in turn until one accepts the call.

        After an unknown outcome only a repeatable call is tried again.
        """
        errors: list[exceptions.CarobforkError] = []
        for server in self._candidate_servers(call):
            try:
                return server, self._send_once(server, request, operation)
            except exceptions.NotRunError as error:
                errors.append(error)
            except exceptions.UnknownOutcomeError as unknown:
                if not operation.repeatable:
                    raise
                errors.append(unknown)
        raise _most_severe(errors)

    def _candidate_servers(
        self, call: calls.ServiceCall
    ) -> list[bundles.Server]:
        servers = list(self._service(call).servers)
        random.shuffle(servers)
        return backends.order_servers(servers, self._health)[:MAX_ATTEMPTS]

    def _send_once(
        self,
        server: bundles.Server,
        request: ports.ServiceRequest,
        operation: bundles.Operation,
    ) -> ports.ServiceReply:
        timeout_ms = operation.timeout_ms
        if not operation.repeatable:
            timeout_ms = LATE_ANSWER_TIMEOUT_MS
        try:
            return self._backend.send(server, request, timeout_ms)
        except exceptions.ConnectionFailedError as error:
            if error.sent:
                raise calls.unknown_outcome(server.name) from error
            raise exceptions.NotRunError(
                f'server "{server.name}" could not be reached',
                step='connect',
                peer=server.name,
            ) from error

    def _service(self, call: calls.ServiceCall) -> bundles.Service:
        return bundles.find(self._home.bundle.services, call.service, 'service')

    def _operation(self, call: calls.ServiceCall) -> bundles.Operation:
        for operation in self._service(call).operations:
            if (operation.method, operation.path) == (call.method, call.path):
                return operation
        raise exceptions.BadRequestError(
            f'the bundle has no operation "{call.method} {call.path}"',
            step='look up',
            peer=call.service,
        )


def _most_severe(
    errors: list[exceptions.CarobforkError],
) -> exceptions.CarobforkError:
    """Return the error to report after all attempts failed.

    A call that was sent once may have run, so an unknown outcome takes
    precedence over servers that could not be reached.
    """
    for error in errors:
        if error.outcome is exceptions.Outcome.unknown:
            return error
    return errors[0]


def _as_not_run(error: Exception) -> exceptions.CarobforkError:
    """Convert a failure before dispatch to an error with outcome not_run."""
    if isinstance(error, exceptions.CarobforkError):
        if error.outcome is exceptions.Outcome.not_run:
            return error
    logger.warning('A call was not sent.', error=str(error))
    return exceptions.NotRunError('the call was not sent', step='prepare')
