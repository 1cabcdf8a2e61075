"""Estimate how long a call waits for a slot, and when to try again."""

from carobfork import clock
from carobfork.gateway import (
    queued_calls,
    selections,
    waiting_calls,
    worker_tables,
)

MIN_RETRY_AFTER_MS = 60
MAX_RETRY_AFTER_RATIO = 0.25
"""Upper bound of the retry delay, as a share of the caller's remaining time:
callers do not wait longer than a third of it."""
INITIAL_HOLD_MS = 250
"""Assumed time that a call holds a slot until the first one has ended: the
duration of a short turn."""
HOLD_MEAN_WEIGHT = 0.05
"""Weight of the latest call in the moving mean of hold times."""


class WaitEstimator:
    """Estimate the waits of one service's calls.

    :param service: the service's name.
    :param table: the workers of all services.
    :param selector: tells which workers may run a call.
    :param waiting: the calls that wait at this host.
    :param timer: the clock for the workers' loads.
    """

    def __init__(
        self,
        service: str,
        table: worker_tables.WorkerTable,
        selector: selections.WorkerSelector,
        waiting: waiting_calls.WaitingCalls,
        timer: clock.Clock,
    ) -> None:
        """Create an estimator that has seen no call end."""
        self._service = service
        self._table = table
        self._selector = selector
        self._waiting = waiting
        self._timer = timer
        self._mean_hold_ms: float = INITIAL_HOLD_MS

    def record_hold(self, held_ms: float) -> None:
        """Record how long a call held its slot."""
        self._mean_hold_ms += (held_ms - self._mean_hold_ms) * HOLD_MEAN_WEIGHT

    def expected_wait_ms(self, queued: queued_calls.QueuedCall) -> float:
        """Estimate how long a call waits, in ms.

        Counts the calls that go before it in this queue, and those with the
        same or a higher rank at other hosts. They share all workers, also
        where this call may run on some of them only.
        """
        ahead = self._waiting.count_ahead(queued)
        ahead += self._remote_ahead(queued, ahead)
        own = self._selector.candidates(queued)
        shared = own
        if queued.version is not None:
            shared = self._selector.candidates(queued, any_version=True)
        hold_ms = self._mean_hold_ms
        return ahead / self._selector.calls_per_ms(
            shared, hold_ms
        ) + 1 / self._selector.calls_per_ms(own, hold_ms)

    def retry_after_ms(self, left_ms: float, jitter: float) -> float:
        """Return the delay after which a refused call should be retried.

        :param left_ms: time until the caller's deadline.
        :param jitter: number from 0 to 1 that spreads the retries of a burst.
        """
        delay_ms = MIN_RETRY_AFTER_MS + self.backlog_ms()
        max_delay_ms = left_ms * MAX_RETRY_AFTER_RATIO
        return min(delay_ms * (1 + jitter), max_delay_ms)

    def calls_ahead_per_slot(self, rank: int) -> float:
        """Estimate how many calls go before the next turn of a program.

        Counts, at all hosts, the waiting calls of its rank and of more urgent
        ones, and those in the servers' own queues. They are given per slot, so
        that the result doesn't depend on how long calls take.
        """
        ahead = len(self._waiting) - self._waiting.count_behind((rank, False))
        ahead += self._table.remote_waiting(self._service)
        ahead -= self._table.remote_waiting(self._service, behind=rank)
        now_ms = self._timer.now_ms()
        slots = 0
        for worker in self._table.usable(self._service):
            ahead += max(worker.load(now_ms) - worker.entry.slots, 0)
            slots += worker.entry.slots
        return ahead / max(slots, 1)

    def backlog_ms(self) -> float:
        """Estimate the time in which all waiting calls get slots, in ms."""
        waiting = len(self._waiting) + self._table.remote_waiting(self._service)
        return waiting / self._selector.calls_per_ms(
            self._table.usable(self._service), self._mean_hold_ms
        )

    def _remote_ahead(
        self, queued: queued_calls.QueuedCall, ahead: float
    ) -> float:
        """Estimate how many calls at other hosts get a slot before a call.

        Their tenants are unknown. The calls here are taken for a sample of
        them, and the call itself for one that goes before.

        :param ahead: number of waiting calls here that go before it.
        """
        remote = self._table.remote_waiting(self._service)
        remote -= self._table.remote_waiting(self._service, behind=queued.rank)
        if not queued.tenant:
            return remote
        before = len(self._waiting) - self._waiting.count_behind(
            queued.precedence
        )
        return remote * (ahead + 1) / (before + 1)
