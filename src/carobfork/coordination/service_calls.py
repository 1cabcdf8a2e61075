"""Service calls: those that may not be repeated run at most once.

Such a call is sent only after its intent is committed. Once sent, it is
never sent again: without an answer its outcome is unknown until the answer
comes late, which is awaited beside the program's later calls.
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
    waits,
)
from carobfork.state import bundles, programs, records

LATE_ANSWER_MS = 600_000
MAX_ATTEMPTS = 3
RUNNING_LIMIT = 2000
MAX_ANSWER_BYTES = 600_000
_RETRY_AFTER_MS = 1000
_BAD_GATEWAY = 502

logger = structlog.get_logger(part='service calls')


class ServiceCaller:
    """Run service calls for the programs homed here.

    :param home: the programs and their journal.
    :param backend: the plain services.
    :param health: which of their servers to try first.
    """

    def __init__(
        self,
        home: homes.Home,
        backend: ports.ServiceBackend,
        health: backends.BackendHealth,
    ) -> None:
        """Start without calls under way."""
        self._home = home
        self._backend = backend
        self._health = health
        self._intents = intents.IntentRecorder(home)
        self.running: dict[tuple[str, str], waits.RunningCall] = {}

    @property
    def under_way(self) -> int:
        """How many calls wait for their turn or an answer."""
        return len(self.running)

    def run(self, call: calls.ServiceCall) -> records.AnswerRecorded:
        """Run a call, join it under way, or return its recorded answer.

        :raises BadRequestError: the call is refused, nothing ran.
        :raises NotRunError: nothing was sent.
        :raises UnknownOutcomeError: sent, and not answered in time.
        """
        program = self._home.authorise(call.program, call.token)
        operation = self._operation(call)
        running = self.running.get((call.program, call.key))
        if running is None:
            self._intents.require_settled(call)
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
    ) -> waits.RunningCall:
        if self.under_way >= RUNNING_LIMIT:
            raise exceptions.OverloadedError(
                'too many service calls are under way',
                step='admit',
                peer=call.service,
            )
        running = waits.RunningCall(call.digest)
        self.running[call.program, call.key] = running
        logs.spawn(self._execute, running, program, call, operation)
        return running

    def _execute(
        self,
        running: waits.RunningCall,
        program: programs.Program,
        call: calls.ServiceCall,
        operation: bundles.Operation,
    ) -> None:
        """Run a call in its turn; a late answer is awaited beyond it."""
        try:
            with self._home.turn(program, call.key, call.after):
                with self._home.reservation(program, tokens=0):
                    self._prepare(running, program, call, operation)
                    sending = logs.spawn(
                        self._send, running, program, call, operation
                    )
                    sending.join(clock.to_seconds(operation.timeout_ms))
        except Exception as error:
            self._give_up(running, call, error)

    def _give_up(
        self,
        running: waits.RunningCall,
        call: calls.ServiceCall,
        error: Exception,
    ) -> None:
        if running.dispatched.is_set():
            logger.warning('A call met an error late.', error=str(error))
            return
        running.fail(_before_dispatch(error))
        self.running.pop((call.program, call.key), None)

    def _prepare(
        self,
        running: waits.RunningCall,
        program: programs.Program,
        call: calls.ServiceCall,
        operation: bundles.Operation,
    ) -> None:
        """Do all that must be done before anything is sent."""
        self._home.confirm_owned(program)
        running.require_wanted()
        if operation.repeatable:
            running.dispatched.set()
            return
        self._intents.record(call)
        try:
            self._home.confirm_owned(program)
            running.require_wanted()
        except exceptions.NotRunError:
            self._intents.withdraw(call)
            raise
        running.dispatched.set()

    def _send(
        self,
        running: waits.RunningCall,
        program: programs.Program,
        call: calls.ServiceCall,
        operation: bundles.Operation,
    ) -> None:
        """Send a call once, and record its answer whenever it comes."""
        try:
            answer = self._exchange(call, operation)
        except exceptions.NotRunError as error:
            if not operation.repeatable:
                self._intents.withdraw(call)
            running.fail(error)
        except Exception as error:
            logger.warning('A call has no answer.', error=str(error))
            running.fail(calls.unknown_outcome(call.service))
        else:
            self._record_answer(running, program, answer)
        finally:
            self.running.pop((call.program, call.key), None)

    def _record_answer(
        self,
        running: waits.RunningCall,
        program: programs.Program,
        answer: records.AnswerRecorded,
    ) -> None:
        """Record an answer, however long it takes, and then give it out."""
        try:
            self._keep(program, answer)
        except Exception as error:
            logger.warning('An answer was not recorded.', error=str(error))
            running.fail(calls.unknown_outcome(answer.target))
        else:
            running.finish(answer)

    def _keep(
        self, program: programs.Program, answer: records.AnswerRecorded
    ) -> None:
        while True:
            self._home.require_owned(program)
            try:
                entry = self._home.journal.enqueue(answer)
            except exceptions.PlatformError:
                # Too much waits for the platform already; try again.
                gevent.sleep(clock.to_seconds(_RETRY_AFTER_MS))
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
        server, reply = self._send_to_one(call, request, operation)
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

    def _send_to_one(
        self,
        call: calls.ServiceCall,
        request: ports.ServiceRequest,
        operation: bundles.Operation,
    ) -> tuple[bundles.Server, ports.ServiceReply]:
        """Send a call to one server after another until one takes it."""
        refusals: list[exceptions.CarobforkError] = []
        for server in self._candidates(call):
            try:
                return server, self._send_once(server, request, operation)
            except exceptions.NotRunError as error:
                refusals.append(error)
            except exceptions.UnknownOutcomeError as unknown:
                if not operation.repeatable:
                    raise
                refusals.append(unknown)
        raise _gravest(refusals)

    def _candidates(self, call: calls.ServiceCall) -> list[bundles.Server]:
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
            timeout_ms = LATE_ANSWER_MS
        try:
            return self._backend.send(server, request, timeout_ms)
        except exceptions.ConnectionFailedError as error:
            if error.sent:
                raise calls.unknown_outcome(server.name) from error
            raise exceptions.NotRunError(
                'the service could not be reached',
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
            f'the bundle lists no operation {call.method} {call.path}',
            step='look up',
            peer=call.service,
        )


def _gravest(
    refusals: list[exceptions.CarobforkError],
) -> exceptions.CarobforkError:
    """Return the error that a call ends with after several attempts.

    What was sent once may have run, so an unknown outcome outweighs servers
    that could not be reached.
    """
    for refusal in refusals:
        if refusal.outcome is exceptions.Outcome.unknown:
            return refusal
    return refusals[0]


def _before_dispatch(error: Exception) -> exceptions.CarobforkError:
    """Return what a failure before dispatch tells: nothing ran."""
    if isinstance(error, exceptions.CarobforkError):
        if error.outcome is exceptions.Outcome.not_run:
            return error
    logger.warning('A call was not sent.', error=str(error))
    return exceptions.NotRunError('the call was not sent', step='prepare')
