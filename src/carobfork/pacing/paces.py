"""Decide how many calls a server takes that has just started or recovered.

The load pattern: one of a few servers starts, cold, or recovers, and looks idle
to dozens of hosts whose load figures are some hundred ms old. Each of them
would send its next calls there, many times what the server runs at once. If
none of them sent any, the server would stay idle beside full ones.

The calls of all hosts together begin with a few and double in a fixed time,
unless the server is known to run as many already, and with each good answer.
Well above the server's slots the pace ends and nothing is bound. Each host
sends its share of them, which is mostly far below one call, so shares are
credits that grow with time and begin at random. A slow answer or a refusal
halves the pace and holds it; a failure begins anew.
"""

import enum
import math
import random

import attrs
import structlog

FIRST_CALLS = 2
"""Calls of all hosts together with which a server begins: with one, it would be
idle while the answer is on its way."""
DOUBLING_MS = 100
"""Time in which the calls double while the server is known to run fewer: one of
some dozen slots is in full use within half a second."""
END_RATIO = 4
"""How many times its slots a server's calls must reach before the pace ends.
Above its slots, only the rate of sending is bound. Without that, all hosts with
waiting calls would send them at the moment at which the pace ends."""
HOLD_MS = 250
"""How long the calls don't grow after a slow answer or a refusal: a heartbeat,
so that the hosts see what they send together."""
SLOW_RATIO = 2.5
"""How much longer than usual an answer may take: more than prompts of one
service differ by in the mean."""
MAX_PACED_MS = 4000
"""Longest time for which a server is paced without a failure. One that is still
slow then is left to placement, which compares it with the others."""
_FALL_RATIO = 0.5
_RISE_RATIO = 2
_MIN_USUAL_MS = 1

logger = structlog.get_logger(part='pace')


class Reason(enum.StrEnum):
    """Why a server is paced."""

    started = 'started'
    returned = 'returned'
    failed = 'failed'


@attrs.frozen
class Fleet:
    """What a host knows of a server and of the others.

    :param slots: calls that the server runs at a time.
    :param hosts: number of hosts that send calls to it.
    :param usual_ms: how long calls usually take at such servers.
    """

    slots: int
    hosts: int
    usual_ms: float


@attrs.define
class Pace:
    """The pace of one server as one host decides it.

    :param server: the server's name, for the log.
    :param allowed_calls: calls of all hosts together that the server should
        run; infinite if it is not paced.
    :param credit: this host's calls that it may send now.
    :param updated_ms: time up to which both have grown.
    :param held_until_ms: time until which the calls don't grow.
    :param ends_ms: when the pace ends at the latest.
    :param usual_ms: how long calls usually take, as last heard; 0 if it was
        not heard since the pace began.
    """

    server: str = ''
    allowed_calls: float = math.inf
    credit: float = 0
    updated_ms: float = 0
    held_until_ms: float = 0
    ends_ms: float = 0
    usual_ms: float = 0

    def is_bound(self, now_ms: float) -> bool:
        """Return whether the server is paced."""
        return self.allowed_calls < math.inf and now_ms < self.ends_ms

    def begin(
        self, server: str, reason: Reason, now_ms: float, pause_ms: float = 0
    ) -> None:
        """Begin anew with the fewest calls.

        :param server: the server's name.
        :param pause_ms: how long it gets no calls at all before that.
        """
        self.server = server
        if not self.is_bound(now_ms):
            logger.info('worker paced', worker=server, reason=reason.value)
        self.allowed_calls = FIRST_CALLS
        self.credit = random.random()
        self.usual_ms = 0
        self.updated_ms = now_ms + pause_ms
        self.held_until_ms = self.updated_ms
        self.ends_ms = self.updated_ms + MAX_PACED_MS

    def may_send(self, load: float, now_ms: float, fleet: Fleet) -> bool:
        """Return whether this host may send a call now.

        :param load: calls of all hosts that the server is known to run.
        """
        self._update(load, now_ms, fleet)
        if not self.is_bound(now_ms):
            return True
        return load < self.allowed_calls and self.credit >= 1

    def take(self) -> None:
        """Count a call that this host sends, also without a credit."""
        self.credit = max(self.credit - 1, -1)

    def record_answer(self, took_ms: float, now_ms: float) -> None:
        """Apply how long an answer took."""
        if not self.usual_ms:
            return
        if took_ms > self.usual_ms * SLOW_RATIO:
            self.record_refusal(now_ms)
        elif now_ms >= self.held_until_ms:
            self.allowed_calls *= _RISE_RATIO

    def record_refusal(self, now_ms: float) -> None:
        """Apply that the server had no room for a call."""
        if self.is_bound(now_ms):
            self.allowed_calls = max(
                self.allowed_calls * _FALL_RATIO, FIRST_CALLS
            )
            self.held_until_ms = now_ms + HOLD_MS

    def _update(self, load: float, now_ms: float, fleet: Fleet) -> None:
        """Let calls and credit grow up to a time.

        The calls don't grow while the server is known to run as many.
        """
        if math.isinf(self.allowed_calls) or now_ms < self.updated_ms:
            return
        share = self.allowed_calls / max(fleet.hosts, 1)
        if not self.usual_ms:
            self.credit += share
        self.usual_ms = max(fleet.usual_ms, _MIN_USUAL_MS)
        span_ms = now_ms - self.updated_ms
        self.credit += span_ms * share / self.usual_ms
        self.credit = min(self.credit, max(share, 1))
        grown_ms = now_ms - max(self.updated_ms, self.held_until_ms)
        self.updated_ms = now_ms
        if now_ms < self.ends_ms and load < self.allowed_calls:
            self.allowed_calls *= 2 ** (max(grown_ms, 0) / DOUBLING_MS)
        if (
            self.allowed_calls >= fleet.slots * END_RATIO
            or now_ms >= self.ends_ms
        ):
            self.allowed_calls = math.inf
            logger.info('worker pace ended', worker=self.server)
