"""Callers: programs that run through the fleet and check what they get."""

import contextlib
import random
import time
from typing import ClassVar

import attrs
import gevent
from gevent import socket

from tests import backends, configurations, plain_calls
from tests.soak import fleets, records, tenants

MOST_TOKENS = backends.EVENTS * configurations.STRIDE
"""A turn's longest answer."""
PAUSE_SECONDS = 0.05
DEADLINE_SECONDS = 5
"""Beyond the longest time of a route."""
HALF = 0.5
TRIES = 4
SLOW_READ_BYTES = 16_384
MEAN_SLOW_SECONDS = 0.05
"""Between two reads: the slowest don't read a large answer in time."""
_NO_ANSWER = (OSError, EOFError, AttributeError, gevent.Timeout)
_OK = 200
_NOT_FOUND = 404
_EVENTS = b''.join(
    b'word%d\n' % number for number in range(1, backends.EVENTS + 1)
)


@attrs.define
class Caller:
    """One caller, which runs program after program.

    :param fleet: what it calls.
    :param found: where it notes what it saw.
    :param dice: decides what it does next.
    :param only: the entry host that it calls, any by default.
    :param tenant: whose key it has.
    """

    reads_slowly: ClassVar[bool] = False
    """Whether it may give up an answer that comes as fast as it reads."""
    fleet: fleets.Fleet
    found: records.Records
    dice: random.Random
    only: str = ''
    tenant: str = tenants.KEPT

    def run(self) -> None:
        """Run programs until the greenlet is killed."""
        while True:
            self.run_program()

    def run_program(self) -> None:
        """Run one program to its end."""
        name = plain_calls.new_attempt()
        budget = MOST_TOKENS * self.dice.randrange(2, 6)
        program = records.Program(name, budget)
        for _ in range(self.dice.randrange(2, 8)):
            self._turn(program)
            self._taken_up_turn(program)
            self._call()
            self._stream(name)
            gevent.sleep(PAUSE_SECONDS * self.dice.random())
        self.found.check_budget(program, MOST_TOKENS)

    def _turn(self, program: records.Program) -> None:
        """Send a turn that continues one of the turns before."""
        previous, chain = self._choose_turn(program)
        attempt = plain_calls.new_attempt()
        text = f'input {attempt};'.encode()
        headers = program.turn_headers(previous, MOST_TOKENS)
        seen, body = self._send('/chat/1', attempt, headers, text)
        if seen.status == _OK:
            events = self.found.check_stream(seen, body)
            program.tokens += records.tokens_of(events)
        if seen.status == _OK and seen.is_whole:
            program.turns.append((attempt, chain + text + _EVENTS))
        if seen.status == _NOT_FOUND and previous:
            self.found.fail('history', f'{previous} was forgotten')
        self.found.check_chain(attempt, chain + text, self.fleet.served())

    def _taken_up_turn(self, program: records.Program) -> None:
        """Send a turn whose stream is taken up where it breaks off."""
        previous, chain = self._choose_turn(program)
        text = f'input {plain_calls.new_attempt()};'.encode()
        headers = program.turn_headers(previous, MOST_TOKENS)
        stream = records.Stream()
        for _ in range(TRIES):
            attempt = plain_calls.new_attempt()
            fields = {**headers, **stream.resume_headers()}
            leaves = self.dice.randrange(backends.EVENTS)
            seen, piece = self._send(
                '/talk/1', attempt, fields, text, most_events=leaves
            )
            self.found.check_chain(attempt, chain + text, self.fleet.served())
            if seen.status == _OK:
                before = stream.body
                stream.add(attempt, piece)
                self.found.check_stream(seen, stream.body)
                new = stream.body.removeprefix(before)
                program.tokens += records.tokens_of(new.count(b'id:'))
            if seen.is_whole and seen.status == _OK:
                program.turns.append((attempt, chain + text + _EVENTS))
                self.found.taken_up += bool(fields.get('Resumes'))
                return

    def _choose_turn(self, program: records.Program) -> tuple[str, bytes]:
        """Return one of the turns before, if any, and its chain."""
        return self.dice.choice(program.turns) if program.turns else ('', b'')

    def _stream(self, program: str) -> None:
        """Send a stream that can be resumed; take it up where it breaks off."""
        headers = {'Accept': 'text/event-stream'}
        if self.dice.random() < HALF:
            headers['X-Program-Id'] = f'{program}-s'
            headers['X-Token-Budget'] = str(MOST_TOKENS * MOST_TOKENS)
            headers['X-Token-Count'] = f'100,{MOST_TOKENS}'
        stream = records.Stream()
        for _ in range(TRIES):
            attempt = plain_calls.new_attempt()
            fields = {**headers, **stream.resume_headers()}
            leaves = self.dice.randrange(backends.EVENTS)
            seen, piece = self._send(
                '/ask/1', attempt, fields, b'question', most_events=leaves
            )
            if seen.status == _OK:
                stream.add(attempt, piece)
                self.found.check_stream(seen, stream.body)
                self.found.check_versions(seen, stream.body)
            if seen.is_whole and seen.status == _OK:
                self.found.resumed += bool(fields.get('Resumes'))
                return

    def _call(self) -> None:
        path = self.dice.choice(('/look/1', '/order/1'))
        self._send(path, plain_calls.new_attempt(), {}, b'{}')

    def _send(
        self,
        path: str,
        attempt: str,
        headers: dict[str, str],
        body: bytes,
        most_events: int = 0,
    ) -> tuple[records.Seen, bytes]:
        name = self.only or self.dice.choice(sorted(self.fleet.fronts))
        address = self.fleet.address(name)
        sent_seconds = time.monotonic()
        answer = None
        try:
            with gevent.Timeout(DEADLINE_SECONDS):
                answer = self._ask(
                    address,
                    most_events,
                    path=path,
                    method='POST',
                    headers={**headers, **self._credentials()},
                    body=body,
                    attempt=attempt,
                )
        except _NO_ANSWER as error:
            # The host was killed, paused, or is starting.
            is_late = isinstance(error, gevent.Timeout)
            seen = records.Seen(
                attempt,
                path,
                0,
                is_whole=False,
                has_left=is_late and self.reads_slowly,
            )
        else:
            seen = records.Seen(
                attempt,
                path,
                answer.status,
                answer.is_whole,
                has_left=0 < most_events <= answer.body.count(b'\n\n'),
            )
            self._check_owner(seen, answer)
            self._note_leaving(name, attempt, answer)
        seen = attrs.evolve(
            seen,
            host=name,
            tenant=self.tenant,
            sent_seconds=sent_seconds,
            took_seconds=time.monotonic() - sent_seconds,
        )
        self.found.note(seen)
        return seen, answer.body if answer else b''

    def _note_leaving(
        self, name: str, attempt: str, answer: plain_calls.Answer
    ) -> None:
        if answer.head.get('server-leaving') != '1':
            return
        instance = answer.head.get('x-response-stamp').partition('.')[0]
        for server in self.fleet.served():
            if server.instance == instance:
                self.found.note_leaving(name, server, attempt)

    def _ask(self, address, most_events: int, **request) -> plain_calls.Answer:
        return plain_calls.ask(address, most_events=most_events, **request)

    def _credentials(self) -> dict[str, str]:
        """Return the key, and a tenant that callers can't choose."""
        return {
            'X-Api-Key': tenants.key(self.tenant),
            'X-Tenant': tenants.STRANGER,
        }

    def _check_owner(
        self, seen: records.Seen, answer: plain_calls.Answer
    ) -> None:
        stamp = answer.head.get('x-response-stamp')
        if seen.status == _OK and not stamp.endswith(seen.attempt):
            self.found.fail('own answer', f'{seen} bore the stamp {stamp}')


