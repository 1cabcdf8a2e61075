"""Decide which requests of a tenant its quota allows.

A request takes a credit. This host asks the store hosts for credits, one after
the other until one has some, and keeps what is left for a short time. When all
have none left, a few requests wait until one expects to have more. Programs
send their next request after the answer to the last one, so a short wait slows
a program down to its quota, where a refusal ends it. All others are refused
without asking: each refusal of a flood must cost next to nothing.
"""

import functools
import random
from collections.abc import Callable
from typing import Protocol

from carobfork import clock
from carobfork.storage import credit_messages
from carobfork.tenancy import credit_stocks, tenants

REPLY_TIMEOUT_MS = 120
"""Covers many round trips; later another store host is asked."""
SILENT_MS = 500
"""How long a store host that has not replied is not asked again: perhaps this
host was slow to read its reply."""
MIN_EMPTY_MS = 20
"""Shortest time for which a store host without credits is not asked again."""
UNKNOWN_RETRY_MS = 300
"""Retry delay while no store host grants credits: about a heartbeat."""
PREFETCH_RATIO = 0.33
"""Part of a lease for whose expected requests credits are requested ahead.
With a longer part, more of them lapse than are used."""
IDLE_MS = 10_000
"""How long a tenant without requests is remembered; by then its credits have
lapsed and its demand is forgotten."""
MAX_HELD = 8
"""Requests of a tenant that wait here for credits that are expected."""
MAX_RETRY_MS = 5000
"""Longest retry delay that callers get."""

OnReply = Callable[[credit_messages.Credit | None], None]


class CreditSource(Protocol):
    """The store hosts that grant credits."""

    def members(self) -> list[str]:
        """Return the store hosts within reach, in the order to ask them."""

    def request(
        self,
        disk: str,
        request: credit_messages.CreditRequest,
        on_reply: OnReply,
    ) -> None:
        """Request credits from a store host."""


