"""Run model calls on backend servers and stream their answers to readers.

The calls of a program run in order and within its budget, and their answers
are recorded.
"""

import gevent
import structlog

from carobfork import clock, exceptions, logs
from carobfork.coordination import attempts, calls, homes, ports, runs
from carobfork.state import bundles, programs, records

READER_GRACE_MS = 10_000
_TEMPLATE_OVERHEAD_BYTES = 64
"""Upper bound of what a chat template adds to a prompt."""

logger = structlog.get_logger(part='model calls')


class ModelCaller:
    """Runs model calls for the programs homed on this host.

    :param home: the programs of this host and their journal.
    :param backend: client of the model engines.
    :param timer: clock that measures how long a run has had no reader.
    """

    def __init__(
        self,
        home: homes.Home,
        backend: ports.ModelBackend,
        timer: clock.Clock,
    ) -> None:
        """Initialize without calls in flight."""
        self.runs: dict[tuple[str, str], runs.ModelRun] = {}
        self.runner = attempts.AttemptRunner(home, backend)
        self._greenlets: dict[tuple[str, str], gevent.Greenlet] = {}
        self._home = home
        self._backend = backend
        self._timer = timer

    def start(self, call: calls.ModelCall, offset: int = 0) -> runs.ModelRun:
        """Start a call, join it if in flight, or return its recorded answer.

        :param offset: bytes of the answer's text that the caller has.
        :raises BadRequestError: if the call is invalid; nothing ran.
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
        """Cancel all calls of a program that are in flight."""
        for key in list(self.runs):
            if key[0] == program:
                self.cancel_run(key, reason)

    def cancel_unread(self) -> None:
        """Cancel calls without a reader for more than ``READER_GRACE_MS``."""
        for key, run in list(self.runs.items()):
            if run.unread_ms > READER_GRACE_MS:
                self.cancel_run(key, 'its caller disconnected')

    def cancel_run(self, key: tuple[str, str], reason: str) -> None:
        """Cancel one call.

        :param key: identifier of the program and key of the call.
        :param reason: reason for the error message.
        """
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
        # After a cancellation a new run may be in place under the same key.
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
    """Return an upper bound of the tokens that a call can use.

    The token count of the last call covers the history up to its answer. The
    rest is bounded by its length, since no text has more tokens than bytes.
    """
    tokens = len(call.messages) + _TEMPLATE_OVERHEAD_BYTES + call.max_tokens
    if history:
        tokens += (
            history[-1].tokens
            + len(history[-1].body)
            + _TEMPLATE_OVERHEAD_BYTES
        )
    return tokens
