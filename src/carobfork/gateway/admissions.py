"""Admissions: slots of backend servers for runs, and refusals."""

import contextlib
from collections.abc import Callable, Iterator

import gevent
from gevent import event

from carobfork import clock, exceptions
from carobfork.gateway import desks, exchanges, placements, workers

SERVE_EVERY_MS = 20
"""Between looks at calls that wait: slots come free at other hosts, too."""
_SPREADS = 1000


def _ignore(_worker: workers.Worker | None) -> None:
    """Take no slot."""


class Admission:
    """The desks of all services.

    :param table: the backend servers.
    :param timer: measures spans.
    :param policy: name of the placement policy.
    """

    def __init__(
        self, table: workers.WorkerTable, timer: clock.Clock, policy: str
    ) -> None:
        """Start without desks."""
        self._table = table
        self._timer = timer
        self._policy = placements.PLACEMENTS[policy]
        self._desks: dict[str, desks.Desk] = {}
        self._has_waiting = event.Event()

    def desk(self, service: str) -> desks.Desk:
        """Return the desk of a service."""
        if service not in self._desks:
            self._desks[service] = desks.Desk(
                service,
                self._table,
                self._timer,
                self._policy,
                self._has_waiting.set,
            )
        return self._desks[service]

    def waiting(self) -> dict[str, int]:
        """Return the calls that wait for a slot, by service."""
        return {
            name: len(desk.waiting)
            for name, desk in self._desks.items()
            if desk.waiting
        }

    def serve(self) -> None:
        """Let all desks look at what waits."""
        for desk in list(self._desks.values()):
            desk.serve()

    def run(self) -> None:
        """Serve what waits, until the greenlet is killed.

        Sleeps where nothing waits, as is usual on most hosts.
        """
        while True:
            self._has_waiting.wait()
            self.serve()
            if not self.waiting():
                self._has_waiting.clear()
            gevent.sleep(clock.to_seconds(SERVE_EVERY_MS))

    def preview(self, run: exchanges.Run) -> str:
        """Return the server that a run would get now, if any."""
        return self.desk(run.service).preview(self._ticket(run))

    @contextlib.contextmanager
    def slot(self, run: exchanges.Run) -> Iterator[workers.Worker]:
        """Hold a slot of a server.

        :raises OverloadedError: there is none in time.
        """
        desk = self.desk(run.service)
        worker = self._wait_for_slot(run, desk)
        taken_ms = self._timer.now_ms()
        try:
            yield worker
        finally:
            desk.release(worker, self._timer.now_ms() - taken_ms)

    def refusal(
        self, run: exchanges.Run, reason: str
    ) -> exceptions.CarobforkError:
        """Return the error of a run that gets no slot."""
        desk = self.desk(run.service)
        left_ms = run.until_ms - self._timer.now_ms()
        # Attempts are random, so their hashes spread a burst's return.
        spread = (hash(run.call.attempt) % _SPREADS) / _SPREADS
        return exceptions.OverloadedError(
            f'{reason}; {len(desk.waiting)} wait',
            step='admit',
            peer=run.service,
            retry_after_ms=int(desk.retry_after_ms(left_ms, spread)),
        )

    def _wait_for_slot(
        self, run: exchanges.Run, desk: desks.Desk
    ) -> workers.Worker:
        asked_ms = self._timer.now_ms()
        granted = event.AsyncResult()
        ticket = self._ticket(run, granted.set)
        desk.submit(ticket)
        try:
            worker = granted.get()
        except BaseException:
            desk.withdraw(ticket)
            if granted.ready() and granted.value is not None:
                desk.release(granted.value, 0)
            raise
        run.queued_ms += self._timer.now_ms() - asked_ms
        if worker is None:
            raise self.refusal(run, 'no free slot')
        return worker

    def _ticket(
        self,
        run: exchanges.Run,
        resolve: Callable[[workers.Worker | None], None] = _ignore,
    ) -> desks.Ticket:
        left_ms = run.until_ms - self._timer.now_ms()
        return desks.Ticket(run.call, run.route, left_ms, resolve, run.avoided)
