"""Decide which programs may begin while the servers have too little room.

The load pattern: a burst of new programs, or a few tenants that send many
times their usual, asks for up to about twice what the servers can run. If each
program were let in, the turns of all would wait for each other, and nearly all
would end late. A refused first turn has cost next to nothing; a refused later
turn loses the work of a whole program.

So a program that is under way goes before one that begins, its tools' calls
included, and the room that is left decides how many begin. A first turn gets a
free slot or waits for one; it takes no place in a server's own queue, in which
it would be ahead of turns under way. These are sent there while it is short.
A first turn is refused at once if its program could not be finished in time
any more, or while turns under way have been delayed for longer.

Decisions are by rank first: an urgent program that begins goes before a
routine one that is under way.
"""

import collections
import enum
import math
from collections.abc import Mapping

import attrs
import structlog

from carobfork import clock
from carobfork.gateway import calls

MAX_WAIT_RATIO = 0.25
"""Share of a program's time that its first turn may wait. What a program may
take is a small multiple of what its work takes; with more of it gone at the
start, none would be left for waits under way."""

MAX_CALLS_AHEAD_PER_SLOT = 0.25
"""Calls beyond the slots that may go before the turns of programs under way.
Each of these turns then takes a quarter longer than usual, which objectives of
programs leave for waits."""
MAX_CALLS_PER_SLOT = 1 + MAX_CALLS_AHEAD_PER_SLOT
"""Calls per slot on a worker that takes turns of programs under way beyond its
slots, or first turns that go before less urgent calls. Since few programs begin
then, a turn waits less there than in its host's queue, where it would get only
slots that this host's calls release."""
MAX_DELAYED_CALLS_AHEAD_PER_SLOT = 0.1
"""The same for programs whose first turn has been refused until they will
probably end late: they begin once there is room for all."""
LOST_PER_ATTEMPT_MS = 400
"""Time that an earlier attempt is taken to have cost: a wait in the queue and
one until the caller comes back."""
MAX_LOST_RATIO = 0.3
"""Lost time, relative to what is left, from which a program counts as one that
ends late."""
PRESSURE_SPAN_MS = 1000
"""Time over which the calls ahead are averaged: several turns of a program."""
MAX_SAMPLE_MS = 500
"""Longest time that one look at the servers stands for: after a quiet time, a
momentary excess refuses nobody."""
INITIAL_INTERVAL_MS = 250
"""Assumed time between two programs that begin at a host until some have."""
MAX_INTERVAL_MS = 1000
"""Upper bound of that time; longer ones show that few programs came."""
INTERVAL_MEAN_WEIGHT = 0.2
"""Weight of the latest interval in the moving mean."""

logger = structlog.get_logger(part='programs')


class Reason(enum.StrEnum):
    """Why a program may not begin now."""

    too_late = 'too_late'
    delayed = 'delayed'
    no_room = 'no_room'
    long_wait = 'long_wait'
    overdue = 'overdue'


@attrs.frozen
class ProgramStart:
    """The first turn of a program with a due time.

    :param left_ms: time left until the program should be finished.
    :param earlier_attempts: earlier attempts to begin it, at any host.
    """

    left_ms: float
    earlier_attempts: int = 0

    @property
    def is_delayed(self) -> bool:
        """Whether it has lost so much time that it will probably end late."""
        lost_ms = self.earlier_attempts * LOST_PER_ATTEMPT_MS
        return lost_ms > self.left_ms * MAX_LOST_RATIO

    def max_wait_ms(self, call_max_wait_ms: float) -> float:
        """Return how long the turn may wait for a slot.

        :param call_max_wait_ms: how long any call of its deadline may wait.
        """
        return min(self.left_ms * MAX_WAIT_RATIO, call_max_wait_ms)


def is_due_turn(call: calls.Call) -> bool:
    """Return whether a call is a turn of a program with a due time."""
    return bool(call.program) and None not in {
        call.program_deadline_ms,
        call.budget_tokens,
    }


def find_start(
    call: calls.Call, charges: Mapping[str, tuple[int, bool]], own: str
) -> ProgramStart | None:
    """Return the start of a program, or ``None`` if a turn is a later one.

    A program that has generated tokens or may be doing so, for whatever turn
    and at whatever host, is under way. Without a budget that is unknown.

    :param call: the turn.
    :param charges: tokens and whether they are settled, by attempt.
    :param own: the name of this turn's charge.
    """
    if not is_due_turn(call):
        return None
    others = [charge for name, charge in charges.items() if name != own]
    is_under_way = any(tokens for tokens, _is_settled in others)
    if call.previous_turn or call.last_event or is_under_way:
        return None
    return ProgramStart(call.program_deadline_ms, len(others))


