"""Serve requests about the records that one store host replicates."""

from collections.abc import Callable
from typing import Any

from carobfork import clock
from carobfork.storage import (
    adoptions,
    credit_messages,
    credit_tables,
    disks,
    groups,
    messages,
    permit_tables,
    record_sources,
    request_blocks,
    status_exchanges,
    stream_parts,
    turn_counters,
)

ReplyCallback = Callable[[Any], None]


class Replica:
    """One store host's replica of the records.

    :param disk: stores the records.
    :param credit_table: this host's share of the quotas of tenants.
    """

    def __init__(
        self, disk: disks.Disk, credit_table: credit_tables.CreditTable
    ) -> None:
        """Create a replica with the group that is stored on the disk."""
        self.disk = disk
        self.credits = credit_table
        self.index = disk.index
        self.blocks = request_blocks.RequestBlocks(disk, clock.SystemClock())
        self.adoptions = adoptions.Adoptions(disk, credit_table.right)
        self.status_exchange = status_exchanges.StatusExchange(
            disk, self.adoptions.start, self.blocks, clock.SystemClock()
        )
        self.open_turns = turn_counters.TurnCounter(clock.SystemClock())
        self.permits = permit_tables.PermitTable(clock.SystemClock())
        self.stream_parts = stream_parts.StreamParts(disk)
        self.record_source = record_sources.RecordSource(disk)

    @property
    def group(self) -> groups.Group:
        """The newest group that this replica knows."""
        return self.disk.identity.group

    def receive(
        self, envelope: messages.Envelope, reply: ReplyCallback
    ) -> None:
        """Handle a request.

        Requests of ``_EPOCH_FENCED`` are refused unless the sender knows the
        same epoch as this replica. They wait for a group that is being adopted.

        :param reply: called with the reply, possibly after this returns.
        """
        kind = type(envelope.message).__name__
        status_handler = _STATUS_HANDLERS.get(kind)
        if status_handler is not None:
            status_handler(self.status_exchange, envelope.message, reply)
            return
        block_handler = _BLOCK_HANDLERS.get(kind)
        if block_handler is not None:
            block_handler(self.blocks, envelope.message)
            reply(messages.Done())
            return
        source_handler = _SOURCE_HANDLERS.get(kind)
        if source_handler is not None:
            page = source_handler(self.record_source, envelope.message)
            reply(page or self._refusal('failed'))
            return
        handler = _HANDLERS[kind]
        if handler in _EPOCH_FENCED and envelope.epoch != self.group.epoch:
            self._handle_other_epoch(envelope, reply)
            return
        handler(self, envelope.message, reply)

    def import_records(self, records: list[bytes]) -> bool:
        """Write copied records that are missing here and wait for the sync.

        :return: whether they are on the disk.
        """
        return self.disk.write(self.index.select_unknown(records))

    def handle_begin(
        self, message: messages.Begin, reply: ReplyCallback
    ) -> None:
        """Reserve tokens and reply with the program's state."""
        charge = message.charge
        records = []
        if charge is not None:
            self.open_turns.assign(charge.attempt, message.worker)
        if charge is not None and not self.index.has_charge(charge):
            records.append(self.index.new_record(charge, charge.retain_ms))
        self._submit(records, lambda: self._build_begun(message), reply)

    def handle_finish(
        self, message: messages.Finish, reply: ReplyCallback
    ) -> None:
        """Settle an attempt and store its turn."""
        records = []
        if message.charge is not None:
            self.open_turns.remove(message.charge.attempt)
        if message.turn is not None:
            records.append(
                self.index.new_record(message.turn, message.retain_ms)
            )
        if message.charge is not None:
            records.append(
                self.index.new_record(message.charge, message.charge.retain_ms)
            )
        self._submit(records, messages.Done, reply)

    def handle_parts(self, message: Any, reply: ReplyCallback) -> None:
        """Store or return parts of streams."""
        _PART_HANDLERS[type(message).__name__](
            self.stream_parts, message, reply
        )

    def handle_place(
        self, message: messages.Place, reply: ReplyCallback
    ) -> None:
        """Update the backend server that an open turn runs on."""
        self.open_turns.assign(message.attempt, message.worker)
        reply(messages.Done())

    def handle_permit_request(
        self, message: messages.PermitRequest, reply: ReplyCallback
    ) -> None:
        """Grant a permit to send to a limited backend server."""
        reply(self.permits.grant(message))

    def handle_credit_request(
        self, message: credit_messages.CreditRequest, reply: ReplyCallback
    ) -> None:
        """Grant credits of a tenant's quota.

        A member that has heard of its successor grants nothing, even if its
        disk takes long to store the new group.
        """
        reply(self.credits.grant(message, self.adoptions.heard))

    def handle_adopt(
        self, message: messages.Adopt, reply: ReplyCallback
    ) -> None:
        """Adopt the group that a peer sent; reply once it is stored.

        Without a reply the peer does not count this host as reached.
        """
        group = message.group
        self.adoptions.start(group)

        def answer() -> None:  # noqa: WPS430
            if self.group.epoch >= group.epoch:
                reply(messages.Done())

        if not self.adoptions.call_after(group.epoch, answer):
            answer()

    def handle_give(self, message: messages.Give, reply: ReplyCallback) -> None:
        """Store records that another member transfers."""
        self._submit(
            self.index.select_unknown(message.records), messages.Done, reply
        )

    def _handle_other_epoch(
        self, envelope: messages.Envelope, reply: ReplyCallback
    ) -> None:
        """Refuse a request, or handle it once its group has been adopted."""
        if envelope.epoch < self.group.epoch:
            reply(self._refusal('stale'))
        elif not self.adoptions.call_after(
            envelope.epoch, lambda: self.receive(envelope, reply)
        ):
            reply(self._refusal('behind'))

    def _build_begun(self, message: messages.Begin) -> Any:
        if not self.disk.identity.is_complete:
            return self._refusal('filling')
        turns, missing = [], message.previous
        knows_previous = True
        if message.previous:
            knows_previous = self.index.has_turn(message.previous)
            self.index.extend_retention(message.previous, message.retain_ms)
            if message.wants_details:
                turns, missing = self.index.turns.list_chain(message.previous)
        turns, chain = self.index.turns.read_short(
            turns, message.max_chain_bytes
        )
        program = message.charge.program if message.charge else ''
        attempt = message.charge.attempt if message.charge else ''
        return messages.Begun(
            self.index.charges(program),
            knows_previous,
            chain,
            missing,
            self.open_turns.counts() if message.wants_details else None,
            self.blocks.weights(message.fingerprints),
            self.index.streams.get(message.resumes or attempt),
            turns,
        )

    def _refusal(self, reason: str) -> messages.Refused:
        return messages.Refused(reason, self.group)

    def _submit(
        self,
        records: disks.Records,
        build_reply: Callable[[], Any],
        reply: ReplyCallback,
    ) -> None:
        self.disk.submit(
            disks.Submission(
                records,
                lambda: reply(build_reply()),
                lambda: reply(self._refusal('failed')),
            )
        )


