"""Model calls: ordered, budgeted, streamed and recorded."""

import secrets

import structlog

from carobfork import exceptions, logs
from carobfork.coordination import (
    calls,
    homes,
    orders,
    ports,
    prefixes,
    runs,
)
from carobfork.state import bundles, programs, records

RECORD_TIMEOUT_MS = 30_000
MAX_ATTEMPTS = 3
_BYTES_PER_TOKEN = 4
_HTTP_OK = 200

logger = structlog.get_logger(part='model calls')


class ModelCaller:
    """Run model calls for the programs homed here.

    :param home: the programs and their journal.
    :param backend: the model engines.
    """

    def __init__(self, home: homes.Home, backend: ports.ModelBackend) -> None:
        """Start without calls under way."""
        self.runs: dict[tuple[str, str], runs.ModelRun] = {}
        self._home = home
        self._backend = backend

    def start(self, call: calls.ModelCall) -> runs.ModelRun:
        """Start a call, join it under way, or return its recorded answer.

        :raises BadRequestError: the call is refused, nothing ran.
        """
        program = self._home.authorise(call.program, call.token)
        run = self._find(program, call)
        if run is not None:
            return run
        calls.require_open(program)
        self._model(call.model)
        run = runs.ModelRun(call.digest)
        self.runs[call.program, call.key] = run
        logs.spawn(self._execute, run, program, call)
        return run

    def _find(
        self, program: programs.Program, call: calls.ModelCall
    ) -> runs.ModelRun | None:
        run = self.runs.get((call.program, call.key))
        if run is not None:
            calls.match_digest(call.key, run.digest, call.digest)
            return run
        answer = calls.recorded_answer(program, call.key, call.digest)
        if answer is None:
            return None
        run = runs.ModelRun(call.digest)
        run.finish(answer)
        return run

    def _execute(
        self,
        run: runs.ModelRun,
        program: programs.Program,
        call: calls.ModelCall,
    ) -> None:
        try:
            run.finish(self._run_in_order(run, program, call))
        except exceptions.CarobforkError as error:
            logger.info('A call failed.', error=str(error))
            run.fail(error)
        finally:
            self.runs.pop((call.program, call.key), None)

    def _run_in_order(
        self,
        run: runs.ModelRun,
        program: programs.Program,
        call: calls.ModelCall,
    ) -> records.AnswerRecorded:
        with self._home.turn(program):
            prompt = self._prompt(program, call)
            ceiling = len(prompt.messages) // _BYTES_PER_TOKEN
            ceiling += call.max_tokens
            with self._home.reservation(program, ceiling):
                return self._attempt(run, program, call, prompt)

    def _attempt(
        self,
        run: runs.ModelRun,
        program: programs.Program,
        call: calls.ModelCall,
        prompt: ports.Prompt,
    ) -> records.AnswerRecorded:
        request = self._slot_request(program, call, prompt)
        with self._home.slots.acquire(request) as slot:
            self._home.confirm_owned(program)
            run.worker = slot.worker
            model = self._model(call.model)
            worker = bundles.find(model.workers, slot.worker, 'worker')
            for events in self._backend.stream(worker, prompt):
                slot.touch()
                run.push(events)
            answer = self._backend.decode(run.raw_events())
            slot.settle(answer.output_tokens, answer.prefilled_tokens)
        record = records.AnswerRecorded(
            program=call.program,
            key=call.key,
            digest=call.digest,
            target=f'{call.model}/{slot.worker}',
            status=_HTTP_OK,
            body=answer.text.encode(),
            content_type='text/event-stream',
            tokens=answer.tokens,
            messages=call.messages,
        )
        self._record(program, record)
        return record

    def _record(
        self, program: programs.Program, record: records.AnswerRecorded
    ) -> None:
        try:
            self._home.record(program, record, RECORD_TIMEOUT_MS)
        except exceptions.CarobforkError as error:
            # The engine ran it, so it must not be reported as not run.
            raise calls.unknown_outcome(record.target) from error

    def _prompt(
        self, program: programs.Program, call: calls.ModelCall
    ) -> ports.Prompt:
        turns = [
            self._backend.turn(answer.messages, answer.body)
            for answer in program.history()
        ]
        return ports.Prompt(
            model=call.model,
            program=call.program,
            attempt=secrets.token_hex(8),
            messages=b','.join([*turns, call.messages]),
            options=call.options,
            rank=program.rank,
        )

    def _slot_request(
        self,
        program: programs.Program,
        call: calls.ModelCall,
        prompt: ports.Prompt,
    ) -> orders.SlotRequest:
        history = program.history()
        return orders.SlotRequest(
            identifier=prompt.attempt,
            program=call.program,
            model=call.model,
            rank=self._home.bundle.rank_position(program.rank),
            attained_tokens=program.ledger.spent_tokens,
            last_worker=prefixes.last_worker(self._home.table, program),
            prompt_tokens=len(prompt.messages) // _BYTES_PER_TOKEN,
            kind=program.kind,
            started=bool(history or program.parent),
        )

    def _model(self, name: str) -> bundles.Model:
        return bundles.find(self._home.bundle.models, name, 'model')
