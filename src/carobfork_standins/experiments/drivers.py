"""Drivers: run planned programs against entry hosts and measure them."""

import json
import random
import re

import attrs
import gevent
from gevent import pool

from carobfork import clock, exceptions, replies, sessions
from carobfork.protocol import headers
from carobfork_standins import layouts
from carobfork_standins.experiments import workloads

_EVENT = b'"content": "'
_USAGE = re.compile(rb'"prompt_tokens": (\d+).*"cached_tokens": (\d+)')
_ERROR = b'{"error":'
_TRIES = 3
_TRIES_ONCE_ADMITTED = 30
_RETRY_MS = 200
_RETRY_JITTER = (0.8, 1.4)
_BROKEN_OFF = (
    exceptions.ConnectionFailedError,
    exceptions.PlatformError,
    exceptions.UnknownOutcomeError,
)
_TAIL_BYTES = 2000
_OK = 200


@attrs.define
class CallMeasure:
    """One call as its caller saw it; times in ms from the run's beginning."""

    rank: str
    worker: str
    first_token_ms: float
    tokens: int
    prompt_tokens: int
    cached_tokens: int
    prefilled_again_tokens: int
    gaps_ms: list[float]


@attrs.define
class ProgramMeasure:
    """One program as its caller saw it."""

    name: str
    rank: str
    start_ms: float
    end_ms: float = 0
    finished: bool = False
    admitted: bool = False
    refused_ms: list[float] = attrs.Factory(list)
    errors: list[str] = attrs.Factory(list)
    calls: list[CallMeasure] = attrs.Factory(list)


class Driver:
    """Run programs and keep what their callers saw.

    :param addresses: the entry hosts that callers know.
    :param timer: measures the run.
    """

    def __init__(self, addresses: list[str], timer: clock.Clock) -> None:
        """Start without measures."""
        self.measures: list[ProgramMeasure] = []
        self._addresses = addresses
        self._timer = timer
        self._began_ms = timer.now_ms()

    def run(self, plans: list[workloads.ProgramPlan], limit_ms: float) -> None:
        """Run all programs, each at its time, for at most ``limit_ms``."""
        self._began_ms = self._timer.now_ms()
        callers = []
        for plan in plans:
            wait_ms = plan.start_ms - self.now_ms()
            gevent.sleep(clock.to_seconds(max(0, wait_ms)))
            callers.append(gevent.spawn(self._run_program, plan))
        left_ms = max(0, limit_ms - self.now_ms())
        gevent.joinall(callers, timeout=clock.to_seconds(left_ms))
        gevent.killall(callers)

    def now_ms(self) -> float:
        """Return the time since the run's beginning."""
        return self._timer.now_ms() - self._began_ms

    def _run_program(self, plan: workloads.ProgramPlan) -> None:
        measure = ProgramMeasure(plan.name, plan.rank, plan.start_ms)
        self.measures.append(measure)
        session = sessions.Session(self._addresses, attempts=12)
        try:
            self._run_turns(session, plan, measure)
        except exceptions.CarobforkError as error:
            measure.errors.append(error.code)
        measure.finished = not measure.errors
        measure.end_ms = self.now_ms()

    def _run_turns(
        self,
        session: sessions.Session,
        plan: workloads.ProgramPlan,
        measure: ProgramMeasure,
    ) -> None:
        with session.open(plan.kind) as program:
            beside = pool.Group()
            if plan.sub_agent:
                beside.spawn(self._run_sub_agent, session, plan, measure)
            _Conversation(self, program, measure).run(plan.turns)
            beside.join()

    def _run_sub_agent(
        self,
        session: sessions.Session,
        plan: workloads.ProgramPlan,
        measure: ProgramMeasure,
    ) -> None:
        try:
            with session.open(plan.kind) as program:
                _Conversation(self, program, measure).run(plan.sub_agent)
        except exceptions.CarobforkError as error:
            measure.errors.append(error.code)


