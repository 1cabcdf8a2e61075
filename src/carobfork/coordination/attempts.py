"""Send a model call to backend servers until one answers it completely.

A further attempt is made only if no event of the answer has arrived. After
the first event the stream is resumed under the attempt's identifier or
reported as lost, so that the texts of two attempts are never joined. The
identifier is derived from the program, the call's key and the attempt's
number, so a host that takes the program over can resume the stream too.
"""

import contextlib
from collections.abc import Iterator

import attrs
import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.coordination import (
    calls,
    homes,
    journals,
    ports,
    prefixes,
    queue_orders,
    runs,
    slots,
)
from carobfork.state import (
    budgets,
    bundles,
    identifiers,
    programs,
    records,
    spending,
)

MAX_ATTEMPTS = 3
MAX_RESUMES = 3
RESUME_DELAY_MS = 100
ANSWER_RECORD_TIMEOUT_MS = 30_000
CANCEL_COMMIT_TIMEOUT_MS = 2000
_HTTP_OK = 200
_IDENTIFIER_LENGTH = 32
_RETRYABLE_ERRORS = (exceptions.ConnectionFailedError, exceptions.LeavingError)

logger = structlog.get_logger(part='attempts')


def attempt_identifier(program: str, key: str, number: int) -> str:
    """Return the identifier of an attempt at the model engines.

    :param program: identifier of the program.
    :param key: key of the call.
    :param number: number of the attempt within the call, from 1.
    """
    parts = (program, key, str(number))
    name = identifiers.digest(*(part.encode() for part in parts))
    return name[:_IDENTIFIER_LENGTH]


@attrs.frozen(eq=False)
class ModelTask:
    """A model call that is first in its program's queue.

    ``reserved_tokens`` is the maximum that one attempt can use. ``offset``
    is the length in bytes of the text that the caller has received.
    """

    run: runs.ModelRun
    program: programs.Program
    call: calls.ModelCall
    model: bundles.Model
    prompt: ports.Prompt
    reserved_tokens: int
    offset: int


