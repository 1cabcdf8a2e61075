"""Take over the programs of hosts that are stopping."""

from collections.abc import Callable

import attrs
import gevent
import structlog
from gevent import event

from carobfork import clock, exceptions
from carobfork.coordination import (
    handovers,
    homes,
    journals,
    membership,
    messages,
    ports,
    routing,
    takeovers,
)
from carobfork.state import identifiers

HOLD_TIMEOUT_MS = 90_000

logger = structlog.get_logger(part='successions')


@attrs.define(eq=False)
class _Predecessor:
    """A stopping host that still finishes its calls in flight."""

    holds: dict[str, event.Event] = attrs.Factory(dict)
    received: int = 0
    entries: list[journals.Entry] = attrs.Factory(list)


class HandoverReceiver:
    """Receives the programs of stopping hosts and blocks the busy ones.

    :param home: receives the programs.
    :param taker: adopts journals.
    :param members: reports when a stopping host is gone.
    :param link: receives the messages.
    :param codec: decodes the records of calls finished elsewhere.
    """

    def __init__(
        self,
        home: homes.Home,
        taker: takeovers.Takeovers,
        members: membership.Membership,
        link: ports.PeerLink,
        codec: ports.RecordCodec,
    ) -> None:
        """Initialize without predecessors and register the handlers."""
        self._home = home
        self._taker = taker
        self._codec = codec
        self._predecessors: dict[identifiers.Incarnation, _Predecessor] = {}
        members.on_death(self._forget)
        link.on(handovers.HandOver, self.accept)
        link.on(handovers.HandedRecords, self.record)
        link.on(handovers.ProgramsIdle, self.release)

    def accept(self, message: handovers.HandOver) -> messages.Noted:
        """Take over the programs of a stopping host.

        :raises NotRunError: if another host has taken them over.
        """
        if not self._taker.take(message.sender):
            raise exceptions.NotRunError(
                'another host took the programs over', step='hand over'
            )
        self._hold(message)
        self._taker.handle_take_over(takeovers.TakeOver(message.sender))
        return messages.Noted()

    def record(self, message: handovers.HandedRecords) -> messages.Noted:
        """Append records of a stopping host; repeated records are skipped.

        :raises SealedError: if this host no longer owns the programs.
        """
        predecessor = self._predecessor(message.sender)
        content = self._codec.unpack(message.segment)
        fresh = content[max(predecessor.received - message.first, 0) :]
        predecessor.entries = [
            *(entry for entry in predecessor.entries if not entry.applied),
            *(self._home.journal.enqueue(record) for record in fresh),
        ]
        predecessor.received = message.first + len(content)
        for entry in list(predecessor.entries):
            journals.wait_for(entry.committed, handovers.RECORDS_TIMEOUT_MS)
        return messages.Noted()

    def release(self, message: handovers.ProgramsIdle) -> None:
        """Unblock the programs whose calls have finished."""
        predecessor = self._predecessor(message.sender)
        for program in message.programs:
            released = predecessor.holds.pop(program, None)
            if released is not None:
                released.set()

    def _hold(self, message: handovers.HandOver) -> None:
        predecessor = self._predecessor(message.sender)
        for program in message.busy:
            if program in self._home.table.programs:
                released = predecessor.holds.setdefault(program, event.Event())
                self._start_holding(program, released)
        # Lets the greenlets block the programs before any request is read.
        gevent.sleep(0)

    def _start_holding(self, program: str, released: event.Event) -> None:
        gevent.spawn(
            self._hold_turn, self._home.table.find(program), released.wait
        )

    def _hold_turn(self, program, wait: Callable) -> None:
        with self._home.sequencer.acquire(program, key='', after=''):
            wait(timeout=clock.to_seconds(HOLD_TIMEOUT_MS))

    def _forget(self, host: routing.EntryHost) -> None:
        predecessor = self._predecessors.pop(host.incarnation, None)
        if predecessor is not None:
            logger.info('A predecessor is gone.', peer=str(host.incarnation))
            for released in predecessor.holds.values():
                released.set()

    def _predecessor(
        self, incarnation: identifiers.Incarnation
    ) -> _Predecessor:
        return self._predecessors.setdefault(incarnation, _Predecessor())