class _Conversation:
    """The calls of one program, one after the other."""

    def __init__(
        self,
        driver: Driver,
        program: sessions.Program,
        measure: ProgramMeasure,
    ) -> None:
        self._driver = driver
        self._program = program
        self._measure = measure
        self._served_tokens = 0

    def run(self, turns: tuple[workloads.Turn, ...]) -> None:
        for number, turn in enumerate(turns):
            self._ask_until_admitted(turn, f'm{number}')
            if turn.calls_service:
                self._program.call(
                    layouts.SERVICE, '/cut', b'{}', key=f's{number}'
                )
            gevent.sleep(clock.to_seconds(turn.pause_ms))

    def _ask_until_admitted(self, turn: workloads.Turn, key: str) -> None:
        tries = _TRIES_ONCE_ADMITTED if self._measure.admitted else _TRIES
        for _ in range(tries):
            asked_ms = self._driver.now_ms()
            try:
                call = self._ask(turn, key, asked_ms)
            except exceptions.NotRunError as error:
                self._note_refusal(error, asked_ms)
                continue
            except _BROKEN_OFF:
                # A model call is safe to send again under its key.
                self._program.forget_home()
                self._pause(_RETRY_MS)
                continue
            self._measure.admitted = True
            self._measure.calls.append(call)
            return
        raise exceptions.OverloadedError('refused again and again')

    def _note_refusal(
        self, error: exceptions.NotRunError, asked_ms: float
    ) -> None:
        self._measure.refused_ms.append(self._driver.now_ms() - asked_ms)
        self._pause(error.retry_after_ms or _RETRY_MS)

    def _pause(self, pause_ms: float) -> None:
        jitter = random.uniform(*_RETRY_JITTER)
        gevent.sleep(clock.to_seconds(pause_ms * jitter))

    def _ask(
        self, turn: workloads.Turn, key: str, asked_ms: float
    ) -> CallMeasure:
        text = _text(f'{self._measure.name}{key}', turn.prompt_tokens)
        request = {
            'model': layouts.MODEL,
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': turn.answer_tokens,
            'stream': True,
        }
        with self._program.connect(key, json.dumps(request).encode()) as reply:
            if reply.status != _OK:
                raise replies.decode_error(reply.read())
            return self._read(reply, asked_ms)

    def _read(self, reply, asked_ms: float) -> CallMeasure:
        tail = b''
        times_ms: list[float] = []
        now_ms = asked_ms
        for piece in reply.pieces():
            now_ms = self._driver.now_ms()
            times_ms.extend(now_ms for _ in range(piece.count(_EVENT)))
            tail = (tail + piece)[-_TAIL_BYTES:]
        _raise_error(tail)
        prompt, cached = _usage(tail)
        again = max(0, min(self._served_tokens, prompt) - cached)
        self._served_tokens = prompt + len(times_ms)
        return CallMeasure(
            rank=self._measure.rank,
            worker=reply.header(headers.WORKER),
            first_token_ms=min(times_ms, default=now_ms) - asked_ms,
            tokens=len(times_ms),
            prompt_tokens=prompt,
            cached_tokens=cached,
            prefilled_again_tokens=again,
            gaps_ms=[
                later - sooner
                for sooner, later in zip(times_ms, times_ms[1:], strict=False)
            ],
        )


def _raise_error(tail: bytes) -> None:
    """Raise the error that a broken-off stream ends with, if it does."""
    _, found, fields = tail.rpartition(_ERROR)
    if found:
        raise replies.decode_error(found + fields)


def _usage(tail: bytes) -> tuple[int, int]:
    found = _USAGE.search(tail)
    if found is None:
        return 0, 0
    return int(found.group(1)), int(found.group(2))


def _text(name: str, tokens: int) -> str:
    unit = f'{name} fits a rail of some width. '
    length = tokens * workloads.BYTES_PER_TOKEN
    return (unit * (length // len(unit) + 1))[:length]
