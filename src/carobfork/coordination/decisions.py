"""Keep the recent scheduling decisions of each program, with reasons.

The log is used by ``carobfork explain``. It is held in memory, bounded in
programs and in decisions per program, and lost on restart.
"""

import collections
import enum

import attrs

from carobfork import clock

MAX_PROGRAMS = 2000
MAX_DECISIONS_PER_PROGRAM = 24
MAX_DETAIL_CHARACTERS = 200


class Action(enum.StrEnum):
    """Kind of a decision."""

    queued = 'queued'
    granted = 'granted'
    ended = 'ended'
    sent = 'sent'
    answered = 'answered'
    refused = 'refused'
    stopped = 'stopped'


SENTENCES = {  # noqa: WPS407
    Action.queued: '{call} waits for {detail}',
    Action.granted: '{call} got a slot on {detail}',
    Action.ended: '{call} gave its slot back: {detail}',
    Action.sent: '{call} was sent to {detail}',
    Action.answered: '{call} was answered by {detail}',
    Action.refused: '{call} ended with {detail}',
    Action.stopped: 'the program was stopped: {detail}',
}


@attrs.frozen
class Decision:
    """A decision about a program.

    ``call`` names the call or the attempt that it concerns, ``detail`` the
    reason or the backend server.
    """

    at_ms: float
    action: Action
    call: str = ''
    detail: str = ''


class DecisionLog:
    """The last decisions of the programs that had decisions last.

    :param timer: clock for the times of decisions.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Initialize without decisions."""
        self._timer = timer
        self._logs: collections.OrderedDict[
            str, collections.deque[Decision]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of programs in the log."""
        return len(self._logs)

    def add(
        self, program: str, action: Action, call: str = '', detail: str = ''
    ) -> None:
        """Log a decision and drop the oldest ones beyond the bounds.

        Texts are cut to ``MAX_DETAIL_CHARACTERS``.
        """
        log = self._logs.get(program)
        if log is None:
            log = collections.deque(maxlen=MAX_DECISIONS_PER_PROGRAM)
            self._logs[program] = log
        self._logs.move_to_end(program)
        if len(self._logs) > MAX_PROGRAMS:
            self._logs.popitem(last=False)
        log.append(
            Decision(
                self._timer.now_ms(),
                action,
                call[:MAX_DETAIL_CHARACTERS],
                detail[:MAX_DETAIL_CHARACTERS],
            )
        )

    def recent(self, program: str) -> list[Decision]:
        """Return the last decisions of a program, oldest first."""
        return list(self._logs.get(program, ()))

    def sentences(self, program: str) -> list[str]:
        """Return the last decisions as sentences that begin with their age."""
        now_ms = self._timer.now_ms()
        return [
            _sentence(decision, now_ms) for decision in self.recent(program)
        ]


def _sentence(decision: Decision, now_ms: float) -> str:
    age = clock.to_seconds(now_ms - decision.at_ms)
    sentence = SENTENCES[decision.action].format(
        call=decision.call, detail=decision.detail
    )
    return f'{age:.1f} s ago, {sentence}.'
