"""Decisions: what was decided about each program, and why.

A bounded log in memory for ``carobfork explain``: the last decisions of the
programs that were decided about last. It is no record: a restart empties it.
"""

import collections
import enum

import attrs

from carobfork import clock

MAX_PROGRAMS = 2000
MAX_DECISIONS_PER_PROGRAM = 24
MAX_DETAIL_CHARACTERS = 200


class Action(enum.StrEnum):
    """What was decided."""

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
    """One decision about a program.

    ``call`` names the call or the attempt that it concerns, ``detail`` the
    reason or the place.
    """

    at_ms: float
    action: Action
    call: str = ''
    detail: str = ''


class DecisionLog:
    """Keep the last decisions of the last programs.

    :param timer: the clock that decisions are stamped with.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start empty."""
        self._timer = timer
        self._logs: collections.OrderedDict[
            str, collections.deque[Decision]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return how many programs the log holds."""
        return len(self._logs)

    def add(
        self, program: str, action: Action, call: str = '', detail: str = ''
    ) -> None:
        """Log a decision; the oldest ones make room."""
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
        """Return a program's last decisions, oldest first."""
        return list(self._logs.get(program, ()))

    def sentences(self, program: str) -> list[str]:
        """Return the last decisions in words, with their age."""
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
