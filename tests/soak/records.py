"""Records: what callers and backend servers saw, and which promises broke."""

import bisect
import itertools
import time
from collections.abc import Callable

import attrs

from carobfork import clock
from carobfork.platform import settings
from carobfork.storage import allowances
from tests import backends, configurations
from tests.soak import tenants

PROMISES = frozenset((402, 408, 421, 429, 503))
"""Statuses that say that a request has not run and never will."""
DRAIN_SECONDS = clock.to_seconds(settings.DEFAULT_DRAIN_MS)
"""How long a server that says that it leaves may get requests."""
UNKNOWN_OUTCOMES = frozenset((500, 502, 504))
"""Statuses that tell of an answer that the caller doesn't get."""
USED_RATIO = 0.7
"""Share of its time after which a request may end without an answer."""
_UNKNOWN_KEY = 401


@attrs.frozen
class Seen:
    """One request as its caller saw it.

    :param status: 0 where no answer came.
    :param events: events that the caller was given.
    :param host: the entry host that was asked.
    :param tenant: whose key it carried.
    :param sent_seconds: when it was sent.
    :param took_seconds: until the answer or the connection ended.
    :param has_left: whether the caller left in the middle.
    """

    attempt: str
    path: str
    status: int
    is_whole: bool
    events: int = 0
    host: str = ''
    tenant: str = tenants.KEPT
    sent_seconds: float = 0
    took_seconds: float = 0
    has_left: bool = False

    @property
    def was_ended(self) -> bool:
        """Whether it got neither its whole answer nor a true refusal."""
        is_broken = not self.is_whole or self.status in UNKNOWN_OUTCOMES
        return is_broken and not self.has_left


@attrs.define
class Program:
    """A program, with the history that its caller knows.

    :param turns: attempts of the turns that ended whole, and their chains.
    """

    name: str
    budget_tokens: int
    turns: list[tuple[str, bytes]] = attrs.Factory(list)
    tokens: int = 0

    def turn_headers(self, previous: str, most_tokens: int) -> dict[str, str]:
        """Return the headers of a turn.

        :param previous: the turn that it continues, if any.
        """
        headers = {
            'Accept': 'text/event-stream',
            'X-Program-Id': self.name,
            'X-Session-Id': self.name,
            'X-Token-Budget': str(self.budget_tokens),
            'X-Token-Count': f'100,{most_tokens}',
        }
        if previous:
            headers['X-Previous-Turn'] = previous
        return headers


@attrs.define
class Stream:
    """A stream that can be resumed, over all attempts of its caller.

    :param body: the whole events that came.
    :param begun: the attempt that brought the first of them.
    """

    body: bytes = b''
    begun: str = ''

    def add(self, attempt: str, piece: bytes) -> None:
        """Add the whole events of what an attempt brought."""
        whole = piece[: piece.rfind(b'\n\n') + 2] if b'\n\n' in piece else b''
        if whole and not self.begun:
            self.begun = attempt
        self.body += whole

    def resume_headers(self) -> dict[str, str]:
        """Return the headers of the next attempt."""
        if not self.begun:
            return {}
        last_event = str(self.body.count(b'id:'))
        return {'Resumes': self.begun, 'Last-Event-Id': last_event}


