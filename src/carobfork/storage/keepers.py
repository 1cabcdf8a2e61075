"""Keepers: a store host's answers to requests about records."""

from collections.abc import Callable
from typing import Any

import attrs
import structlog
from gevent import event

from carobfork import clock
from carobfork.storage import (
    boards,
    disks,
    groups,
    informers,
    ledgers,
    messages,
)

PAGE_BYTES = 262_144
"""Bytes of one page of a copy: a few ms on the slowest link of a store host."""

logger = structlog.get_logger(part='keeper')

Reply = Callable[[Any], None]


class Keeper:
    """Carry out requests about the records of one disk.

    :param disk: keeps the records.
    """

    def __init__(self, disk: disks.Disk) -> None:
        """Start with the group that the disk knows."""
        self.disk = disk
        self.ledger = disk.ledger
        self.informer = informers.Informer(
            disk, self.adopt, clock.SystemClock()
        )
        self.board = boards.Board(clock.SystemClock())
        self._listed: list = []
        self._listing = 0

    @property
    def group(self) -> groups.Group:
        """The newest group that is known here."""
        return self.disk.identity.group

    def adopt(self, group: groups.Group) -> None:
        """Take a newer group over, permanently."""
        if group.epoch > self.group.epoch:
            logger.info(
                'storage group adopted',
                epoch=group.epoch,
                before=self.group.epoch,
                members=[member.node for member in group.members],
                following=[member.node for member in group.following],
            )
            self.disk.save(attrs.evolve(self.disk.identity, group=group))

    def receive(self, envelope: messages.Envelope, reply: Reply) -> None:
        """Carry out a request; the reply may come later."""
        kind = type(envelope.message).__name__
        informing = _INFORMING.get(kind)
        if informing is not None:
            informing(self.informer, envelope.message, reply)
            return
        handler = _HANDLERS[kind]
        if handler in _FENCED and envelope.epoch != self.group.epoch:
            is_stale = envelope.epoch < self.group.epoch
            reply(self._refuse('stale' if is_stale else 'behind'))
            return
        handler(self, envelope.message, reply)

    def store(self, records: list[bytes]) -> None:
        """Write copied records that are not known yet and wait for them."""
        done = event.Event()
        self._submit(
            self.ledger.unknown(records),
            messages.Done,
            lambda _reply: done.set(),
        )
        done.wait()

    def begin(self, message: messages.Begin, reply: Reply) -> None:
        """Reserve tokens and tell what is known of the program."""
        charge = message.charge
        records = []
        if charge is not None:
            self.board.note(charge.attempt, message.worker)
        if charge is not None and not self.ledger.knows_charge(charge):
            records.append(self.ledger.stamp(charge, charge.retain_ms))
        self._submit(records, lambda: self._begun(message), reply)

    def finish(self, message: messages.Finish, reply: Reply) -> None:
        """Settle an attempt and keep its turn."""
        records = []
        if message.charge is not None:
            self.board.drop(message.charge.attempt)
        if message.turn is not None:
            records.append(self.ledger.stamp(message.turn, message.retain_ms))
        if message.charge is not None:
            records.append(
                self.ledger.stamp(message.charge, message.charge.retain_ms)
            )
        self._submit(records, messages.Done, reply)

    def place(self, message: messages.Place, reply: Reply) -> None:
        """Note where a turn runs after all."""
        self.board.note(message.attempt, message.worker)
        reply(messages.Done())

    def take_group(self, message: messages.Adopt, reply: Reply) -> None:
        """Adopt the group that a peer knows."""
        self.adopt(message.group)
        reply(messages.Done())

    def fetch(self, message: messages.Fetch, reply: Reply) -> None:
        """Answer a page of all records."""
        if not message.listing:
            self._listed = list(self.ledger.dump())
            self._listing += 1
        elif message.listing != self._listing:
            reply(self._refuse('failed'))
            return
        page: list[bytes] = []
        size = 0
        place = message.place
        while place < len(self._listed) and size < PAGE_BYTES:
            page.append(self.disk.read(self._listed[place]))
            size += len(page[-1])
            place += 1
        end = 0 if place >= len(self._listed) else place
        is_complete = self.disk.identity.is_complete
        reply(messages.Records(page, end, self._listing, is_complete))

    def take_records(self, message: messages.Give, reply: Reply) -> None:
        """Keep records that another member hands over."""
        self._submit(self.ledger.unknown(message.records), messages.Done, reply)

    def _begun(self, message: messages.Begin) -> Any:
        if not self.disk.identity.is_complete:
            return self._refuse('filling')
        chain, missing = b'', message.previous
        knows = True
        if message.previous:
            knows = self.ledger.knows_turn(message.previous)
            self.ledger.extend(message.previous, message.retain_ms)
            if message.wants_details:
                chain, missing = self.ledger.chain(message.previous)
        program = message.charge.program if message.charge else ''
        return messages.Begun(
            self.ledger.charges(program),
            knows,
            chain,
            missing,
            self.board.counts() if message.wants_details else None,
        )

    def _refuse(self, reason: str) -> messages.Refused:
        return messages.Refused(reason, self.group)

    def _submit(
        self,
        records: list[ledgers.Record],
        answer: Callable[[], Any],
        reply: Reply,
    ) -> None:
        self.disk.submit(
            disks.Submission(
                records,
                lambda: reply(answer()),
                lambda: reply(self._refuse('failed')),
            )
        )


_HANDLERS = {  # noqa: WPS407
    'Adopt': Keeper.take_group,
    'Begin': Keeper.begin,
    'Fetch': Keeper.fetch,
    'Finish': Keeper.finish,
    'Give': Keeper.take_records,
    'Place': Keeper.place,
}
_FENCED = frozenset((Keeper.begin, Keeper.finish))
_INFORMING = {  # noqa: WPS407
    'Beat': informers.Informer.take_beat,
    'Presence': informers.Informer.take_presence,
    'Recall': informers.Informer.recall,
    'Report': informers.Informer.take_report,
}
