"""Desks: calls of one service that wait for a slot.

Urgent calls go first, and within a rank those whose program has the least
time left. A call that can't get a slot in its time is refused when it comes,
not after it has waited.
"""

from collections.abc import Callable

import attrs
import structlog

from carobfork import clock
from carobfork.gateway import calls, placements, routes, workers

PATIENCE_PART = 0.3
"""Of the time left that a call may wait: the rest is needed to run it."""
MOST_PATIENCE_MS = 800
LEAST_RETRY_MS = 60
RETRY_PART = 0.25
"""Of the time left: callers honour no more than a third."""
FIRST_HOLD_MS = 250
"""Assumed duration of a call before one was seen: a short turn."""
HOLD_PART = 0.05
"""Weight of the newest duration in the mean."""

logger = structlog.get_logger(part='desk')


def _ignore() -> None:
    """Do nothing for a desk that is served by its owner."""


@attrs.define(eq=False)
class Ticket:
    """A call that wants a slot.

    :param left_ms: time that the caller still waits.
    :param avoided: servers that failed the call before.
    :param resolve: called once, with the server, or nothing if refused.
    """

    call: calls.Call
    route: routes.Route
    left_ms: float
    resolve: Callable[[workers.Worker | None], None]
    avoided: frozenset[str] = frozenset()
    arrived_ms: float = 0

    @property
    def patience_ms(self) -> float:
        """How long the call may wait here."""
        return min(self.left_ms * PATIENCE_PART, MOST_PATIENCE_MS)

    def urgency(self) -> tuple[int, bool, float]:
        """Return the sort key: rank, then when the program is due.

        Programs that are late already go behind those that may still be in
        time: in a flood, serving by due time alone makes all of them late.
        """
        finish_ms = self.call.finish_ms
        due_ms = self.left_ms if finish_ms is None else finish_ms
        return self.route.rank, due_ms <= 0, self.arrived_ms + due_ms


class Desk:
    """Grant the slots of one service's servers.

    :param service: the service's name.
    :param table: all servers.
    :param timer: the clock that arrival times refer to.
    :param policy: the placement policy.
    :param on_wait: called when a call begins to wait.
    """

    def __init__(
        self,
        service: str,
        table: workers.WorkerTable,
        timer: clock.Clock,
        policy: placements.Placement,
        on_wait: Callable[[], None] = _ignore,
    ) -> None:
        """Start with no call waiting."""
        self.waiting: list[Ticket] = []
        self._on_wait = on_wait
        self._service = service
        self._table = table
        self._timer = timer
        self._policy = policy
        self._hold_ms = FIRST_HOLD_MS

    def submit(self, ticket: Ticket) -> None:
        """Grant a slot now, let the call wait, or refuse it."""
        ticket.arrived_ms = self._timer.now_ms()
        if not self.waiting and self._grant(ticket):
            return
        is_in_time = self.expected_wait_ms(ticket) <= ticket.patience_ms
        if is_in_time and self._candidates(ticket):
            self.waiting.append(ticket)
            self._on_wait()
        else:
            ticket.resolve(None)

    def preview(self, ticket: Ticket) -> str:
        """Return the server that a call would get now, if any."""
        worker = self._choose(ticket)
        return worker.instance if worker else ''

    def withdraw(self, ticket: Ticket) -> None:
        """Forget a call whose caller has left."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)

    def release(self, worker: workers.Worker, held_ms: float) -> None:
        """Take a slot back and grant it again.

        :param held_ms: how long it was held.
        """
        worker.in_flight -= 1
        self._hold_ms += (held_ms - self._hold_ms) * HOLD_PART
        self.serve()

    def serve(self) -> None:
        """Grant free slots to those who wait; refuse whose time is up."""
        for ticket in sorted(self.waiting, key=Ticket.urgency):
            waited_ms = self._timer.now_ms() - ticket.arrived_ms
            if self._grant(ticket):
                self.waiting.remove(ticket)
            elif waited_ms > ticket.patience_ms:
                self.waiting.remove(ticket)
                self._overflow_or_refuse(ticket)

    def expected_wait_ms(self, ticket: Ticket) -> float:
        """Return how long a call would wait behind more urgent ones."""
        ahead = sum(
            other.urgency() <= ticket.urgency() for other in self.waiting
        )
        ahead += self._table.waiting(self._service)
        slots = sum(worker.entry.slots for worker in self._candidates(ticket))
        return (ahead + 1) * self._hold_ms / max(slots, 1)

    def retry_after_ms(self, left_ms: float, spread: float) -> float:
        """Return when a refused call should come back.

        :param left_ms: time that its caller still waits.
        :param spread: from 0 to 1; spreads the return of a burst.
        """
        waiting = len(self.waiting) + self._table.waiting(self._service)
        backlog_ms = waiting * self._hold_ms
        slots = sum(
            worker.entry.slots for worker in self._table.usable(self._service)
        )
        wanted_ms = LEAST_RETRY_MS + backlog_ms / max(slots, 1)
        most_ms = left_ms * RETRY_PART
        return min(wanted_ms * (1 + spread), most_ms)

    def _candidates(self, ticket: Ticket) -> list[workers.Worker]:
        usable = self._table.usable(self._service)
        fresh = [
            worker for worker in usable if worker.instance not in ticket.avoided
        ]
        if fresh or not ticket.route.is_repeatable:
            return fresh
        return usable

    def _grant(self, ticket: Ticket) -> bool:
        return self._take(ticket, self._choose(ticket))

    def _choose(self, ticket: Ticket) -> workers.Worker | None:
        """Return the server for a call, or nothing where all are full.

        A call that may not run twice is no test of a server that has just
        failed: where it breaks off, nobody knows whether it ran.
        """
        now_ms = self._timer.now_ms()
        candidates = self._candidates(ticket)
        chosen = None
        if not ticket.route.is_repeatable:
            trusted = [
                worker
                for worker in candidates
                if not worker.is_doubtful(now_ms)
            ]
            chosen = self._policy(ticket.call, trusted, now_ms)
        return chosen or self._policy(ticket.call, candidates, now_ms)

    def _overflow_or_refuse(self, ticket: Ticket) -> None:
        worker = placements.place_overflow(
            self._candidates(ticket), self._timer.now_ms()
        )
        if not self._take(ticket, worker):
            ticket.resolve(None)

    def _take(self, ticket: Ticket, worker: workers.Worker | None) -> bool:
        if worker is None:
            return False
        worker.in_flight += 1
        ticket.resolve(worker)
        return True