class Records:
    """Everything that was seen in one soak."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.broken: list[str] = []
        self.seen: list[Seen] = []
        self.resumed = 0
        self.taken_up = 0
        self.leaving: dict[tuple[str, str, int], float] = {}

    def note(self, seen: Seen) -> None:
        """Note what a caller saw."""
        self.seen.append(seen)

    def fail(self, promise: str, what: str) -> None:
        """Note a broken promise."""
        self.broken.append(f'{promise}: {what}')

    def check_runs(self, served: list[backends.BackendApplication]) -> None:
        """Check at the end what ran, and how often."""
        for seen in self.seen:
            runs = sum(backend.runs[seen.attempt] for backend in served)
            if seen.path.startswith('/order') and runs > 1:
                self.fail('at most once', f'{seen} ran {runs} times')
            if seen.status in PROMISES and runs:
                self.fail('not run', f'{seen} ran {runs} times')

    def check_kept(
        self,
        is_sound: Callable[[float, float], bool],
        time_limit_ms: Callable[[float], float],
    ) -> None:
        """Check that no request of a sound fleet was ended before its time.

        :param is_sound: tells whether all was sound in a span of time.
        :param time_limit_ms: returns the time limit of a request that was sent
            at a time.
        """
        for seen in self.seen:
            left_ms = time_limit_ms(seen.sent_seconds) * USED_RATIO
            has_time = seen.took_seconds < clock.to_seconds(left_ms)
            over = seen.sent_seconds + seen.took_seconds
            is_early = has_time or not seen.status
            if (
                seen.was_ended
                and is_early
                and is_sound(seen.sent_seconds, over)
            ):
                self.fail('kept', f'{seen} was ended')

    def note_leaving(
        self, host: str, server: backends.BackendApplication, attempt: str
    ) -> None:
        """Note that a host has passed on that a server leaves."""
        process = (host, server.instance, server.reached[attempt][-1])
        self.leaving.setdefault(process, time.monotonic())

    def check_leaving(
        self,
        served: list[backends.BackendApplication],
        is_excused: Callable[[str, float, float], bool],
    ) -> None:
        """Check at the end that no request came late to a leaving server.

        :param is_excused: tells whether a host was down in a span of time.
        """
        for seen, server in itertools.product(self.seen, served):
            if seen.attempt not in server.reached:
                continue
            start = server.reached[seen.attempt][-1]
            process = (seen.host, server.instance, start)
            told_at = self.leaving.get(process, float('inf'))
            is_late = seen.sent_seconds > told_at + DRAIN_SECONDS
            if is_late and not is_excused(
                seen.host, told_at, seen.sent_seconds
            ):
                self.fail('leaving', f'{seen} reached {process}')

    def check_tenants(self, served: list[backends.BackendApplication]) -> None:
        """Check at the end whose requests ran, and what the servers heard."""
        for seen in self.seen:
            if seen.status == _UNKNOWN_KEY and seen.tenant == tenants.KEPT:
                self.fail('known key', f'{seen} was not let in')
            for backend in served:
                if seen.attempt in backend.runs:
                    self._check_head(seen, backend.heads.get(seen.attempt))

    def check_quota(self, served: list[backends.BackendApplication]) -> None:
        """Check at the end that no window had more than the rule allows."""
        allowance = allowances.Allowance()
        window_seconds = allowance.window_ms / clock.MS_PER_SECOND
        used = tenants.RATE_PER_S * window_seconds + tenants.BURST
        most = used * (1 + allowance.overshoot_ratio) + allowance.slack
        runs = []
        for seen in self.seen:
            if seen.tenant == tenants.LIMITED:
                for backend in served:
                    moments = backend.run_moments.get(seen.attempt, ())
                    runs += [(seen.sent_seconds, ran) for ran in moments]
        runs.sort()
        for first, (sent, _ran) in enumerate(runs):
            until = sent + window_seconds
            last = bisect.bisect_right(runs, (until, until))
            count = sum(ran <= until for _sent, ran in runs[first:last])
            if count > most:
                self.fail('quota', f'{count} requests ran from {sent}')
                return

    def check_budget(self, program: Program, most_tokens: int) -> None:
        """Check that a program got no more than its budget and one turn."""
        if program.tokens > program.budget_tokens + most_tokens:
            self.fail('budget', f'{program.name} got {program.tokens} tokens')

    def check_stream(self, seen: Seen, body: bytes) -> int:
        """Check a stream's order; return how many events were whole."""
        numbers = [
            int(line.partition(b':')[2])
            for line in body.split(b'\n')
            if line.startswith(b'id:') and line[3:].strip().isdigit()
        ]
        if numbers != list(range(1, len(numbers) + 1)):
            self.fail('order', f'{seen} had the events {numbers}')
        if seen.is_whole and len(numbers) != backends.EVENTS:
            self.fail('whole', f'{seen} ended after {len(numbers)} events')
        return len(numbers)

    def check_length(self, seen: Seen, length_bytes: int) -> None:
        """Check that a whole large answer is all of it."""
        if length_bytes != backends.LARGE_BYTES:
            self.fail('length', f'{seen} had {length_bytes} bytes')

    def check_versions(self, seen: Seen, body: bytes) -> None:
        """Check that a stream's events are of one software version."""
        versions = {
            line for line in body.split(b'\n') if line.startswith(b': ')
        }
        if len(versions) > 1:
            self.fail('one version', f'{seen} has events of {versions}')

    def check_chain(
        self,
        attempt: str,
        expected: bytes,
        served: list[backends.BackendApplication],
    ) -> None:
        """Check that a turn reached its server with its whole chain."""
        bodies = {
            backend.bodies[attempt]
            for backend in served
            if attempt in backend.bodies
        }
        if bodies - {expected}:
            self.fail('chain', f'{attempt} ran with another history')

    def _check_head(self, seen: Seen, head: dict[str, str] | None) -> None:
        """Check the headers of a request that a server ran."""
        if seen.tenant == tenants.STRANGER:
            self.fail('stranger', f'{seen} ran')
        if head and head.get('X-Tenant') != seen.tenant:
            self.fail('tenant', f'{seen} ran as {head}')
        if tenants.key(seen.tenant) in str(head):
            self.fail('key', f'{seen} told the server its key')


def tokens_of(events: int) -> int:
    """Return the tokens that so many events count for."""
    return events * configurations.STRIDE