class RepeatingCaller(Caller):
    """A caller that sends one call after the other, whatever comes."""

    def run_program(self) -> None:
        """Send one call."""
        self._send('/look/1', plain_calls.new_attempt(), {}, b'{}')
        gevent.sleep(PAUSE_SECONDS * self.dice.random())


class StreamingCaller(Caller):
    """A caller that sends one stream after the other."""

    def run_program(self) -> None:
        """Send one stream, and take it up where it breaks off."""
        self._stream(plain_calls.new_attempt())
        gevent.sleep(PAUSE_SECONDS * self.dice.random())


class SlowReader(Caller):
    """A caller that reads large answers slowly, or leaves in the middle."""

    reads_slowly = True

    def run_program(self) -> None:
        """Send one call and check the answer's length."""
        path = f'/look/{backends.LARGE}'
        attempt = plain_calls.new_attempt()
        seen, body = self._send(path, attempt, {}, b'{}')
        if seen.status == _OK and seen.is_whole:
            self.found.check_length(seen, len(body))
        gevent.sleep(PAUSE_SECONDS)

    def _ask(self, address, most_events: int, **request) -> plain_calls.Answer:
        with contextlib.closing(socket.socket()) as sock:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES
            )
            sock.connect(address)
            sock.sendall(plain_calls.encode(**request))
            pause_seconds = 2 * MEAN_SLOW_SECONDS * self.dice.random()
            slow = SlowSocket(sock, pause_seconds)
            return plain_calls.read_answer(slow)


@attrs.frozen
class SlowSocket:
    """A socket that is read slowly."""

    sock: socket.socket
    pause_seconds: float

    def recv(self, _most_bytes: int) -> bytes:
        """Wait, then return some bytes."""
        gevent.sleep(self.pause_seconds)
        return self.sock.recv(SLOW_READ_BYTES)

    def recv_into(self, target: memoryview) -> int:
        """Wait, then read some bytes into a buffer."""
        gevent.sleep(self.pause_seconds)
        return self.sock.recv_into(target[:SLOW_READ_BYTES])
