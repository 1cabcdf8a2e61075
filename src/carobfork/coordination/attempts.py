"""Attempts: send a model call to engines until one answers it whole.

Another attempt is made only while no event of the answer has come. From
then on the stream is resumed by the attempt's identifier, or lost: two
attempts' texts are never joined. The identifier follows from the program,
the key and the attempt's number, so a successor can resume the stream too.
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
RECORD_TIMEOUT_MS = 30_000
FENCE_TIMEOUT_MS = 2000
_HTTP_OK = 200
_IDENTIFIER_LENGTH = 32
_REPEATABLE = (exceptions.ConnectionFailedError, exceptions.LeavingError)

logger = structlog.get_logger(part='attempts')


def attempt_identifier(program: str, key: str, number: int) -> str:
    """Return the identifier under which engines know an attempt."""
    parts = (program, key, str(number))
    name = identifiers.digest(*(part.encode() for part in parts))
    return name[:_IDENTIFIER_LENGTH]


@attrs.frozen(eq=False)
class ModelWork:
    """A model call that has its turn.

    ``reserved_tokens`` is the most that one attempt can take. ``offset`` is
    how much of the answer its caller has, in bytes.
    """

    run: runs.ModelRun
    program: programs.Program
    call: calls.ModelCall
    model: bundles.Model
    prompt: ports.Prompt
    reserved_tokens: int
    offset: int


class AttemptRunner:
    """Run the attempts at model calls.

    :param home: the programs, their slots and their journal.
    :param backend: the model engines.
    """

    def __init__(self, home: homes.Home, backend: ports.ModelBackend) -> None:
        """Remember whom to ask."""
        self.failed_attempts = 0
        self.resumed_streams = 0
        self._home = home
        self._backend = backend

    def run(self, work: ModelWork) -> records.AnswerRecorded:
        """Resume the call's last attempt, or make new ones.

        :raises StreamLostError: the caller's part can not be continued.
        :raises BudgetExceededError: the budget covers no attempt.
        :raises NotRunError: no engine could be reached.
        :raises UnknownOutcomeError: engines broke off.
        """
        last = work.program.dispatched.get(work.call.key)
        if last is not None and self._resume_dispatched(work, last):
            return self._record(work, last)
        if work.offset:
            raise _lost('the stream is not known any more', work.call.model)
        first = last.attempt + 1 if last else 1
        return self._try_workers(work, first)

    def _try_workers(
        self, work: ModelWork, first: int
    ) -> records.AnswerRecorded:
        tried: list[str] = []
        sent = False
        for number in range(first, first + MAX_ATTEMPTS):
            try:
                return self._attempt(work, number, tried)
            except _REPEATABLE as error:
                logger.info('An attempt failed.', error=str(error))
                self.failed_attempts += 1
                sent = sent or getattr(error, 'sent', False)
                last_error = error
        kind = (
            exceptions.UnknownOutcomeError if sent else exceptions.NotRunError
        )
        raise kind(
            f'{MAX_ATTEMPTS} attempts failed: {last_error.message}',
            step='dispatch',
            peer=last_error.peer,
        ) from last_error

    def _attempt(
        self, work: ModelWork, number: int, tried: list[str]
    ) -> records.AnswerRecorded:
        dispatched = self._dispatched(work, number)
        prompt = attrs.evolve(work.prompt, attempt=_identify(dispatched))
        request = self._slot_request(work, prompt.attempt, tuple(tried))
        ledger = work.program.ledger
        ledger.reserve(
            dispatched.reservation_id, budgets.Reservation(work.reserved_tokens)
        )
        with contextlib.ExitStack() as undo:
            undo.callback(ledger.release, dispatched.reservation_id)
            with self._home.slots.acquire(request) as slot:
                tried.append(slot.worker)
                dispatched = attrs.evolve(
                    dispatched, target=f'{work.call.model}/{slot.worker}'
                )
                self._home.confirm_owned(work.program)
                self._home.note(work.program, dispatched)
                # From here on records alone settle the reservation.
                undo.pop_all()
                self._stream(work, dispatched, prompt, slot)
                answer = self._backend.decode(work.run.raw_events())
                slot.record_usage(answer.output_tokens, answer.prefilled_tokens)
        return self._record(work, dispatched)

    def _stream(
        self,
        work: ModelWork,
        dispatched: spending.CallDispatched,
        prompt: ports.Prompt,
        slot: slots.Slot,
    ) -> None:
        worker = self._worker(work, dispatched)
        work.run.worker = worker.name
        with self._giving_up(work.program, worker, dispatched):
            try:
                for events in self._backend.stream(worker, prompt):
                    slot.record_output()
                    work.run.push(events)
            except exceptions.ConnectionFailedError as error:
                if work.run.is_empty:
                    raise
                logger.info('A stream broke off.', error=str(error))
                self._resume(work.run, worker, prompt.attempt)

    def _resume_dispatched(
        self, work: ModelWork, dispatched: spending.CallDispatched
    ) -> bool:
        """Take up the stream that another host began, and tell whether."""
        worker = self._worker(work, dispatched)
        work.run.worker = worker.name
        try:
            with self._giving_up(work.program, worker, dispatched):
                self._resume(work.run, worker, _identify(dispatched))
        except exceptions.StreamLostError:
            if work.run.is_empty:
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
        raise _lost(last_error.message, worker.name) from last_error

    @contextlib.contextmanager
    def _giving_up(
        self,
        program: programs.Program,
        worker: bundles.Worker,
        dispatched: spending.CallDispatched,
    ) -> Iterator[None]:
        """Cancel an attempt that is left early, at its engine."""
        try:
            yield
        except exceptions.LeavingError:
            self._give_up(program, worker, dispatched, may_run=False)
            raise
        except exceptions.ConnectionFailedError as error:
            self._give_up(program, worker, dispatched, may_run=error.sent)
            raise
        except BaseException:
            self._give_up(program, worker, dispatched, may_run=True)
            raise

    def _give_up(
        self,
        program: programs.Program,
        worker: bundles.Worker,
        dispatched: spending.CallDispatched,
        *,
        may_run: bool,
    ) -> None:
        failure = spending.AttemptFailed(
            program=dispatched.program,
            key=dispatched.key,
            attempt=dispatched.attempt,
            tokens=dispatched.reserved_tokens if may_run else 0,
        )
        # Only the owner of the journal may cancel: once taken over, the
        # stream is its successor's. Without a commit the engine ends it.
        with contextlib.suppress(exceptions.CarobforkError):
            noted = self._home.note(program, failure)
            journals.wait_for(noted.committed, FENCE_TIMEOUT_MS)
            if may_run:
                self._backend.cancel(worker, _identify(dispatched))

    def _record(
        self, work: ModelWork, dispatched: spending.CallDispatched
    ) -> records.AnswerRecorded:
        answer = self._backend.decode(work.run.raw_events())
        record = records.AnswerRecorded(
            program=dispatched.program,
            key=dispatched.key,
            digest=dispatched.digest,
            target=dispatched.target,
            status=_HTTP_OK,
            body=answer.text.encode(),
            content_type='text/event-stream',
            tokens=answer.tokens,
            messages=work.call.messages,
        )
        try:
            self._home.record(work.program, record, RECORD_TIMEOUT_MS)
        except exceptions.CarobforkError as error:
            # The engine ran it, so it must not be reported as not run.
            raise calls.unknown_outcome(record.target) from error
        return record

    def _dispatched(
        self, work: ModelWork, number: int
    ) -> spending.CallDispatched:
        return spending.CallDispatched(
            program=work.program.identifier,
            key=work.call.key,
            digest=work.call.digest,
            target='',
            attempt=number,
            reserved_tokens=work.reserved_tokens,
        )

    def _slot_request(
        self, work: ModelWork, identifier: str, tried: tuple[str, ...]
    ) -> queue_orders.SlotRequest:
        history = work.program.history()
        return queue_orders.SlotRequest(
            identifier=identifier,
            program=work.program.identifier,
            model=work.call.model,
            rank=self._home.bundle.rank_position(work.program.rank),
            attained_tokens=work.program.ledger.spent_tokens,
            last_worker=prefixes.last_worker(self._home.table, work.program),
            prompt_tokens=work.prompt.estimated_tokens,
            avoided=tried,
            kind=work.program.kind,
            started=bool(history or work.program.parent),
        )

    def _worker(
        self, work: ModelWork, dispatched: spending.CallDispatched
    ) -> bundles.Worker:
        return bundles.find(work.model.workers, dispatched.worker, 'worker')


def _identify(dispatched: spending.CallDispatched) -> str:
    return attempt_identifier(
        dispatched.program, dispatched.key, dispatched.attempt
    )


def _lost(message: str, peer: str) -> exceptions.StreamLostError:
    return exceptions.StreamLostError(
        f'{message}; ask again from offset 0', step='resume', peer=peer
    )
