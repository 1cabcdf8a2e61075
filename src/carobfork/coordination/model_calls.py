"""Model calls: ordered, budgeted, streamed and recorded."""

import gevent
import structlog

from carobfork import clock, exceptions, logs
from carobfork.coordination import attempts, calls, homes, ports, runs
from carobfork.state import bundles, programs, records

READER_GRACE_MS = 10_000
_TEMPLATE_OVERHEAD_BYTES = 64
"""Room for what a chat template adds to a prompt."""

logger = structlog.get_logger(part='model calls')


class ModelCaller:
    """Run model calls for the programs homed here.

    :param home: the programs and their journal.
    :param backend: the model engines.
    :param timer: tells for how long a run has had no reader.
    """

    def __init__(
        self,
        home: homes.Home,
        backend: ports.ModelBackend,
        timer: clock.Clock,
    ) -> None:
        """Start without calls under way."""
        self.runs: dict[tuple[str, str], runs.ModelRun] = {}
        self.runner = attempts.AttemptRunner(home, backend)
        self._greenlets: dict[tuple[str, str], gevent.Greenlet] = {}
        self._home = home
        self._backend = backend
        self._timer = timer

    def start(self, call: calls.ModelCall, offset: int = 0) -> runs.ModelRun:
        """Start a call, join it under way, or return its recorded answer.

        :param offset: how much of the answer the caller has, in bytes.
        :raises BadRequestError: the call is refused, nothing ran.
        """
        program = self._home.authorise(call.program, call.token)
        run = self._find_run(program, call)
        if run is not None:
            return run
        calls.require_open(program)
        model = bundles.find(self._home.bundle.models, call.model, 'model')
        run = runs.ModelRun(call.digest, self._timer)
        self.runs[call.program, call.key] = run
        self._greenlets[call.program, call.key] = logs.spawn(
            self._execute, run, program, call, model, offset
        )
        return run

    def cancel_program(self, program: str, reason: str) -> None:
        """Cancel all calls of a program."""
        for key in list(self.runs):
            if key[0] == program:
                self.cancel_run(key, reason)

    def cancel_unread(self) -> None:
        """Cancel the calls that nobody has read for the grace time."""
        for key, run in list(self.runs.items()):
            if run.unread_ms > READER_GRACE_MS:
                self.cancel_run(key, 'its caller is gone')

    def cancel_run(self, key: tuple[str, str], reason: str) -> None:
        """Cancel one call, given by program and key."""
        error = exceptions.CancelledError(
            f'the call was cancelled: {reason}', step='cancel'
        )
        self.runs.pop(key).fail(error)
        self._greenlets.pop(key).kill(error, block=False)

    def _find_run(
        self, program: programs.Program, call: calls.ModelCall
    ) -> runs.ModelRun | None:
        run = self.runs.get((call.program, call.key))
        if run is not None:
            calls.match_digest(call.key, run.digest, call.digest)
            return run
        answer = calls.recorded_answer(program, call.key, call.digest)
        if answer is None:
            return None
        run = runs.ModelRun(call.digest, self._timer)
        run.finish(answer)
        return run

    def _execute(
        self,
        run: runs.ModelRun,
        program: programs.Program,
        call: calls.ModelCall,
        model: bundles.Model,
        offset: int,
    ) -> None:
        try:
            with self._home.in_sequence(program, call.key, call.after):
                calls.require_open(program)
                task = self._make_task(run, program, call, model, offset)
                run.finish(self.runner.run(task))
        except exceptions.CarobforkError as error:
            logger.info('A call failed.', error=str(error))
            run.fail(error)
        finally:
            self._remove_run((call.program, call.key), run)

    def _remove_run(self, key: tuple[str, str], run: runs.ModelRun) -> None:
        # A cancelled run may have been replaced under its key.
        if self.runs.get(key) is run:
            self.runs.pop(key)
            self._greenlets.pop(key)

    def _make_task(
        self,
        run: runs.ModelRun,
        program: programs.Program,
        call: calls.ModelCall,
        model: bundles.Model,
        offset: int,
    ) -> attempts.ModelTask:
        history = program.history()
        return attempts.ModelTask(
            run=run,
            program=program,
            call=call,
            model=model,
            prompt=self._make_prompt(program, call, history),
            reserved_tokens=_max_total_tokens(call, history),
            offset=offset,
        )

    def _make_prompt(
        self,
        program: programs.Program,
        call: calls.ModelCall,
        history: list[records.AnswerRecorded],
    ) -> ports.Prompt:
        turns = [
            self._backend.turn(answer.messages, answer.body)
            for answer in history
        ]
        return ports.Prompt(
            model=call.model,
            program=call.program,
            attempt='',
            messages=b','.join([*turns, call.messages]),
            options=call.options,
            rank=program.rank,
        )


def _max_total_tokens(
    call: calls.ModelCall, history: list[records.AnswerRecorded]
) -> int:
    """Return the most tokens that a call can take.

    The last call's tokens cover the history before its answer; no text has
    more tokens than bytes.
    """
    tokens = len(call.messages) + _TEMPLATE_OVERHEAD_BYTES + call.max_tokens
    if history:
        tokens += (
            history[-1].tokens
            + len(history[-1].body)
            + _TEMPLATE_OVERHEAD_BYTES
        )
    return tokens
