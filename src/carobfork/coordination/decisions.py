"""Decisions: what was decided about each program, and why.

A bounded log in memory for ``carobfork explain``: the last decisions of the
programs that were decided about last. It is no record: a restart empties it.
"""

import collections
from collections.abc import Iterable

import attrs

from carobfork import clock

PROGRAMS_LIMIT = 2000
DECISIONS_LIMIT = 24
DETAIL_CHARACTERS = 200


@attrs.frozen
class Decision:
    """One decision about a program.

    ``action`` is one of the texts that ``SENTENCES`` explains, ``call`` the
    call key it concerns, ``detail`` the reason or the place.
    """

    at_ms: float
    action: str
    call: str = ''
    detail: str = ''


OPENED = 'opened'
QUEUED = 'queued'
GRANTED = 'granted'
SENT = 'sent'
ANSWERED = 'answered'
REFUSED = 'refused'
MOVED = 'moved'
STOPPED = 'stopped'

SENTENCES = {  # noqa: WPS407
    OPENED: 'The program was opened: {detail}.',
    QUEUED: 'Call {call} waits: {detail}.',
    GRANTED: 'Call {call} got a slot on {detail}.',
    SENT: 'Call {call} was sent to {detail}.',
    ANSWERED: 'Call {call} was answered by {detail}.',
    REFUSED: 'Call {call} ended with an error: {detail}.',
    MOVED: 'The program moved: {detail}.',
    STOPPED: 'The program was stopped: {detail}.',
}


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

    def note(
        self, program: str, action: str, call: str = '', detail: str = ''
    ) -> None:
        """Log a decision; the oldest ones make room."""
        log = self._logs.get(program)
        if log is None:
            log = collections.deque(maxlen=DECISIONS_LIMIT)
            self._logs[program] = log
        self._logs.move_to_end(program)
        if len(self._logs) > PROGRAMS_LIMIT:
            self._logs.popitem(last=False)
        log.append(
            Decision(
                self._timer.now_ms(), action, call, detail[:DETAIL_CHARACTERS]
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


def describe(decisions: Iterable[Decision]) -> list[dict]:
    """Return decisions as JSON-ready fields."""
    return [attrs.asdict(decision) for decision in decisions]


def _sentence(decision: Decision, now_ms: float) -> str:
    age = clock.to_seconds(now_ms - decision.at_ms)
    sentence = SENTENCES[decision.action].format(
        call=decision.call, detail=decision.detail
    )
    return f'{age:.1f} s ago: {sentence}'
