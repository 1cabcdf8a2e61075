"""Peer slots: get slots from the hosts that are responsible for pools."""

import contextlib
import itertools
from collections.abc import Iterator

import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.coordination import (
    admissions,
    backlogs,
    claims,
    limits,
    mailboxes,
    orders,
    pool_routes,
    pool_waits,
    pools,
    slot_messages,
    slots,
)
from carobfork.state import bundles, identifiers

SLOT_TIMEOUT_MS = 30_000
TICK_MS = 500

logger = structlog.get_logger(part='slots')


class PeerSlots:
    """Get slots from the hosts that are responsible for the pools.

    :param mailbox: carries the messages.
    :param routes: which host serves which pool.
    :param timer: measures waiting.
    """

    def __init__(
        self,
        mailbox: mailboxes.Mailbox,
        routes: pool_routes.PoolRoutes,
        timer: clock.Clock,
    ) -> None:
        """Start without claims; a bundle brings the pools."""
        self._claims = claims.ClaimTable(timer)
        self._waits = pool_waits.WaitTable(timer)
        self._mailbox = mailbox
        self._routes = routes
        self._timer = timer
        self._pools: dict[str, pools.Pool] = {}
        mailbox.on(slot_messages.SlotGranted, self._take_grant)
        mailbox.on(slot_messages.SlotRefused, self._take_refusal)
        mailbox.on(slot_messages.SlotsSeen, self._take_comparison)

    def apply_bundle(self, bundle: bundles.Bundle) -> None:
        """Use a bundle's pools; calls for a pool that is gone fail."""
        self._pools = pools.split_all(bundle)
        self._routes.apply(self._pools)
        for name in self._claims.pools() - set(self._pools):
            for claim in self._claims.in_pool(name):
                claim.granted.set_exception(_no_pool(claim.request.model))

    @contextlib.contextmanager
    def acquire(self, request: orders.SlotRequest) -> Iterator[slots.Slot]:
        """Wait for a slot and hold it.

        :raises OverloadedError: no slot can be had in time.
        :raises NotRunError: no worker serves the model.
        """
        claim = claims.Claim(
            request, self._choose(request).name, self._timer.now_ms()
        )
        self._claims.add(claim)
        served = None
        try:
            slot = self._wait(claim)
            yield slot
            served = slot.served()
        except exceptions.ConnectionFailedError:
            served = limits.Served(failed=True)
            raise
        finally:
            self._claims.remove(claim)
            self._send(
                claim.pool,
                slot_messages.SlotReleased(
                    self._mailbox.own, claim.pool, request.identifier, served
                ),
            )

    def check_door(self, rank: int, queue_limit_ms: int) -> None:
        """Check that a new program of a rank may be opened.

        :raises OverloadedError: its first call would be refused.
        """
        limit_ms = queue_limit_ms * admissions.NEW_PROGRAM_PART
        waits_ms = [self._waits.find_ms(pool, rank) for pool in self._pools]
        if waits_ms and min(waits_ms) > limit_ms:
            raise backlogs.overloaded('program', min(waits_ms))

    def run(self) -> None:
        """Compare open calls with the pools' hosts until killed."""
        while True:
            gevent.sleep(clock.to_seconds(TICK_MS))
            self.tick()

    def tick(self) -> None:
        """Sum up the open calls for each pool's host."""
        self.reroute()
        for suspect in list(self._routes.suspects):
            self._probe(suspect)
        for pool in self._claims.pools():
            host = self._routes.find(pool)
            if host is not None:
                self._routes.asked(host)
                self._mailbox.send(
                    host, self._claims.summary(self._mailbox.own, pool)
                )

    def reroute(self, *changes) -> None:
        """Move the open calls of pools that another host serves now."""
        for move in self._routes.refresh():
            logger.info('A pool moved.', pool=move.pool, peer=str(move.current))
            nothing = slot_messages.SlotsListed(self._mailbox.own, move.pool)
            self._mailbox.send(move.former, nothing)
            self._mailbox.send(
                move.current,
                self._claims.listing(self._mailbox.own, move.pool),
            )

    def _choose(self, request: orders.SlotRequest) -> pools.Pool:
        candidates = [
            pool for pool in self._pools.values() if pool.model == request.model
        ]
        if not candidates:
            raise _no_pool(request.model)
        own = self._mailbox.own.host
        return pools.preferred(request.last_worker, own, candidates)

    def _wait(self, claim: claims.Claim) -> slots.Slot:
        self._send(
            claim.pool,
            slot_messages.SlotsAsked(
                self._mailbox.own, claim.pool, (claim.request,)
            ),
        )
        try:
            worker = claim.granted.get(
                timeout=clock.to_seconds(SLOT_TIMEOUT_MS)
            )
        except gevent.Timeout:
            raise backlogs.overloaded(claim.pool, SLOT_TIMEOUT_MS) from None
        return slots.Slot(worker, self._timer)

    def _send(self, pool: str, message: object) -> None:
        host = self._routes.find(pool)
        if host is not None:
            self._mailbox.send(host, message)

    def _take_grant(self, message: slot_messages.SlotGranted) -> None:
        self._routes.heard(message.sender)
        claim = self._claim_at(message)
        if claim is None or not self._knows_worker(message):
            self._mailbox.send(
                message.sender,
                slot_messages.SlotReleased(
                    self._mailbox.own, message.pool, message.identifier
                ),
            )
        elif not claim.worker:
            claim.worker = message.worker
            claim.granted.set(message.worker)

    def _take_refusal(self, message: slot_messages.SlotRefused) -> None:
        self._routes.heard(message.sender)
        claim = self._claim_at(message)
        if claim is not None and not claim.granted.ready():
            self._waits.note(message.pool, claim.request.rank, message.wait_ms)
            claim.granted.set_exception(
                backlogs.overloaded(claim.pool, message.wait_ms)
            )

    def _take_comparison(self, message: slot_messages.SlotsSeen) -> None:
        self._routes.heard(message.sender)
        current = self._routes.find(message.pool) == message.sender
        for rank, wait_ms in enumerate(message.waits_ms if current else ()):
            self._waits.note(message.pool, rank, wait_ms)
        if not message.matches:
            listing = slot_messages.SlotsListed(self._mailbox.own, message.pool)
            if current:
                listing = self._claims.listing(self._mailbox.own, message.pool)
            self._mailbox.send(message.sender, listing)

    def _claim_at(self, message) -> claims.Claim | None:
        """Return a message's call if its sender is the one that serves it."""
        if self._routes.find(message.pool) != message.sender:
            return None
        return self._claims.find(message.identifier)

    def _knows_worker(self, message: slot_messages.SlotGranted) -> bool:
        workers = self._pools[message.pool].workers
        return any(worker.name == message.worker for worker in workers)

    def _probe(self, suspect: identifiers.Incarnation) -> None:
        """Ask a suspect about any pool; an answer clears it."""
        for pool in itertools.islice(self._pools, 1):
            message = slot_messages.SlotsOpen(self._mailbox.own, pool, 0, 0)
            self._mailbox.send(suspect, message)


def _no_pool(model: str) -> exceptions.NotRunError:
    return exceptions.NotRunError(
        'no worker serves the model', step='find pool', peer=model
    )
