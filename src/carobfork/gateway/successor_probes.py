"""Ask whether other processes have taken the names of leaving servers."""

import contextlib

import structlog
from gevent import pool

from carobfork import exceptions
from carobfork.gateway import (
    connection_pools,
    process_checks,
    worker_tables,
    workers,
)

logger = structlog.get_logger(part='processes')


class SuccessorProber:
    """Probe leaving servers, each in a greenlet of its own.

    :ivar probes: number of probes.
    :param table: the workers.
    :param connections: opens a connection for each probe.
    :param checker: asks on it.
    """

    def __init__(
        self,
        table: worker_tables.WorkerTable,
        connections: connection_pools.ConnectionPool,
        checker: process_checks.ProcessChecker,
    ) -> None:
        """Create a prober without a probe."""
        self.probes = 0
        self._table = table
        self._connections = connections
        self._checker = checker
        self._running = pool.Group()

    def probe_due(self) -> None:
        """Begin the probes that are due."""
        for worker in self._table.leaving.take_due_probes(self._table.get):
            self.probes += 1
            self._running.spawn(self._probe, worker)

    def close(self) -> None:
        """End all probes."""
        self._running.kill(block=False)

    def _probe(self, worker: workers.Worker) -> None:
        try:
            connection = self._connections.open(worker)
            with contextlib.closing(connection):
                is_successor = self._checker.is_successor(
                    connection,
                    is_inherited=self._table.leaving.is_inherited(worker.entry),
                )
        except exceptions.ConnectionFailedError as error:
            logger.info(
                'leaving worker not reached',
                worker=worker.instance,
                reason=error.message,
            )
            return
        if is_successor:
            self._table.renew(worker)
