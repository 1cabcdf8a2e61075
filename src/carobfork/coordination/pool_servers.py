"""Serve the slots of one pool to the hosts that hold its calls.

The slots are those of the pool's workers, its backend servers.
"""

import attrs

from carobfork import clock, exceptions
from carobfork.coordination import (
    dispatchers,
    mailboxes,
    pools,
    slot_limiters,
    slot_messages,
)
from carobfork.state import bundles, identifiers

MAX_SILENT_TICKS = 20
SETTLING_TICKS = 2


@attrs.define
class Holder:
    """A host that has calls open at this pool.

    :param open_calls: identifiers of its calls that wait or hold a slot.
    :param silent_ticks: ticks since its last message.
    """

    open_calls: dict[str, None] = attrs.Factory(dict)
    silent_ticks: int = 0
    had_mismatch: bool = False
    """Whether the held slots in its last summary differed from those known
    here."""


class PoolServer:
    """Dispatcher of one pool and the state of its holders.

    :param pool: the pool.
    :param bundle: the bundle with the ranks and policies in force.
    :param timer: the dispatcher's clock.
    :param mailbox: sends the answers.
    """

    def __init__(
        self,
        pool: pools.Pool,
        bundle: bundles.Bundle,
        timer: clock.Clock,
        mailbox: mailboxes.Mailbox,
    ) -> None:
        """Create a server without calls."""
        self.dispatcher = dispatchers.Dispatcher(pool, bundle, timer)
        self._pool = pool.name
        self._rank_count = len(bundle.ranks)
        self._mailbox = mailbox
        self._settling_ticks = 0
        self._holders: dict[identifiers.Incarnation, Holder] = {}
        self._holder_by_call: dict[str, identifiers.Incarnation] = {}

    def apply(self, pool: pools.Pool, bundle: bundles.Bundle) -> None:
        """Apply the workers, ranks and policies of a bundle."""
        self._rank_count = len(bundle.ranks)
        self.dispatcher.apply_bundle(pool, bundle)
        self.grant()

    def submit(self, message: slot_messages.SlotsAsked) -> None:
        """Queue calls and send grants again to those that have a slot.

        Calls that are not admitted get a refusal with the expected wait.
        """
        holder = self._touch_holder(message.sender)
        for request in message.requests:
            try:
                self.dispatcher.submit(request)
            except exceptions.OverloadedError as error:
                wait_ms = error.retry_after_ms or 0
                self._send_refusal(message.sender, request.identifier, wait_ms)
                continue
            self._add_call(message.sender, holder, request.identifier)
            self._resend_grant(request.identifier)
        self.grant()

    def release(self, message: slot_messages.SlotReleased) -> None:
        """Remove a call and apply its report."""
        self._touch_holder(message.sender)
        self._remove_call(message.sender, message.identifier, message.served)
        self.grant()

    def answer_summary(self, message: slot_messages.SlotsOpen) -> None:
        """Tell a holder whether its summary matches, and the expected waits.

        A difference in held slots only counts if the holder's previous
        summary differed too: a grant may be in transit, and the full list
        that a mismatch causes is long under high load.
        """
        holder = self._touch_holder(message.sender)
        held = [
            name
            for name in holder.open_calls
            if name in self.dispatcher.granted
        ]
        matches = (
            slot_messages.calls_digest(holder.open_calls) == message.open_digest
        )
        differs = slot_messages.calls_digest(held) != message.held_digest
        if differs and holder.had_mismatch:
            matches = False
        holder.had_mismatch = differs
        waits_ms = tuple(
            int(self.dispatcher.expected_wait_ms(rank))
            for rank in range(self._rank_count)
        )
        self._mailbox.send(
            message.sender,
            slot_messages.SlotsSeen(
                self._mailbox.own, self._pool, matches, waits_ms
            ),
        )

    def reconcile(self, message: slot_messages.SlotsListed) -> None:
        """Replace what is known of a holder's calls by its full list.

        If the first message to this server is a list, another host served
        the pool before. Grants are then paused for ``SETTLING_TICKS`` until
        the other holders' lists have arrived, so that slots that are already
        held are not granted twice.
        """
        if not self._holders and (message.held or message.waiting):
            self._settling_ticks = SETTLING_TICKS
        holder = self._touch_holder(message.sender)
        held = {holding.request.identifier for holding in message.held}
        waiting = {request.identifier for request in message.waiting}
        for identifier in set(holder.open_calls) - held - waiting:
            self._remove_call(message.sender, identifier)
        for holding in message.held:
            self.dispatcher.adopt_grant(holding.request, holding.worker)
            self._add_call(message.sender, holder, holding.request.identifier)
        for request in message.waiting:
            self.dispatcher.enqueue_admitted(request)
            self._add_call(message.sender, holder, request.identifier)
            self._resend_grant(request.identifier)
        self.grant()

    def remove_holder(self, sender: identifiers.Incarnation) -> None:
        """Release all slots of a host that is gone."""
        holder = self._holders.pop(sender, Holder())
        for identifier in list(holder.open_calls):
            self._remove_call(sender, identifier)
        self.grant()

    def grant(self) -> None:
        """Grant all available slots, unless grants are paused."""
        if self._settling_ticks:
            return
        while (grant := self.dispatcher.grant_next()) is not None:
            self._send_grant(grant)

    def tick(self) -> None:
        """Shed excess calls and remove silent or replaced holders."""
        self._settling_ticks = max(0, self._settling_ticks - 1)
        for request in self.dispatcher.shed_excess():
            sender = self._holder_by_call[request.identifier]
            rank = min(request.rank, self._rank_count - 1)
            wait_ms = self.dispatcher.expected_wait_ms(rank)
            self._remove_call(sender, request.identifier)
            self._send_refusal(sender, request.identifier, wait_ms)
        for sender, holder in list(self._holders.items()):
            holder.silent_ticks += 1
            silent = holder.silent_ticks > MAX_SILENT_TICKS
            if silent or self._mailbox.is_replaced(sender):
                self.remove_holder(sender)
        self.grant()

    def _touch_holder(self, sender: identifiers.Incarnation) -> Holder:
        holder = self._holders.setdefault(sender, Holder())
        holder.silent_ticks = 0
        return holder

    def _add_call(
        self, sender: identifiers.Incarnation, holder: Holder, identifier: str
    ) -> None:
        holder.open_calls[identifier] = None
        self._holder_by_call[identifier] = sender

    def _remove_call(
        self,
        sender: identifiers.Incarnation,
        identifier: str,
        report: slot_limiters.CallReport | None = None,
    ) -> None:
        """Remove a call, unless it belongs to another holder by now."""
        if self._holder_by_call.get(identifier) == sender:
            self._holder_by_call.pop(identifier)
            self.dispatcher.release(identifier, report)
        holder = self._holders.get(sender)
        if holder is not None:
            holder.open_calls.pop(identifier, None)

    def _resend_grant(self, identifier: str) -> None:
        grant = self.dispatcher.granted.get(identifier)
        if grant is not None:
            self._send_grant(grant)

    def _send_grant(self, grant: dispatchers.Grant) -> None:
        identifier = grant.request.identifier
        self._mailbox.send(
            self._holder_by_call[identifier],
            slot_messages.SlotGranted(
                self._mailbox.own, self._pool, identifier, grant.worker
            ),
        )

    def _send_refusal(
        self,
        sender: identifiers.Incarnation,
        identifier: str,
        wait_ms: float,
    ) -> None:
        self._mailbox.send(
            sender,
            slot_messages.SlotRefused(
                self._mailbox.own, self._pool, identifier, wait_ms
            ),
        )
