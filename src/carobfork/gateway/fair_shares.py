"""Share the slots of a rank among tenants by what each may spend.

The load pattern: a few tenants send many times their usual load, and the calls
of all others would wait behind theirs.

Start-time fair queueing: a tenant's next call is due at a virtual time, which
each of its calls moves on by the inverse of its weight. The call that is due
first is served. A tenant that was away has credit for a few calls at once, no
more, and does not pay for slots that nobody else wanted.
"""

import itertools

import attrs

CREDIT_CALLS = 8
"""Calls that a tenant may be ahead of its share: those of a program come to
one host, while its tenant's share is spread over all hosts."""
_MIN_PURGE_SIZE = 128
"""Number of remembered tenants below which none is dropped."""

_SAMPLE_SIZE = 32
"""Number of waiting tenants that are counted for an estimate."""


@attrs.define
class _Waiting:
    """The waiting calls of one tenant.

    :param weight: the tenant's share relative to others.
    :param calls: number of its waiting calls.
    """

    weight: float
    calls: int = 0


class FairShares:
    """The tenants' use of one rank's slots at this host.

    Each operation takes constant time, amortized.
    """

    def __init__(self) -> None:
        """Start with nothing used."""
        self._now: float = 0
        self._due: dict[str, float] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._max_weight: float = 0
        self._purge_size = _MIN_PURGE_SIZE

    @property
    def tenants(self) -> int:
        """Number of tenants with waiting calls."""
        return len(self._waiting)

    def due(self, tenant: str, weight: float) -> float:
        """Return the virtual time at which a tenant's next call is due.

        :param weight: what the tenant may spend, 0 if that is unlimited.
        """
        earliest = self._now - CREDIT_CALLS / self._effective(weight)
        return max(earliest, self._due.get(tenant, earliest))

    def is_owed(self, tenant: str, weight: float) -> bool:
        """Return whether a tenant is behind its share by more than a call.

        A tenant with several waiting calls at this host is not: its load is
        large enough to get its share here in turn.
        """
        waiting = self._waiting.get(tenant)
        if waiting is not None and waiting.calls > 1:
            return False
        behind = self._now - self.due(tenant, weight)
        return behind * self._effective(weight) > 1

    def charge(self, tenant: str, weight: float) -> None:
        """Count a call of a tenant that gets a slot."""
        due = self.due(tenant, weight)
        self._now = max(self._now, due)
        self._due[tenant] = due + 1 / self._effective(weight)
        if len(self._due) > self._purge_size:
            self._purge()

    def enter(self, tenant: str, weight: float) -> None:
        """Count a call that begins to wait."""
        waiting = self._waiting.get(tenant)
        if waiting is None:
            waiting = _Waiting(self._effective(weight))
            self._waiting[tenant] = waiting
        waiting.calls += 1

    def leave(self, tenant: str) -> None:
        """Count a call that no longer waits."""
        waiting = self._waiting[tenant]
        waiting.calls -= 1
        if not waiting.calls:
            self._waiting.pop(tenant)

    def calls_ahead(self, tenant: str, weight: float, own: int) -> float:
        """Return how many waiting calls get a slot before a tenant's new one.

        Others get what their weights allow until the call is due. Of many
        tenants a part is counted.

        :param own: number of the tenant's own waiting calls before it.
        """
        start = self.due(tenant, weight) + own / self._effective(weight)
        sample = list(itertools.islice(self._waiting.items(), _SAMPLE_SIZE))
        served = sum(
            self._calls_before(name, other, start)
            for name, other in sample
            if name != tenant
        )
        return own + served * len(self._waiting) / max(len(sample), 1)

    def _calls_before(
        self, tenant: str, waiting: _Waiting, until: float
    ) -> int:
        """Return how many calls of another tenant are due before a time."""
        span = until - self.due(tenant, waiting.weight)
        if span < 0:
            return 0
        return min(waiting.calls, 1 + int(span * waiting.weight))

    def _effective(self, weight: float) -> float:
        """Return the weight to use: unlimited tenants get the largest one."""
        self._max_weight = max(self._max_weight, weight)
        return weight or self._max_weight or 1

    def _purge(self) -> None:
        """Forget tenants that are not ahead; they get their whole credit."""
        self._due = {
            tenant: due for tenant, due in self._due.items() if due > self._now
        }
        self._purge_size = max(_MIN_PURGE_SIZE, 2 * len(self._due))
