"""Run the calls of each program one at a time and in order.

Calls queue in order of arrival. A call may name its predecessor, the call
that it must run after. The predecessor can arrive later than its successor,
through another host or because it is retried, so it is waited for.
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
"""Maximum number of calls of one program, queued or running."""
PREDECESSOR_TIMEOUT_MS = 1500
_STEP = 'order'


@attrs.frozen(eq=False)
class Ticket:
    """An entry in a program's queue of calls.

    ``admitted`` is set when the call is first in the queue and may run.
    """

    key: str
    admitted: event.Event = attrs.Factory(event.Event)


@attrs.define(eq=False)
class _CallQueue:
    tickets: collections.deque[Ticket] = attrs.Factory(collections.deque)
    changed: event.Event = attrs.Factory(event.Event)
    awaiting_predecessor: int = 0
    """Number of calls whose predecessor has not arrived."""

    def __len__(self) -> int:
        return len(self.tickets) + self.awaiting_predecessor

    def notify_changed(self) -> None:
        changed = self.changed
        self.changed = event.Event()
        changed.set()


class CallSequencer:
    """Holds a queue of calls for each program.

    Semaphores are not used since they do not guarantee first-in, first-out
    order.
    """

    def __init__(self) -> None:
        """Initialize without queued calls."""
        self._queues: dict[str, _CallQueue] = {}

    def is_idle(self, program: str) -> bool:
        """Return whether no call of a program is queued or running."""
        return program not in self._queues

    @contextlib.contextmanager
    def acquire(
        self, program: programs.Program, key: str, after: str
    ) -> Iterator[None]:
        """Return a context that is entered once the call may run.

        The call is then first in its program's queue and stays so until the
        context is left.

        :param key: the call's key; empty if this is not a call.
        :param after: key of the predecessor; empty if there is none.
        :raises OverloadedError: if the program's queue is full.
        :raises OutOfOrderError: if the predecessor does not arrive within
            ``PREDECESSOR_TIMEOUT_MS``.
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
                f'the queue of the program is full with {len(queue)} calls',
                step=_STEP,
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
        f'the preceding call "{after}" did not arrive in time', step=_STEP
    )


def _has_arrived(
    queue: _CallQueue, program: programs.Program, after: str
) -> bool:
    if not after or after in program.calls:
        return True
    return any(ticket.key == after for ticket in queue.tickets)
