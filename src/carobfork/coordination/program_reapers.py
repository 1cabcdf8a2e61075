"""Close programs, cancel their streams and release their cache.

A program is closed when its caller ends it or leaves it idle for too long,
when an operator aborts it, or when its time is spent. Its sub-agents are
closed with it. What the backend servers hold for it is released only after
the closing is committed, so a host whose programs were taken over cannot
release what its successor uses.
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


class ProgramReaper:
    """Closes programs on request, when idle, or when their time is spent.

    :param home: the programs of this host and their journal.
    :param models: the model calls of the programs.
    :param backend: client of the cache of model engines.
    :param timer: clock that measures the time and idle time of programs.
    """

    def __init__(
        self,
        home: homes.Home,
        models: model_calls.ModelCaller,
        backend: cache_ports.CacheBackend,
        timer: clock.Clock,
    ) -> None:
        """Initialize with the programs' time counted from now."""
        self.ended = 0
        self.releases_failed = 0
        self._home = home
        self._models = models
        self._backend = backend
        self._timer = timer
        self._checked_ms = timer.now_ms()
        self._recorded_ms = timer.now_ms()

    def close(self, identifier: str, reason: str) -> None:
        """Close a program and its sub-agents and release their cache.

        :param identifier: identifier of the program.
        :param reason: reason that is recorded and given to callers.
        :raises UnknownProgramError: if it is not homed on this host.
        :raises PlatformError: if the closing is not recorded within
            ``END_TIMEOUT_MS``; it still will be.
        """
        tree = self._home.table.subtree(identifier)
        ends = self._home.begin_closing(identifier, reason)
        for program in tree:
            self._models.cancel_program(program.identifier, reason)
        for end in ends:
            journals.wait_for(end.durable, END_TIMEOUT_MS)
        self.ended += len(tree)
        gevent.spawn(self._release, tree, ends)

    def run(self) -> None:
        """Check all programs periodically until the greenlet is killed."""
        while True:
            gevent.sleep(clock.to_seconds(CHECK_INTERVAL_MS))
            self.check()

    def check(self) -> None:
        """Count the elapsed time and close programs that are past a limit."""
        now_ms = self._timer.now_ms()
        passed_ms = now_ms - self._checked_ms
        self._checked_ms = now_ms
        self._models.cancel_unread()
        for program in list(self._home.table.programs.values()):
            if program.is_open:
                self._count_time(program, passed_ms)
                self._close_if_expired(program)
        if now_ms - self._recorded_ms >= TIME_RECORD_INTERVAL_MS:
            self._recorded_ms = now_ms
            self._record_time()

    def _count_time(self, program: programs.Program, passed_ms: float) -> None:
        program.ledger.spent_time_ms += round(passed_ms)
        program.idle_ms += passed_ms
        if not self._home.sequencer.is_idle(program.identifier):
            self._home.mark_active(program)

    def _close_if_expired(self, program: programs.Program) -> None:
        reason = ''
        if program.ledger.free_time_ms <= 0:
            reason = programs.TIME_SPENT_REASON
        elif program.idle_ms > self._idle_limit_ms(program):
            reason = programs.IDLE_REASON
        if reason:
            logger.info(
                'A program is closed.',
                program=program.identifier,
                reason=reason,
            )
            gevent.spawn(self._try_close, program.identifier, reason)

    def _try_close(self, identifier: str, reason: str) -> None:
        try:
            self.close(identifier, reason)
        except exceptions.CarobforkError as error:
            logger.warning(
                'A program could not be closed yet.', error=str(error)
            )

    def _idle_limit_ms(self, program: programs.Program) -> int:
        for kind in self._home.bundle.programs:
            if kind.name == program.kind:
                return kind.idle_limit_ms
        return bundles.DEFAULT_IDLE_LIMIT_MS

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
                logger.warning(
                    'The time spent was not recorded.', error=str(error)
                )

    def _release(
        self, tree: list[programs.Program], ends: list[journals.Entry]
    ) -> None:
        for end in ends:
            end.committed.wait()
        if self._home.journal.sealed:
            return
        for program in tree:
            for target in sorted(program.workers):
                self._release_worker(program.identifier, target)

    def _release_worker(self, program: str, target: str) -> None:
        model_name, _, worker_name = target.rpartition('/')
        try:
            model = bundles.find(self._home.bundle.models, model_name, 'model')
            worker = bundles.find(model.workers, worker_name, 'worker')
            self._backend.release(worker, program)
        except exceptions.CarobforkError as error:
            # A sweep of the engine's inventory releases what is left.
            self.releases_failed += 1
            logger.info(
                'Cache was not released.', peer=target, error=str(error)
            )
