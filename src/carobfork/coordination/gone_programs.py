"""Gone programs: end them, cancel their streams, release their cache.

A program is gone when its caller ends it or stays away, when an operator
aborts it, or when its time is spent. Its sub-agents go with it. What an
engine holds is released only after the end is committed, so a host whose
programs were taken over can not release what its successor uses.
"""

import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.coordination import cache_ports, homes, journals, model_calls
from carobfork.state import bundles, programs, spending

CHECK_INTERVAL_MS = 1000
END_TIMEOUT_MS = 10_000
TIME_RECORD_INTERVAL_MS = 30_000
_STEP = 'end program'

logger = structlog.get_logger(part='gone programs')


class GonePrograms:
    """Find programs that are gone and end them.

    :param home: the programs homed here.
    :param models: their model calls.
    :param backend: the engines' cache.
    :param timer: measures programs' time and idleness.
    """

    def __init__(
        self,
        home: homes.Home,
        models: model_calls.ModelCaller,
        backend: cache_ports.CacheBackend,
        timer: clock.Clock,
    ) -> None:
        """Start counting time."""
        self.ended = 0
        self.releases_failed = 0
        self._home = home
        self._models = models
        self._backend = backend
        self._timer = timer
        self._checked_ms = timer.now_ms()
        self._recorded_ms = timer.now_ms()

    def end(self, identifier: str, reason: str) -> None:
        """End a program with its sub-agents and release what they hold.

        :raises UnknownProgramError: it is not homed here.
        :raises PlatformError: not recorded in time; it still will be.
        """
        tree = self._home.table.tree(identifier)
        ends = self._home.begin_end(identifier, reason)
        for program in tree:
            self._models.cancel(program.identifier, reason)
        for end in ends:
            journals.wait_for(end.durable, END_TIMEOUT_MS)
        self.ended += len(tree)
        gevent.spawn(self._release, tree, ends)

    def run(self) -> None:
        """Check all programs until the greenlet is killed."""
        while True:
            gevent.sleep(clock.to_seconds(CHECK_INTERVAL_MS))
            self.check()

    def check(self) -> None:
        """Count the time passed and end the programs that are gone."""
        now_ms = self._timer.now_ms()
        passed_ms = now_ms - self._checked_ms
        self._checked_ms = now_ms
        self._models.cancel_unread()
        for program in list(self._home.table.programs.values()):
            if program.is_open:
                self._count_time(program, passed_ms)
                self._end_if_gone(program)
        if now_ms - self._recorded_ms >= TIME_RECORD_INTERVAL_MS:
            self._recorded_ms = now_ms
            self._record_time()

    def _count_time(self, program: programs.Program, passed_ms: float) -> None:
        program.ledger.spent_time_ms += round(passed_ms)
        program.idle_ms += passed_ms
        if not self._home.turns.is_idle(program.identifier):
            self._home.note_activity(program)

    def _end_if_gone(self, program: programs.Program) -> None:
        reason = ''
        if program.ledger.free_time_ms <= 0:
            reason = programs.OUT_OF_TIME
        elif program.idle_ms > self._idle_limit_ms(program):
            reason = programs.IDLE
        if reason:
            logger.info(
                'A program is gone.', program=program.identifier, reason=reason
            )
            gevent.spawn(self._end_quietly, program.identifier, reason)

    def _end_quietly(self, identifier: str, reason: str) -> None:
        try:
            self.end(identifier, reason)
        except exceptions.CarobforkError as error:
            logger.warning('A program was not ended yet.', error=str(error))

    def _idle_limit_ms(self, program: programs.Program) -> int:
        for kind in self._home.bundle.programs:
            if kind.name == program.kind:
                return kind.idle_limit_ms
        return bundles.IDLE_LIMIT_MS

    def _record_time(self) -> None:
        spent_ms = {
            program.identifier: program.ledger.spent_time_ms
            for program in self._home.table.programs.values()
            if program.is_open
        }
        if spent_ms:
            try:
                self._home.journal.enqueue(spending.TimeSpent(spent_ms))
            except exceptions.CarobforkError as error:
                logger.warning('Time was not recorded.', error=str(error))

    def _release(
        self, tree: list[programs.Program], ends: list[journals.Entry]
    ) -> None:
        for end in ends:
            end.committed.wait()
        if self._home.journal.sealed:
            return
        for program in tree:
            for target in sorted(program.workers):
                self._release_at(program.identifier, target)

    def _release_at(self, program: str, target: str) -> None:
        model_name, _, worker_name = target.rpartition('/')
        try:
            model = bundles.find(self._home.bundle.models, model_name, 'model')
            worker = bundles.find(model.workers, worker_name, 'worker')
            self._backend.release(worker, program)
        except exceptions.CarobforkError as error:
            # The sweep of the worker's inventory finds what stays behind.
            self.releases_failed += 1
            logger.info('A release failed.', peer=target, error=str(error))
