"""Service calls: those that may not be repeated run at most once.

Such a call is sent only after its intent is committed. Once sent, it is
never sent again: without an answer its outcome is unknown.
"""

import random

import gevent
import structlog
from gevent import event

from carobfork import clock, exceptions
from carobfork.coordination import calls, homes, ports
from carobfork.state import bundles, programs, records

INTENT_TIMEOUT_MS = 5000
RECORD_TIMEOUT_MS = 30_000
LATE_ANSWER_MS = 600_000

logger = structlog.get_logger(part='service calls')


class ServiceCaller:
    """Run service calls for the programs homed here.

    :param home: the programs and their journal.
    :param backend: the plain services.
    """

    def __init__(self, home: homes.Home, backend: ports.ServiceBackend) -> None:
        """Start without calls under way."""
        self._home = home
        self._backend = backend
        self._running: dict[tuple[str, str], _Running] = {}

    def run(self, call: calls.ServiceCall) -> records.AnswerRecorded:
        """Run a call, join it under way, or return its recorded answer.

        :raises BadRequestError: the call is refused, nothing ran.
        :raises NotRunError: nothing was sent.
        :raises UnknownOutcomeError: sent, and not answered in time.
        """
        program = self._home.authorise(call.program, call.token)
        operation = self._operation(call)
        running = self._running.get((call.program, call.key))
        if running is None:
            answer = calls.recorded_answer(program, call.key, call.digest)
            if answer is not None:
                return answer
            calls.require_open(program)
            running = self._start(program, call, operation)
        calls.match_digest(call.key, running.digest, call.digest)
        return running.wait(call, operation.timeout_ms)

    def _start(
        self,
        program: programs.Program,
        call: calls.ServiceCall,
        operation: bundles.Operation,
    ) -> '_Running':
        running = _Running(call.digest)
        self._running[call.program, call.key] = running
        gevent.spawn(self._execute, running, program, call, operation)
        return running

    def _execute(
        self,
        running: '_Running',
        program: programs.Program,
        call: calls.ServiceCall,
        operation: bundles.Operation,
    ) -> None:
        try:
            answer = self._run_in_order(program, call, operation)
        except exceptions.CarobforkError as error:
            logger.info('A call failed.', key=call.key, error=str(error))
            running.answered.set_exception(error)
        else:
            running.answered.set(answer)
        finally:
            self._running.pop((call.program, call.key), None)

    def _run_in_order(
        self,
        program: programs.Program,
        call: calls.ServiceCall,
        operation: bundles.Operation,
    ) -> records.AnswerRecorded:
        with self._home.turn(program, call):
            with self._home.reservation(program, tokens=0):
                if not operation.repeatable:
                    self._record_intent(call)
                record = self._send(call, operation)
                self._home.journal.append(record, RECORD_TIMEOUT_MS)
                return record

    def _record_intent(self, call: calls.ServiceCall) -> None:
        intent = records.IntentRecorded(
            program=call.program,
            key=call.key,
            digest=call.digest,
            target=call.service,
        )
        try:
            self._home.journal.append(intent, INTENT_TIMEOUT_MS)
        except exceptions.PlatformError as error:
            # The intent may still be committed, but is never acted on.
            self._home.journal.enqueue(
                records.IntentWithdrawn(program=call.program, key=call.key)
            )
            raise exceptions.NotRunError(
                'the intent could not be recorded',
                step='record intent',
                peer='platform',
            ) from error

    def _send(
        self, call: calls.ServiceCall, operation: bundles.Operation
    ) -> records.AnswerRecorded:
        server = random.choice(self._service(call).servers)
        request = ports.ServiceRequest(
            method=call.method,
            path=call.path,
            body=call.body,
            content_type=call.content_type,
            call=f'{call.program}/{call.key}',
        )
        reply = self._send_once(server, request, operation)
        return records.AnswerRecorded(
            program=call.program,
            key=call.key,
            digest=call.digest,
            target=f'{call.service}/{server.name}',
            status=reply.status,
            body=reply.body,
            content_type=reply.content_type,
        )

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
            if error.sent and not operation.repeatable:
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


class _Running:
    """A call under way that several callers may wait for."""

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self.answered = event.AsyncResult()

    def wait(
        self, call: calls.ServiceCall, timeout_ms: int
    ) -> records.AnswerRecorded:
        try:
            return self.answered.get(timeout=clock.to_seconds(timeout_ms))
        except gevent.Timeout:
            raise calls.unknown_outcome(call.service) from None
