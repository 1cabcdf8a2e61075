"""Turns: the calls of one program run one at a time, in order.

Calls queue in order of arrival. A call may name the call that it comes
after; where that one has not arrived yet, by another host or because of a
retry, it is waited for.
"""

import collections
import contextlib
from collections.abc import Iterator

import attrs
import gevent
from gevent import event

from carobfork import clock, exceptions
from carobfork.state import programs

WAITING_LIMIT = 64
"""Most calls of one program that wait for their turn."""
PREDECESSOR_TIMEOUT_MS = 1500
_STEP = 'order'


@attrs.frozen(eq=False)
class Ticket:
    """A call's place in its program's queue."""

    key: str
    called: event.Event = attrs.Factory(event.Event)


@attrs.define(eq=False)
class _Queue:
    tickets: collections.deque[Ticket] = attrs.Factory(collections.deque)
    arrived: event.Event = attrs.Factory(event.Event)
    early: int = 0
    """Calls whose predecessor has not arrived."""

    def __len__(self) -> int:
        return len(self.tickets) + self.early

    def notify(self) -> None:
        arrived = self.arrived
        self.arrived = event.Event()
        arrived.set()


class Turns:
    """Queue calls by program; a semaphore would not promise their order."""

    def __init__(self) -> None:
        """Start with no call waiting."""
        self._queues: dict[str, _Queue] = {}

    def is_idle(self, program: str) -> bool:
        """Tell whether no call of a program waits or runs."""
        return program not in self._queues

    @contextlib.contextmanager
    def hold(
        self, program: programs.Program, key: str, after: str
    ) -> Iterator[None]:
        """Wait for the turn of a call and hold it.

        :param after: key of the call that must come first, or nothing.
        :raises OverloadedError: too many calls of the program wait.
        :raises OutOfOrderError: the call that must come first never came.
        """
        queue = self._queues.setdefault(program.identifier, _Queue())
        try:
            with self._place(queue, program, key, after) as ticket:
                ticket.called.wait()
                yield
        finally:
            if not queue:
                self._queues.pop(program.identifier, None)

    @contextlib.contextmanager
    def _place(
        self, queue: _Queue, program: programs.Program, key: str, after: str
    ) -> Iterator[Ticket]:
        if len(queue) >= WAITING_LIMIT:
            raise exceptions.OverloadedError(
                f'{len(queue)} calls of the program wait already', step=_STEP
            )
        _await_predecessor(queue, program, after)
        ticket = Ticket(key)
        queue.tickets.append(ticket)
        queue.notify()
        try:
            queue.tickets[0].called.set()
            yield ticket
        finally:
            queue.tickets.remove(ticket)
            if queue.tickets:
                queue.tickets[0].called.set()


def _await_predecessor(
    queue: _Queue, program: programs.Program, after: str
) -> None:
    queue.early += 1
    try:
        with gevent.Timeout(clock.to_seconds(PREDECESSOR_TIMEOUT_MS), False):
            while not _has_arrived(queue, program, after):
                queue.arrived.wait()
            return
    finally:
        queue.early -= 1
    raise exceptions.OutOfOrderError(
        f'call "{after}", which must come first, has not arrived', step=_STEP
    )


def _has_arrived(queue: _Queue, program: programs.Program, after: str) -> bool:
    if not after or after in program.calls:
        return True
    return any(ticket.key == after for ticket in queue.tickets)