_HANDLERS = {  # noqa: WPS407
    'Adopt': Replica.handle_adopt,
    'CreditRequest': Replica.handle_credit_request,
    'Begin': Replica.handle_begin,
    'Finish': Replica.handle_finish,
    'Give': Replica.handle_give,
    'PermitRequest': Replica.handle_permit_request,
    'Place': Replica.handle_place,
    'ReadParts': Replica.handle_parts,
    'StorePart': Replica.handle_parts,
}
_EPOCH_FENCED = frozenset(
    (Replica.handle_begin, Replica.handle_finish, Replica.handle_parts)
)
_STATUS_HANDLERS = {  # noqa: WPS407
    'Beat': status_exchanges.StatusExchange.handle_beat,
    'Presence': status_exchanges.StatusExchange.handle_presence,
    'Recall': status_exchanges.StatusExchange.handle_recall,
    'Report': status_exchanges.StatusExchange.handle_report,
}
_PART_HANDLERS = {  # noqa: WPS407
    'ReadParts': stream_parts.StreamParts.read,
    'StorePart': stream_parts.StreamParts.store,
}
_SOURCE_HANDLERS = {  # noqa: WPS407
    'Fetch': record_sources.RecordSource.fetch,
    'ListChanges': record_sources.RecordSource.list_changes,
    'ReadRecords': record_sources.RecordSource.read_records,
    'ReadTurns': record_sources.RecordSource.read_turns,
}
_BLOCK_HANDLERS = {  # noqa: WPS407
    'Crash': request_blocks.RequestBlocks.add,
    'CrashCleared': request_blocks.RequestBlocks.clear,
}
