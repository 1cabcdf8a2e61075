"""Track the calls of this host that wait for a slot or hold one.

A slot is permission to use one unit of a worker's concurrency; a worker is
one backend server.
"""

from collections.abc import Iterable

import attrs
from gevent import event

from carobfork import clock
from carobfork.coordination import queue_orders, slot_messages
from carobfork.state import identifiers


@attrs.define(eq=False)
class Claim:
    """A call that waits for a slot or holds one on ``worker``."""

    request: queue_orders.SlotRequest
    pool: str
    requested_ms: float
    granted: event.AsyncResult = attrs.Factory(event.AsyncResult)
    worker: str = ''


class ClaimTable:
    """Holds all claims of this host.

    :param timer: measures the waiting time of calls.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Initialize an empty table."""
        self._timer = timer
        self._claims: dict[str, Claim] = {}

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._claims)

    def add(self, claim: Claim) -> None:
        """Add a claim."""
        self._claims[claim.request.identifier] = claim

    def remove(self, claim: Claim) -> None:
        """Remove a claim, if it is present."""
        self._claims.pop(claim.request.identifier, None)

    def find(self, identifier: str) -> Claim | None:
        """Return the open claim of a request, if there is one."""
        return self._claims.get(identifier)

    def pools(self) -> set[str]:
        """Return the pools that have open claims."""
        return {claim.pool for claim in self._claims.values()}

    def in_pool(self, pool: str) -> list[Claim]:
        """Return the claims in a pool."""
        return [claim for claim in self._claims.values() if claim.pool == pool]

    def summary(
        self, own: identifiers.Incarnation, pool: str
    ) -> slot_messages.SlotsOpen:
        """Return digests of this host's claims in a pool."""
        claims = self.in_pool(pool)
        return slot_messages.SlotsOpen(
            sender=own,
            pool=pool,
            open_digest=_digest(claims),
            held_digest=_digest(claim for claim in claims if claim.worker),
        )

    def listing(
        self, own: identifiers.Incarnation, pool: str
    ) -> slot_messages.SlotsListed:
        """Return all claims of this host in a pool."""
        claims = self.in_pool(pool)
        now_ms = self._timer.now_ms()
        return slot_messages.SlotsListed(
            sender=own,
            pool=pool,
            waiting=tuple(
                attrs.evolve(
                    claim.request, waited_ms=now_ms - claim.requested_ms
                )
                for claim in claims
                if not claim.worker
            ),
            held=tuple(
                slot_messages.Holding(claim.request, claim.worker)
                for claim in claims
                if claim.worker
            ),
        )


def _digest(claims: Iterable[Claim]) -> int:
    return slot_messages.calls_digest(
        claim.request.identifier for claim in claims
    )
