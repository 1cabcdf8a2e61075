"""Keep all hosts together below the request limits that servers name.

A request to a limited server needs a permit. One store host grants the permits
of a server to all entry hosts. While it can't be reached, each entry host
sends its share of a part of the limit, so that the sum stays bounded even if
other hosts still get permits.
"""

import functools
import random
from collections.abc import Callable

from carobfork import clock
from carobfork.gateway import limited_processes, permits, workers
from carobfork.storage import messages, rate_schedules

MAX_WAIT_MS = 300
"""How long before it is valid a permit may be granted. Requests are granted in
the order of their arrival within this time."""
ROUTINE_MAX_WAIT_MS = 60
"""The same for calls while more urgent ones are being made: under contention
the next permits are further away and go to those."""
REPLY_TIMEOUT_MS = 200
"""Covers many round trips; later the store host counts as lost."""
ALONE_MS = 500
"""How long this host uses its own share before it asks a store host again."""
ALONE_RATIO = 0.5
"""Part of the limit that hosts without a store host share. Others may still be
granted all of it; servers tolerate one and a half times their limit."""
MIN_BACKOFF_MS = 50
BACKOFF_PER_HOST_MS = 10
"""Longest pause after a refused request, for each entry host: a store host gets
at most some hundred requests a second for a server, from any number of
hosts."""
MIN_JITTER = 0.5

PermitSource = Callable[
    [messages.PermitRequest, Callable[[messages.Permit | None], None]], None
]
"""Sends a request to the store host that grants a server's permits. The
callback gets ``None`` if there is no reply."""


def no_source(
    _request: messages.PermitRequest,
    on_reply: Callable[[messages.Permit | None], None],
) -> None:
    """Report that no store host grants permits."""
    on_reply(None)


def single_host() -> int:
    """Return the number of entry hosts of a fleet of one."""
    return 1


class Limiter:
    """Permits for the limited backend servers.

    :ivar processes: the processes that have named a limit.
    :param timer: the clock for permits.
    :param source: sends requests for permits.
    :param count_hosts: returns the number of entry hosts, 0 if it is unknown.
    """

    def __init__(
        self,
        timer: clock.Clock,
        source: PermitSource = no_source,
        count_hosts: Callable[[], int] = single_host,
    ) -> None:
        """Create a limiter without permits."""
        self.processes = limited_processes.LimitedProcesses(timer)
        self._timer = timer
        self._source = source
        self._count_hosts = count_hosts

    def record(self, worker: workers.Worker, limit_per_s: float | None) -> None:
        """Apply the limit that an answer names, or its absence.

        The store host is told of the end of a limit, since hosts that get no
        permits get no answers that would tell them.
        """
        now_ms = self._timer.now_ms()
        was_limited = worker.limit_per_s is not None
        worker.record_limit(limit_per_s, now_ms)
        if limit_per_s is not None:
            self.processes.record(worker)
        elif was_limited:
            request = messages.PermitRequest(worker.instance, None, 0, 0)
            self._source(request, _ignore_reply)

    def may_send(self, worker: workers.Worker) -> bool:
        """Return whether a request may be sent to a server now."""
        return worker.limit_per_s is None or worker.permit_stock.has_valid(
            self._timer.now_ms()
        )

    def take(self, worker: workers.Worker) -> None:
        """Use a permit for a request that is sent now."""
        if worker.limit_per_s is not None:
            worker.permit_stock.take(self._timer.now_ms())

    def give_back(self, worker: workers.Worker, taken_ms: float) -> None:
        """Return a permit that was not used.

        :param taken_ms: when it was taken.
        """
        if worker.limit_per_s is not None:
            worker.permit_stock.add(taken_ms)

    def request(self, worker: workers.Worker, max_wait_ms: float) -> None:
        """Request a permit unless one is held, requested or just refused.

        :param max_wait_ms: the longest acceptable wait until it is valid.
        """
        now_ms = self._timer.now_ms()
        stock = worker.permit_stock
        if stock.has_any(now_ms) or now_ms < stock.retry_at_ms:
            return
        if now_ms < stock.alone_until_ms:
            self._reserve_alone(worker, max_wait_ms)
        elif stock.requested_ms is None:
            self._ask(worker, max_wait_ms)
        elif now_ms - stock.requested_ms > REPLY_TIMEOUT_MS:
            self._apply_reply(worker, stock.requested_ms, None)

    def _ask(self, worker: workers.Worker, max_wait_ms: float) -> None:
        now_ms = self._timer.now_ms()
        worker.permit_stock.requested_ms = now_ms
        request = messages.PermitRequest(
            worker.instance,
            worker.limit_per_s,
            now_ms - worker.permit_stock.limit_heard_ms,
            max_wait_ms,
        )
        self._source(
            request, functools.partial(self._apply_reply, worker, now_ms)
        )

    def _apply_reply(
        self,
        worker: workers.Worker,
        requested_ms: float,
        reply: messages.Permit | None,
    ) -> None:
        """Apply a reply, unless it belongs to an earlier request."""
        stock = worker.permit_stock
        if stock.requested_ms != requested_ms:
            return
        stock.requested_ms = None
        now_ms = self._timer.now_ms()
        if reply is None:
            stock.alone_until_ms = now_ms + ALONE_MS
        elif reply.limit_per_s is None:
            worker.clear_limit()
        elif reply.wait_ms is None:
            self._back_off(stock, reply.retry_ms)
        else:
            stock.refusals = 0
            stock.add(now_ms + reply.wait_ms)

    def _back_off(self, stock: permits.PermitStock, retry_ms: float) -> None:
        max_ms = max(MIN_BACKOFF_MS, self._count_hosts() * BACKOFF_PER_HOST_MS)
        backoff_ms = min(MIN_BACKOFF_MS * 2**stock.refusals, max_ms)
        stock.refusals += backoff_ms < max_ms
        jitter = MIN_JITTER + random.random()
        stock.retry_at_ms = (
            self._timer.now_ms() + max(retry_ms, backoff_ms) * jitter
        )

    def _reserve_alone(
        self, worker: workers.Worker, max_wait_ms: float
    ) -> None:
        """Reserve a time of this host's own share of the limit."""
        hosts = self._count_hosts()
        if not hosts:
            return
        now_ms = self._timer.now_ms()
        stock = worker.permit_stock
        limit_per_s = rate_schedules.usable_rate(worker.limit_per_s)
        rate_per_s = limit_per_s * ALONE_RATIO / hosts
        if stock.schedule is None:
            interval_ms = clock.MS_PER_SECOND / rate_per_s
            stock.schedule = rate_schedules.RateSchedule(
                now_ms + random.random() * interval_ms
            )
        wait_ms = stock.schedule.reserve(rate_per_s, now_ms, max_wait_ms)
        if wait_ms is not None:
            stock.add(now_ms + wait_ms)


def _ignore_reply(_reply: messages.Permit | None) -> None:
    """Discard the reply to the news that a limit has ended."""
