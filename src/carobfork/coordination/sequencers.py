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

MAX_QUEUED_CALLS = 64
"""Most calls of one program that wait for their turn."""
PREDECESSOR_TIMEOUT_MS = 1500
_STEP = 'order'


@attrs.frozen(eq=False)
class Ticket:
    """A call's place in its program's queue."""

    key: str
    admitted: event.Event = attrs.Factory(event.Event)


@attrs.define(eq=False)
class _CallQueue:
    tickets: collections.deque[Ticket] = attrs.Factory(collections.deque)
    changed: event.Event = attrs.Factory(event.Event)
    awaiting_predecessor: int = 0
    """Calls whose predecessor has not arrived."""

    def __len__(self) -> int:
        return len(self.tickets) + self.awaiting_predecessor

    def notify_changed(self) -> None:
        changed = self.changed
        self.changed = event.Event()
        changed.set()


class CallSequencer:
    """Queue calls by program; a semaphore would not promise their order."""

    def __init__(self) -> None:
        """Start with no call waiting."""
        self._queues: dict[str, _CallQueue] = {}

    def is_idle(self, program: str) -> bool:
        """Tell whether no call of a program waits or runs."""
        return program not in self._queues

    @contextlib.contextmanager
    def acquire(
        self, program: programs.Program, key: str, after: str
    ) -> Iterator[None]:
        """Wait for the turn of a call and hold it.

        :param after: key of the call that must come first, or nothing.
        :raises OverloadedError: too many calls of the program wait.
        :raises OutOfOrderError: the call that must come first never came.
        """
        queue = self._queues.setdefault(program.identifier, _CallQueue())
        try:
            with self._enqueued(queue, program, key, after) as ticket:
                ticket.admitted.wait()
                yield
        finally:
            if not queue:
                self._queues.pop(program.identifier, None)

    @contextlib.contextmanager
    def _enqueued(
        self, queue: _CallQueue, program: programs.Program, key: str, after: str
    ) -> Iterator[Ticket]:
        if len(queue) >= MAX_QUEUED_CALLS:
            raise exceptions.OverloadedError(
                f'{len(queue)} calls of the program wait already', step=_STEP
            )
        _wait_for_predecessor(queue, program, after)
        ticket = Ticket(key)
        queue.tickets.append(ticket)
        queue.notify_changed()
        try:
            queue.tickets[0].admitted.set()
            yield ticket
        finally:
            queue.tickets.remove(ticket)
            if queue.tickets:
                queue.tickets[0].admitted.set()


def _wait_for_predecessor(
    queue: _CallQueue, program: programs.Program, after: str
) -> None:
    queue.awaiting_predecessor += 1
    try:
        with gevent.Timeout(clock.to_seconds(PREDECESSOR_TIMEOUT_MS), False):
            while not _has_arrived(queue, program, after):
                queue.changed.wait()
            return
    finally:
        queue.awaiting_predecessor -= 1
    raise exceptions.OutOfOrderError(
        f'call "{after}", which must come first, has not arrived', step=_STEP
    )


def _has_arrived(
    queue: _CallQueue, program: programs.Program, after: str
) -> bool:
    if not after or after in program.calls:
        return True
    return any(ticket.key == after for ticket in queue.tickets)
