"""Request slots on workers (backend servers) from the pools' hosts."""

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
    mailboxes,
    pool_routes,
    pool_waits,
    pools,
    queue_orders,
    slot_limiters,
    slot_messages,
    slots,
)
from carobfork.state import bundles, identifiers

SLOT_TIMEOUT_MS = 30_000
SUMMARY_INTERVAL_MS = 500

logger = structlog.get_logger(part='slots')


class SlotClient:
    """Client of the hosts that serve the pools.

    :param mailbox: receives and sends the slot messages.
    :param routes: the hosts that serve the pools.
    :param timer: the clock for waits and slots.
    """

    def __init__(
        self,
        mailbox: mailboxes.Mailbox,
        routes: pool_routes.PoolRoutes,
        timer: clock.Clock,
    ) -> None:
        """Create a client without calls; a bundle defines the pools."""
        self._claims = claims.ClaimTable(timer)
        self._waits = pool_waits.WaitTable(timer)
        self._mailbox = mailbox
        self._routes = routes
        self._timer = timer
        self._pools: dict[str, pools.Pool] = {}
        mailbox.on(slot_messages.SlotGranted, self._handle_grant)
        mailbox.on(slot_messages.SlotRefused, self._handle_refusal)
        mailbox.on(slot_messages.SlotsSeen, self._handle_summary_answer)

    def apply_bundle(self, bundle: bundles.Bundle) -> None:
        """Apply a bundle's pools; calls that wait at removed pools fail."""
        self._pools = pools.split_bundle(bundle)
        self._routes.apply(self._pools)
        for name in self._claims.pools() - set(self._pools):
            for claim in self._claims.in_pool(name):
                claim.granted.set_exception(
                    _no_worker_error(claim.request.model)
                )

    @contextlib.contextmanager
    def acquire(
        self, request: queue_orders.SlotRequest
    ) -> Iterator[slots.Slot]:
        """Wait for a slot and hold it while the context is open.

        :param request: the call.
        :raises OverloadedError: if the call is refused or gets no slot
            within ``SLOT_TIMEOUT_MS``.
        :raises NotRunError: if no worker serves the model.
        """
        claim = claims.Claim(
            request, self._choose_pool(request).name, self._timer.now_ms()
        )
        self._claims.add(claim)
        report = None
        try:
            slot = self._wait_for_slot(claim)
            yield slot
            report = slot.report()
        except exceptions.ConnectionFailedError:
            report = slot_limiters.CallReport(failed=True)
            raise
        finally:
            self._claims.remove(claim)
            self._send(
                claim.pool,
                slot_messages.SlotReleased(
                    self._mailbox.own, claim.pool, request.identifier, report
                ),
            )

    def check_new_program(self, rank: int, queue_limit_ms: int) -> None:
        """Check that a new program of a rank may be opened.

        :param rank: the rank's position.
        :param queue_limit_ms: the rank's longest expected wait.
        :raises OverloadedError: if its first call would be refused.
        """
        limit_ms = queue_limit_ms * admissions.NEW_PROGRAM_LIMIT_RATIO
        waits_ms = [self._waits.get_ms(pool, rank) for pool in self._pools]
        if waits_ms and min(waits_ms) > limit_ms:
            raise backlogs.overloaded_error('program', min(waits_ms))

    def run(self) -> None:
        """Send summaries to the pools' hosts periodically until killed."""
        while True:
            gevent.sleep(clock.to_seconds(SUMMARY_INTERVAL_MS))
            self.tick()

    def tick(self) -> None:
        """Send each pool's host a summary of the calls open at the pool."""
        self.reroute()
        for suspect in list(self._routes.suspects):
            self._probe(suspect)
        for pool in self._claims.pools():
            host = self._routes.find(pool)
            if host is not None:
                self._routes.record_summary(host)
                self._mailbox.send(
                    host, self._claims.summary(self._mailbox.own, pool)
                )

    def reroute(self, *changes) -> None:
        """Send the open calls of moved pools to the new hosts.

        The former hosts get an empty list, so that they release the calls.
        """
        for move in self._routes.refresh():
            logger.info('A pool moved.', pool=move.pool, peer=str(move.current))
            empty_listing = slot_messages.SlotsListed(
                self._mailbox.own, move.pool
            )
            self._mailbox.send(move.former, empty_listing)
            self._mailbox.send(
                move.current,
                self._claims.listing(self._mailbox.own, move.pool),
            )

    def _choose_pool(self, request: queue_orders.SlotRequest) -> pools.Pool:
        candidates = [
            pool for pool in self._pools.values() if pool.model == request.model
        ]
        if not candidates:
            raise _no_worker_error(request.model)
        own = self._mailbox.own.host
        return pools.preferred_pool(request.last_worker, own, candidates)

    def _wait_for_slot(self, claim: claims.Claim) -> slots.Slot:
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
            raise backlogs.overloaded_error(
                claim.pool, SLOT_TIMEOUT_MS
            ) from None
        return slots.Slot(worker, self._timer)

    def _send(self, pool: str, message: object) -> None:
        host = self._routes.find(pool)
        if host is not None:
            self._mailbox.send(host, message)

    def _handle_grant(self, message: slot_messages.SlotGranted) -> None:
        self._routes.record_answer(message.sender)
        claim = self._find_claim(message)
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

    def _handle_refusal(self, message: slot_messages.SlotRefused) -> None:
        self._routes.record_answer(message.sender)
        claim = self._find_claim(message)
        if claim is not None and not claim.granted.ready():
            self._waits.record(
                message.pool, claim.request.rank, message.wait_ms
            )
            claim.granted.set_exception(
                backlogs.overloaded_error(claim.pool, message.wait_ms)
            )

    def _handle_summary_answer(self, message: slot_messages.SlotsSeen) -> None:
        self._routes.record_answer(message.sender)
        current = self._routes.find(message.pool) == message.sender
        for rank, wait_ms in enumerate(message.waits_ms if current else ()):
            self._waits.record(message.pool, rank, wait_ms)
        if not message.matches:
            listing = slot_messages.SlotsListed(self._mailbox.own, message.pool)
            if current:
                listing = self._claims.listing(self._mailbox.own, message.pool)
            self._mailbox.send(message.sender, listing)

    def _find_claim(self, message) -> claims.Claim | None:
        """Return a message's claim, or None if its sender is not in charge."""
        if self._routes.find(message.pool) != message.sender:
            return None
        return self._claims.find(message.identifier)

    def _knows_worker(self, message: slot_messages.SlotGranted) -> bool:
        workers = self._pools[message.pool].workers
        return any(worker.name == message.worker for worker in workers)

    def _probe(self, suspect: identifiers.Incarnation) -> None:
        """Send a summary to a suspected host; any answer ends suspicion."""
        for pool in itertools.islice(self._pools, 1):
            message = slot_messages.SlotsOpen(self._mailbox.own, pool, 0, 0)
            self._mailbox.send(suspect, message)


def _no_worker_error(model: str) -> exceptions.NotRunError:
    return exceptions.NotRunError(
        'no worker serves the model', step='find pool', peer=model
    )