class CreditKeeper:
    """The credits of all tenants at this host.

    :param timer: a clock that counts suspensions of the machine, since a host
        that wakes up must not use old credits.
    :param source: the store hosts that grant credits.
    :param lease_ms: how long credits may be used after they were requested.
    """

    def __init__(
        self, timer: clock.Clock, source: CreditSource, lease_ms: float
    ) -> None:
        """Create a keeper without credits."""
        self.requests = 0
        self._timer = timer
        self._source = source
        self._lease_ms = lease_ms
        self._stocks: dict[str, credit_stocks.Stock] = {}
        self._silent_ms: dict[str, float] = {}
        self._expired_ms = timer.now_ms()

    def find_refusal(
        self, tenant: tenants.Tenant, version: int
    ) -> credit_stocks.Refusal | None:
        """Return the refusal of a request that is known to get no credit."""
        stock = self._stocks.get(tenant.name)
        if stock is None or stock.version < version:
            return None
        now_ms = self._timer.now_ms()
        if now_ms >= stock.refused_ms or len(stock.waiting) < MAX_HELD:
            return None
        if stock.expires_ms and stock.expires_ms[-1] > now_ms:
            return None
        stock.count_demand(now_ms)
        return self._refuse(stock, now_ms)

    def take(
        self,
        tenant: tenants.Tenant,
        version: int,
        resolve: Callable[[credit_stocks.Credit | credit_stocks.Refusal], None],
    ) -> credit_stocks.Waiter:
        """Take a credit for a request.

        :param version: the version of the configuration with this quota.
        :param resolve: called once, at once or later.
        """
        now_ms = self._timer.now_ms()
        stock = self._find(tenant, version, now_ms)
        stock.count_demand(now_ms)
        waiter = credit_stocks.Waiter(resolve)
        stock.waiting[waiter] = None
        self._serve(stock)
        self._continue(stock)
        return waiter

    def give_up(
        self, tenant: tenants.Tenant, waiter: credit_stocks.Waiter
    ) -> credit_stocks.Refusal:
        """Return the refusal of a request that waits no longer."""
        stock = self._stocks.get(tenant.name)
        if stock is None:
            return credit_stocks.Refusal(UNKNOWN_RETRY_MS, is_over=False)
        stock.waiting.pop(waiter, None)
        return self._refuse(stock, self._timer.now_ms())

    def give_back(self, credit: credit_stocks.Credit) -> None:
        """Keep a credit that was not used for another request."""
        stock = self._stocks.get(credit.tenant)
        if stock is not None:
            stock.expires_ms.insert(0, credit.expires_ms)
            self._serve(stock)

    def check(self, tenant: tenants.Tenant) -> float:
        """Ask again if a reply is overdue or credits are expected by now.

        :return: when to check again, in ms from now.
        """
        stock = self._stocks.get(tenant.name)
        if stock is None:
            return REPLY_TIMEOUT_MS
        now_ms = self._timer.now_ms()
        if stock.request is not None:
            disk, asked_ms = stock.request
            if now_ms - asked_ms >= REPLY_TIMEOUT_MS:
                self._apply(stock, disk, asked_ms, None)
        self._continue(stock)
        if stock.request is not None:
            return max(stock.request[1] + REPLY_TIMEOUT_MS - now_ms, 1)
        return max(stock.refused_ms - now_ms, 1)

    def _continue(self, stock: credit_stocks.Stock) -> None:
        """Ask for what waits, unless this was done or is of no use yet."""
        is_due = self._timer.now_ms() >= stock.refused_ms
        if stock.waiting and stock.request is None and is_due:
            self._ask(stock)

    def _find(
        self, tenant: tenants.Tenant, version: int, now_ms: float
    ) -> credit_stocks.Stock:
        stock = self._stocks.get(tenant.name)
        if stock is None:
            self._expire(now_ms)
            stock = credit_stocks.Stock(tenant, version, now_ms)
            self._stocks[tenant.name] = stock
        elif stock.version < version:
            if stock.tenant != tenant:
                stock.empty_ms.clear()
                stock.refused_ms = 0
            stock.tenant = tenant
            stock.version = version
        return stock

    def _expire(self, now_ms: float) -> None:
        if now_ms - self._expired_ms < IDLE_MS:
            return
        self._expired_ms = now_ms
        for name, stock in list(self._stocks.items()):
            if now_ms - stock.demand_ms > IDLE_MS and not stock.waiting:
                self._stocks.pop(name)

    def _serve(self, stock: credit_stocks.Stock) -> None:
        """Give credits to waiting requests in the order of their arrival."""
        now_ms = self._timer.now_ms()
        while stock.waiting:
            expires_ms = stock.pop(now_ms)
            if expires_ms is None:
                return
            waiter = next(iter(stock.waiting))
            stock.waiting.pop(waiter)
            waiter.resolve(credit_stocks.Credit(stock.tenant.name, expires_ms))
        stock.asked.clear()

    def _ask(self, stock: credit_stocks.Stock) -> None:
        """Ask the next store host, or refuse what waits if there is none."""
        now_ms = self._timer.now_ms()
        disk = self._choose(stock, now_ms)
        if not disk:
            self._refuse_waiting(stock, now_ms)
            return
        needed = len(stock.waiting)
        ahead = (
            stock.demand
            * self._lease_ms
            / credit_stocks.DEMAND_SPAN_MS
            * PREFETCH_RATIO
        )
        stock.request = (disk, now_ms)
        self.requests += 1
        self._source.request(
            disk,
            credit_messages.CreditRequest(
                stock.tenant.name,
                stock.tenant.rate_per_s,
                stock.tenant.burst,
                stock.version,
                needed,
                needed + int(ahead),
            ),
            functools.partial(self._apply, stock, disk, now_ms),
        )

    def _choose(self, stock: credit_stocks.Stock, now_ms: float) -> str:
        """Return the store host to ask next, or an empty string.

        One that was silent is asked only if no other has told anything.
        """
        usable = [
            disk
            for disk in self._source.members()
            if now_ms >= stock.empty_ms.get(disk, 0) and disk not in stock.asked
        ]
        for disk in usable:
            silent_ms = now_ms - self._silent_ms.get(disk, -SILENT_MS)
            if silent_ms >= SILENT_MS:
                return disk
        return '' if stock.is_empty(now_ms) else next(iter(usable), '')

    def _apply(
        self,
        stock: credit_stocks.Stock,
        disk: str,
        asked_ms: float,
        reply: credit_messages.Credit | None,
    ) -> None:
        """Apply a reply, which may be late; ``None`` if there is none."""
        now_ms = self._timer.now_ms()
        is_awaited = stock.request == (disk, asked_ms)
        if is_awaited:
            stock.request = None
        if reply is None or not reply.is_granter:
            stock.asked.add(disk)
            stock.empty_ms.pop(disk, None)
            self._silent_ms[disk] = now_ms
        else:
            self._silent_ms.pop(disk, None)
            stock.add(reply.count, asked_ms + self._lease_ms)
            if reply.retry_ms:
                stock.asked.add(disk)
                empty_ms = max(reply.retry_ms, MIN_EMPTY_MS)
                stock.empty_ms[disk] = now_ms + empty_ms
        self._serve(stock)
        self._continue(stock)

    def _refuse_waiting(
        self, stock: credit_stocks.Stock, now_ms: float
    ) -> None:
        """Refuse what waits, since no store host has a credit.

        A few go on waiting if one of them expects to have credits.
        """
        stock.refused_ms = 0
        held = 0
        if stock.is_empty(now_ms):
            held = MAX_HELD
            # The first that had none may have some by now, after the others.
            until_ms = stock.empty_ms.values()
            stock.refused_ms = min(
                (until for until in until_ms if until > now_ms),
                default=now_ms + MIN_EMPTY_MS,
            )
        stock.asked.clear()
        for waiter in list(stock.waiting)[held:]:
            stock.waiting.pop(waiter)
            waiter.resolve(self._refuse(stock, now_ms))

    def _refuse(
        self, stock: credit_stocks.Stock, now_ms: float
    ) -> credit_stocks.Refusal:
        if not stock.is_empty(now_ms):
            return credit_stocks.Refusal(UNKNOWN_RETRY_MS, is_over=False)
        stock.refused += 1
        turn_ms = stock.refused * clock.MS_PER_SECOND / stock.tenant.rate_per_s
        empty_ms = max(stock.refused_ms - now_ms, MIN_EMPTY_MS)
        wait_ms = empty_ms + turn_ms * random.random()
        return credit_stocks.Refusal(min(wait_ms, MAX_RETRY_MS))
