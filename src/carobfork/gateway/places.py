"""Give requests places at servers: a credit, a slot and a connection.

A request whose server is silent keeps its place until there is another one. The
load pattern: sound servers fall silent for about a second, several at once,
while the others are full. A request that left its server before another one had
a place for it would end without an answer, although its server goes on.
"""

import contextlib
from collections.abc import Callable, Iterator

import attrs
import structlog

from carobfork import clock, exceptions
from carobfork.gateway import (
    admissions,
    connection_pools,
    contexts,
    request_guards,
    standbys,
    worker_tables,
    workers,
)
from carobfork.tenancy import credit_stocks

MAX_UNREACHABLE = 4
"""Maximum number of servers that can't be reached in one search."""

Connect = Callable[
    [contexts.RequestContext, workers.Worker], connection_pools.Connection
]

logger = structlog.get_logger(part='standby')


@attrs.frozen
class Credits:
    """How credits for further attempts are taken and given back.

    :param take: takes a credit, if the request needs one.
    :param give_back: returns one that was not used.
    """

    take: Callable[[contexts.RequestContext], credit_stocks.Credit | None]
    give_back: Callable[[credit_stocks.Credit], None]


class Places:
    """Places at servers.

    :ivar admission: grants slots.
    :param table: the backend servers.
    :param timer: the clock for deadlines and failures.
    :param policy: registered name of the placement policy.
    :param connect: opens connections to servers.
    :param tenant_credits: the tenants' credits.
    :param guard: knows requests that crash servers.
    """

    def __init__(
        self,
        table: worker_tables.WorkerTable,
        timer: clock.Clock,
        policy: str,
        connect: Connect,
        tenant_credits: Credits,
        guard: request_guards.RequestGuard,
    ) -> None:
        """Create places without queues."""
        self.admission = admissions.AdmissionController(table, timer, policy)
        self._table = table
        self._connect = connect
        self._credits = tenant_credits
        self._guard = guard
        self._timer = timer

    @contextlib.contextmanager
    def claim(
        self, context: contexts.RequestContext
    ) -> Iterator[tuple[workers.Worker, connection_pools.Connection | None]]:
        """Hold a place for a request, the one on standby if there is one.

        :return: the server and a connection to it, if one is open.
        :raises OverloadedError: if no slot can be granted in time.
        """
        standby = context.standby
        if standby is None:
            if context.credit is None:
                context.credit = self._credits.take(context)
            with self.admission.slot(context) as worker:
                # Servers may have crashed under it while it waited.
                self._guard.check(context)
                yield worker, None
        else:
            context.standby = None
            context.credit = standby.credit
            with standby:
                yield standby.worker, standby.connection

    def find_standby(
        self, context: contexts.RequestContext, stalled_ms: float
    ) -> standbys.Standby | None:
        """Return a place at another server, or ``None`` if there is none.

        It may be one at the same server, if that holds just this request.

        :param context: a request that its server may still answer.
        :param stalled_ms: when the stall of that server was noticed.
        """
        context.avoid(context.worker)
        try:
            return self._find_reachable(context, stalled_ms)
        except exceptions.CarobforkError as error:
            logger.info(
                'no other worker has a place',
                request=context.call.attempt,
                worker=context.worker,
                stalled_ms=round(self._timer.now_ms() - stalled_ms),
                reason=str(error),
            )
        return None

    def _find_reachable(
        self, context: contexts.RequestContext, stalled_ms: float
    ) -> standbys.Standby | None:
        for _ in range(MAX_UNREACHABLE):
            self._guard.check(context)
            with contextlib.ExitStack() as unused:
                slot = unused.enter_context(contextlib.ExitStack())
                credit = self._take_credit(context, unused)
                silent = self._silent_worker(context, stalled_ms)
                worker = slot.enter_context(
                    self.admission.slot(context, silent)
                )
                unused.callback(
                    self._table.limiter.give_back, worker, self._timer.now_ms()
                )
                connection = self._try_connect(context, worker)
                if connection is not None:
                    unused.callback(connection.close)
                    return standbys.Standby(
                        worker, connection, credit, slot, unused.pop_all()
                    )
        return None

    def _silent_worker(
        self, context: contexts.RequestContext, stalled_ms: float
    ) -> str:
        """Return the worker of a request, unless it answers other calls."""
        worker = self._table.get(context.worker)
        if worker is not None and worker.last_success_ms > stalled_ms:
            return ''
        return context.worker

    def _take_credit(
        self, context: contexts.RequestContext, unused: contextlib.ExitStack
    ) -> credit_stocks.Credit | None:
        credit = self._credits.take(context)
        if credit is not None:
            unused.callback(self._credits.give_back, credit)
        return credit

    def _try_connect(
        self, context: contexts.RequestContext, worker: workers.Worker
    ) -> connection_pools.Connection | None:
        """Return a connection to a server, unless it can't be reached."""
        try:
            return self._connect(context, worker)
        except exceptions.ConnectionFailedError as error:
            worker.record_failure(self._timer.now_ms())
            context.avoid(worker.instance)
            logger.info(
                'standby not reached',
                request=context.call.attempt,
                worker=worker.instance,
                reason=str(error),
            )
        return None
