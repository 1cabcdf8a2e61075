"""Hold a call that needs a slot of a backend server."""

from collections.abc import Callable

import attrs

from carobfork.gateway import calls, program_admissions, routes, workers

MAX_WAIT_RATIO = 0.3
"""Share of a call's remaining time that it may wait; the rest is needed to run
it."""
MAX_WAIT_MS = 800
"""Upper bound of that wait."""
MAX_COMMITTED_WAIT_RATIO = 0.8
"""Share of its remaining time that a committed call may wait: it can't be
refused any more, only broken off."""


Precedence = tuple[int, bool]
"""Rank of a call, and whether it begins a program."""


@attrs.define(eq=False)
class QueuedCall:
    """A call that needs a slot.

    :param call: the caller's metadata.
    :param route: the route that the request matched.
    :param left_ms: time until the caller's deadline.
    :param resolve: called once with the granted worker, or with ``None`` if
        the call is refused.
    :param avoided: workers that have failed or refused this call.
    :param version: the software version that the worker must have, ``None``
        if any will do.
    :param rank: priority class, 0 first.
    :param tenant: name of the caller's tenant, empty if there is none.
    :param weight: what that tenant may spend, relative to others; 0 if it is
        unlimited.
    :param start: the start of a program, if it is a first turn; those of
        programs under way go first.
    :param refusal: why its program may not begin, if it was refused for that.
    :param failed: workers among them that got the call and failed.
    :param is_committed: whether it waits as long as it has time.
    :param is_standby: whether another worker has the call and may go on, so
        that only a free slot is of use.
    :param excluded: a worker that must not get the call.
    :param arrived_ms: when the call was submitted, set by the queue.
    """

    call: calls.Call
    route: routes.Route
    left_ms: float
    resolve: Callable[[workers.Worker | None], None]
    avoided: frozenset[str] = frozenset()
    version: str | None = None
    rank: int = attrs.Factory(lambda queued: queued.route.rank, takes_self=True)
    tenant: str = ''
    weight: float = 0
    start: program_admissions.ProgramStart | None = None
    refusal: program_admissions.Reason | None = None
    failed: frozenset[str] = frozenset()
    is_committed: bool = False
    is_standby: bool = False
    excluded: str = ''
    arrived_ms: float = 0

    @property
    def max_wait_ms(self) -> float:
        """How long the call may wait in the queue."""
        if self.is_committed:
            return self.left_ms * MAX_COMMITTED_WAIT_RATIO
        wait_ms = min(self.left_ms * MAX_WAIT_RATIO, MAX_WAIT_MS)
        return self.start.max_wait_ms(wait_ms) if self.start else wait_ms

    @property
    def overdue_at_ms(self) -> float:
        """When the call has waited as long as it may."""
        return self.arrived_ms + self.max_wait_ms

    @property
    def is_admitted_turn(self) -> bool:
        """Whether it is a turn of a program that had to be admitted."""
        return (
            self.start is None
            and self.weight > 0
            and program_admissions.is_due_turn(self.call)
        )

    @property
    def precedence(self) -> Precedence:
        """What decides between calls before the shares of tenants."""
        return self.rank, self.start is not None

    @property
    def eligibility(self) -> tuple:
        """What decides which workers may run the call.

        Calls of one service that are equal in it are interchangeable: if none
        of these workers takes one of them, none takes another.
        """
        return (
            self.version,
            (self.avoided, self.failed),
            not self.avoided or self.route.is_repeatable,
            self.is_standby,
            self.excluded,
        )

    def priority_key(self) -> tuple[int, bool, float]:
        """Return the sort key: rank, then the program's due time.

        Programs that are already late come after those that can still be in
        time. Under overload, ordering by due time alone would make all of
        them late.
        """
        finish_ms = self.call.program_deadline_ms
        due_ms = self.left_ms if finish_ms is None else finish_ms
        return self.rank, due_ms <= 0, self.arrived_ms + due_ms