class AttemptRunner:
    """Runs the attempts of model calls.

    :param home: the programs of this host, their slots and their journal.
    :param backend: client of the model engines.
    """

    def __init__(self, home: homes.Home, backend: ports.ModelBackend) -> None:
        """Initialize the counters of attempts and resumed streams."""
        self.failed_attempts = 0
        self.resumed_streams = 0
        self._home = home
        self._backend = backend

    def run(self, task: ModelTask) -> records.AnswerRecorded:
        """Resume the call's last attempt, or make new attempts.

        :raises StreamLostError: if the stream cannot be continued from
            where the caller has read it.
        :raises BudgetExceededError: if the budget does not cover an attempt.
        :raises NotRunError: if no engine accepted the call.
        :raises UnknownOutcomeError: if an engine may have run the call, but
            no complete answer was received and recorded.
        """
        last = task.program.dispatched.get(task.call.key)
        if last is not None and self._resume_dispatched(task, last):
            return self._record_answer(task, last)
        if task.offset:
            raise _stream_lost(
                f'no stream to resume from offset {task.offset}',
                task.call.model,
            )
        first_number = last.attempt + 1 if last else 1
        return self._try_workers(task, first_number)

    def _try_workers(
        self, task: ModelTask, first_number: int
    ) -> records.AnswerRecorded:
        tried: list[str] = []
        sent = False
        for number in range(first_number, first_number + MAX_ATTEMPTS):
            try:
                return self._attempt(task, number, tried)
            except _RETRYABLE_ERRORS as error:
                logger.info('An attempt failed.', error=str(error))
                self.failed_attempts += 1
                sent = sent or getattr(error, 'sent', False)
                last_error = error
        error_type = (
            exceptions.UnknownOutcomeError if sent else exceptions.NotRunError
        )
        raise error_type(
            f'{MAX_ATTEMPTS} attempts failed: {last_error.message}',
            step='dispatch',
            peer=last_error.peer,
        ) from last_error

    def _attempt(
        self, task: ModelTask, number: int, tried: list[str]
    ) -> records.AnswerRecorded:
        dispatched = self._new_dispatch(task, number)
        prompt = attrs.evolve(task.prompt, attempt=_identifier_of(dispatched))
        request = self._slot_request(task, prompt.attempt, tuple(tried))
        ledger = task.program.ledger
        ledger.reserve(
            dispatched.reservation_id, budgets.Reservation(task.reserved_tokens)
        )
        with contextlib.ExitStack() as rollback:
            rollback.callback(ledger.release, dispatched.reservation_id)
            with self._home.slots.acquire(request) as slot:
                tried.append(slot.worker)
                dispatched = attrs.evolve(
                    dispatched, target=f'{task.call.model}/{slot.worker}'
                )
                self._home.confirm_owned(task.program)
                self._home.enqueue_record(task.program, dispatched)
                # The reservation is now settled by the call's records only.
                rollback.pop_all()
                self._stream(task, dispatched, prompt, slot)
                answer = self._backend.decode(task.run.raw_events())
                slot.record_usage(answer.output_tokens, answer.prefilled_tokens)
        return self._record_answer(task, dispatched)

    def _stream(
        self,
        task: ModelTask,
        dispatched: spending.CallDispatched,
        prompt: ports.Prompt,
        slot: slots.Slot,
    ) -> None:
        worker = self._find_worker(task, dispatched)
        task.run.worker = worker.name
        with self._cancelling_on_error(task.program, worker, dispatched):
            try:
                for events in self._backend.stream(worker, prompt):
                    slot.record_output()
                    task.run.push(events)
            except exceptions.ConnectionFailedError as error:
                if task.run.is_empty:
                    raise
                logger.info('A stream broke off.', error=str(error))
                self._resume(task.run, worker, prompt.attempt)

    def _resume_dispatched(
        self, task: ModelTask, dispatched: spending.CallDispatched
    ) -> bool:
        """Resume the stream of an attempt that was dispatched earlier.

        Return whether it was resumed; if not, a new attempt may be made.
        """
        worker = self._find_worker(task, dispatched)
        task.run.worker = worker.name
        try:
            with self._cancelling_on_error(task.program, worker, dispatched):
                self._resume(task.run, worker, _identifier_of(dispatched))
        except exceptions.StreamLostError:
            if task.run.is_empty:
                return False
            raise
        return True

    def _resume(
        self, run: runs.ModelRun, worker: bundles.Worker, identifier: str
    ) -> None:
        for _ in range(MAX_RESUMES):
            offset = len(self._backend.decode(run.raw_events()).text.encode())
            try:
                for events in self._backend.resume(worker, identifier, offset):
                    run.push(events)
            except exceptions.ConnectionFailedError as error:
                last_error = error
                gevent.sleep(clock.to_seconds(RESUME_DELAY_MS))
            else:
                self.resumed_streams += 1
                return
        raise _stream_lost(last_error.message, worker.name) from last_error

    @contextlib.contextmanager
    def _cancelling_on_error(
        self,
        program: programs.Program,
        worker: bundles.Worker,
        dispatched: spending.CallDispatched,
    ) -> Iterator[None]:
        """Cancel an attempt at its engine if it ends with an error."""
        try:
            yield
        except exceptions.LeavingError:
            self._cancel_attempt(
                program, worker, dispatched, may_be_running=False
            )
            raise
        except exceptions.ConnectionFailedError as error:
            self._cancel_attempt(
                program, worker, dispatched, may_be_running=error.sent
            )
            raise
        except BaseException:
            self._cancel_attempt(
                program, worker, dispatched, may_be_running=True
            )
            raise

    def _cancel_attempt(
        self,
        program: programs.Program,
        worker: bundles.Worker,
        dispatched: spending.CallDispatched,
        *,
        may_be_running: bool,
    ) -> None:
        failure = spending.AttemptFailed(
            program=dispatched.program,
            key=dispatched.key,
            attempt=dispatched.attempt,
            tokens=dispatched.reserved_tokens if may_be_running else 0,
        )
        # Only the owner of the journal may cancel: after a takeover the
        # stream belongs to the successor. If the record is not committed,
        # the engine ends the stream by itself.
        with contextlib.suppress(exceptions.CarobforkError):
            entry = self._home.enqueue_record(program, failure)
            journals.wait_for(entry.committed, CANCEL_COMMIT_TIMEOUT_MS)
            if may_be_running:
                self._backend.cancel(worker, _identifier_of(dispatched))

    def _record_answer(
        self, task: ModelTask, dispatched: spending.CallDispatched
    ) -> records.AnswerRecorded:
        answer = self._backend.decode(task.run.raw_events())
        record = records.AnswerRecorded(
            program=dispatched.program,
            key=dispatched.key,
            digest=dispatched.digest,
            target=dispatched.target,
            status=_HTTP_OK,
            body=answer.text.encode(),
            content_type='text/event-stream',
            tokens=answer.tokens,
            messages=task.call.messages,
        )
        try:
            self._home.record(task.program, record, ANSWER_RECORD_TIMEOUT_MS)
        except exceptions.CarobforkError as error:
            # The engine ran the call, so it is not reported as not run.
            raise calls.unknown_outcome(record.target) from error
        return record

    def _new_dispatch(
        self, task: ModelTask, number: int
    ) -> spending.CallDispatched:
        return spending.CallDispatched(
            program=task.program.identifier,
            key=task.call.key,
            digest=task.call.digest,
            target='',
            attempt=number,
            reserved_tokens=task.reserved_tokens,
        )

    def _slot_request(
        self, task: ModelTask, identifier: str, tried: tuple[str, ...]
    ) -> queue_orders.SlotRequest:
        history = task.program.history()
        return queue_orders.SlotRequest(
            identifier=identifier,
            program=task.program.identifier,
            model=task.call.model,
            rank=self._home.bundle.rank_position(task.program.rank),
            attained_tokens=task.program.ledger.spent_tokens,
            last_worker=prefixes.last_worker(self._home.table, task.program),
            prompt_tokens=task.prompt.estimated_tokens,
            avoided=tried,
            kind=task.program.kind,
            started=bool(history or task.program.parent),
        )

    def _find_worker(
        self, task: ModelTask, dispatched: spending.CallDispatched
    ) -> bundles.Worker:
        return bundles.find(task.model.workers, dispatched.worker, 'worker')


def _identifier_of(dispatched: spending.CallDispatched) -> str:
    return attempt_identifier(
        dispatched.program, dispatched.key, dispatched.attempt
    )


def _stream_lost(message: str, peer: str) -> exceptions.StreamLostError:
    return exceptions.StreamLostError(
        f'{message}; ask again from offset 0', step='resume', peer=peer
    )