class Pressure:
    """How many calls have gone before turns under way lately, by rank.

    A moving mean over time: an excess that is gone in a moment delays one turn
    of a program, one that lasts delays them all.

    :param timer: the clock for the mean.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without calls."""
        self._timer = timer
        self._started_ms = timer.now_ms()
        self._calls: dict[int, float] = {}
        self._updated_ms: dict[int, float] = {}

    def record(self, rank: int, calls_per_slot: float) -> None:
        """Record how many calls go before a turn of a rank now."""
        now_ms = self._timer.now_ms()
        span_ms = now_ms - self._updated_ms.get(rank, self._started_ms)
        seen_ms = min(span_ms, MAX_SAMPLE_MS)
        was_high = self.is_high(rank)
        self._calls[rank] = self._calls.get(rank, 0) * math.exp(
            -span_ms / PRESSURE_SPAN_MS
        ) + calls_per_slot * (1 - math.exp(-seen_ms / PRESSURE_SPAN_MS))
        self._updated_ms[rank] = now_ms
        if self.is_high(rank) != was_high:
            logger.info(
                'programs may begin' if was_high else 'no room for programs',
                rank=rank,
                calls_ahead_per_slot=round(self._calls[rank], 2),
            )

    def is_high(
        self, rank: int, max_calls_per_slot: float = MAX_CALLS_AHEAD_PER_SLOT
    ) -> bool:
        """Return whether turns of a rank are delayed too much."""
        return self._calls.get(rank, 0) > max_calls_per_slot

    def high_ms(self, rank: int) -> float:
        """Return how long the mean stays too high if no more calls come."""
        ratio = self._calls.get(rank, 0) / MAX_CALLS_AHEAD_PER_SLOT
        return PRESSURE_SPAN_MS * math.log(max(ratio, 1))


class ReturnTimes:
    """When the refused callers that would begin programs come back.

    They come once there is room, one after the other in the order of their
    refusals, as fast as programs have begun here lately.

    :param timer: the clock for these times.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without refused callers."""
        self._timer = timer
        self._interval_ms: float = INITIAL_INTERVAL_MS
        self._last_begin_ms = timer.now_ms()
        self._last_return_ms = timer.now_ms()

    def record_begin(self) -> None:
        """Record that a program begins."""
        now_ms = self._timer.now_ms()
        interval_ms = min(now_ms - self._last_begin_ms, MAX_INTERVAL_MS)
        change_ms = (interval_ms - self._interval_ms) * INTERVAL_MEAN_WEIGHT
        self._interval_ms += change_ms
        self._last_begin_ms = now_ms

    def reserve_ms(self, room_ms: float, max_delay_ms: float) -> float:
        """Return the time until a refused caller's turn, and take it.

        :param room_ms: time until there is room.
        :param max_delay_ms: longest time that the caller waits.
        """
        now_ms = self._timer.now_ms()
        due_ms = max(now_ms + room_ms, self._last_return_ms + self._interval_ms)
        self._last_return_ms = min(due_ms, now_ms + max_delay_ms)
        return self._last_return_ms - now_ms


class ProgramAdmission:
    """Decide which programs may begin at one service.

    :ivar refused: first turns that were refused, by reason.
    :param timer: the clock for the pressure and the returns.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without programs."""
        self.refused: collections.Counter[Reason] = collections.Counter()
        self._returns = ReturnTimes(timer)
        self._pressure = Pressure(timer)

    def record_pressure(self, rank: int, calls_per_slot: float) -> None:
        """Record how many calls go before a turn under way now.

        :param rank: the turn's rank.
        :param calls_per_slot: their number per slot.
        """
        self._pressure.record(rank, calls_per_slot)

    def gives_way(self, rank: int, start: ProgramStart) -> bool:
        """Return whether a first turn leaves free slots to other programs."""
        return start.is_delayed and self._pressure.is_high(
            rank, MAX_DELAYED_CALLS_AHEAD_PER_SLOT
        )

    def decide(
        self,
        rank: int,
        start: ProgramStart,
        expected_wait_ms: float,
        allowed_wait_ms: float,
    ) -> Reason | None:
        """Return why a first turn is refused, or ``None`` if it waits.

        :param rank: its rank.
        :param start: the first turn.
        :param expected_wait_ms: how long the turn is expected to wait.
        :param allowed_wait_ms: how long it may.
        """
        reason = None
        if start.left_ms <= 0:
            reason = Reason.too_late
        elif self.gives_way(rank, start):
            reason = Reason.delayed
        elif self._pressure.is_high(rank):
            reason = Reason.no_room
        elif expected_wait_ms > allowed_wait_ms:
            reason = Reason.long_wait
        if reason is not None:
            self.refused[reason] += 1
        return reason

    def record_begin(self) -> None:
        """Record that a program begins."""
        self._returns.record_begin()

    def retry_after_ms(
        self, rank: int, backlog_ms: float, max_delay_ms: float
    ) -> float:
        """Return the delay after which a refused first turn should be retried.

        :param rank: its rank.
        :param backlog_ms: time in which the waiting calls are served.
        :param max_delay_ms: longest time that the caller waits.
        """
        room_ms = max(backlog_ms, self._pressure.high_ms(rank))
        return self._returns.reserve_ms(room_ms, max_delay_ms)

    def refuse_overdue(self) -> Reason:
        """Return why a first turn is refused that has waited in vain."""
        self.refused[Reason.overdue] += 1
        return Reason.overdue
