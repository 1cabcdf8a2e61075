"""Hold the credits of one tenant at one host, and who waits for them."""

import itertools
import math
from collections.abc import Callable

import attrs

from carobfork.tenancy import tenants

DEMAND_SPAN_MS = 1000
"""Time over which the demand of a tenant is averaged."""

EMPTY_TTL_MS = 1000
"""How long it counts that a store host had no credits: while others are asked
and requests wait for credits that are expected."""


@attrs.frozen
class Refusal:
    """A request gets no credit.

    :param retry_ms: when a credit is expected.
    :param is_over: whether the quota is used up; if not, no store host could
        be asked.
    """

    retry_ms: float
    is_over: bool = True


@attrs.frozen
class Credit:
    """The permission to send one request.

    :param tenant: name of the tenant.
    :param expires_ms: when it lapses.
    """

    tenant: str
    expires_ms: float


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a credit.

    :param resolve: called once with what has become of it.
    """

    resolve: Callable[[Credit | Refusal], None]


@attrs.define(eq=False)
class Stock:
    """What this host has of one tenant's credits.

    :param expires_ms: when each credit lapses, the earliest first.
    :param waiting: requests without a credit, in the order of arrival.
    :param asked: store hosts that had too few for those.
    :param request: the store host that is being asked, and since when.
    :param empty_ms: until when store hosts have none left.
    :param refused_ms: until when requests are refused without asking.
    :param refused: requests refused since the last credit.
    :param demand: requests in about ``DEMAND_SPAN_MS``, as of ``demand_ms``.
    """

    tenant: tenants.Tenant
    version: int
    demand_ms: float
    expires_ms: list[float] = attrs.Factory(list)
    waiting: dict[Waiter, None] = attrs.Factory(dict)
    asked: set[str] = attrs.Factory(set)
    request: tuple[str, float] | None = None
    empty_ms: dict[str, float] = attrs.Factory(dict)
    refused_ms: float = 0
    refused: int = 0
    demand: float = 0

    def count_demand(self, now_ms: float) -> None:
        """Count a request that needs a credit."""
        age_ms = now_ms - self.demand_ms
        self.demand = self.demand * math.exp(-age_ms / DEMAND_SPAN_MS) + 1
        self.demand_ms = now_ms

    def is_empty(self, now_ms: float) -> bool:
        """Return whether store hosts have lately had too few credits."""
        since_ms = now_ms - EMPTY_TTL_MS
        return any(until_ms > since_ms for until_ms in self.empty_ms.values())

    def pop(self, now_ms: float) -> float | None:
        """Use a credit and return when it lapses, or None if there is none."""
        while self.expires_ms:
            expires_ms = self.expires_ms.pop(0)
            if expires_ms > now_ms:
                return expires_ms
        return None

    def add(self, count: int, expires_ms: float) -> None:
        """Add credits that lapse at the same time."""
        self.expires_ms.extend(itertools.repeat(expires_ms, count))
        if count:
            self.refused = 0
