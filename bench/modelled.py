"""Modelled load: one dispatcher under seeded programs on a manual clock.

Only the dispatcher is real. A call's service time follows from the tokens
that its worker must prefill and generate, and from the slots in use.
"""

import collections
import heapq
import random
from collections.abc import Callable

import attrs

from carobfork import clock, exceptions
from carobfork.coordination import (
    dispatchers,
    pools,
    queue_orders,
    slot_limiters,
)
from carobfork.state import bundles

MODEL = 'talk'
WORKERS = 4
STEP_MS = 4
STEP_PER_SEQUENCE_MS = 0.5
PREFILL_TOKENS_PER_MS = 20
CACHE_TOKENS = 64_000
WAKE_MS = 50
TICK_MS = 500
MAX_RETRIES = 3
RANKS = ('urgent', 'routine')
SHARES = (0.6, 0.2)
TURNS_SHAPE = 1.3
MAX_TURNS = 60
NEW_TOKENS_MU = 4.5
MAX_NEW_TOKENS = 4000
OUTPUT_TOKENS_MU = 4
MAX_OUTPUT_TOKENS = 1500
PAUSE_MS = 800


@attrs.frozen
class Turn:
    """One call of a program and the tool pause after it."""

    new_tokens: int
    output_tokens: int
    pause_ms: float


@attrs.define(eq=False)
class Program:
    """A program: dependent turns with a growing history."""

    name: str
    rank: int
    arrival_ms: float
    turns: list[Turn]
    position: int = 0
    history_tokens: int = 0
    attained_tokens: int = 0
    worker: str = ''
    retries: int = 0

    @property
    def turn(self) -> Turn:
        """The turn that is next."""
        return self.turns[self.position]

    @property
    def prompt_tokens(self) -> int:
        """The prompt of the next turn."""
        return self.history_tokens + self.turn.new_tokens


@attrs.define
class Result:
    """What one run brought, by rank."""

    latencies_ms: dict[int, list[float]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    refused: collections.Counter = attrs.Factory(collections.Counter)
    broken: collections.Counter = attrs.Factory(collections.Counter)
    served_tokens: collections.Counter = attrs.Factory(collections.Counter)
    wasted_tokens: int = 0

    def percentile(self, rank: int, part: float) -> float:
        """Return a percentile of a rank's program latencies, in ms."""
        ordered = sorted(self.latencies_ms[rank])
        return ordered[int(part * (len(ordered) - 1))] if ordered else 0

    def mean(self, rank: int) -> float:
        """Return the mean of a rank's program latencies, in ms."""
        latencies = self.latencies_ms[rank]
        return sum(latencies) / max(len(latencies), 1)


def make_bundle(policy: bundles.Policy) -> bundles.Bundle:
    """Return a bundle of two ranks and one pool."""
    address = bundles.Address('127.0.0.1', 1)
    workers = tuple(
        bundles.Worker(f'engine-{number}', address) for number in range(WORKERS)
    )
    return bundles.Bundle(
        version=1,
        ranks=(
            bundles.Rank(RANKS[0], share=SHARES[0]),
            bundles.Rank(RANKS[1], share=SHARES[1]),
        ),
        programs=(),
        models=(bundles.Model(MODEL, workers),),
        services=(),
        policy=policy,
    )


class Run:
    """Drive a dispatcher with programs until all have ended.

    :param bundle: the policies to run.
    :param programs: the load.
    """

    def __init__(self, bundle: bundles.Bundle, programs: list[Program]) -> None:
        """Schedule the programs' arrivals."""
        self.result = Result()
        self.timer = clock.ManualClock()
        pool = pools.split_model(bundle.models[0])[0]
        self.dispatcher = dispatchers.Dispatcher(pool, bundle, self.timer)
        self._events: list = []
        self._number = 0
        self._programs: dict[str, Program] = {}
        self._caches = {
            worker.name: _Cache(CACHE_TOKENS) for worker in pool.workers
        }
        for program in programs:
            self._at(program.arrival_ms, self._submit, program)

    def play(self, until_ms: float) -> Result:
        """Run all events up to a time and return what they brought."""
        self._at(TICK_MS, self._tick)
        self._at(WAKE_MS, self._wake)
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action, arguments = heapq.heappop(self._events)
            self.timer.advance(at_ms - self.timer.now_ms())
            action(*arguments)
            self._grant()
        return self.result

    def _at(self, at_ms: float, action: Callable, *arguments) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_ms, self._number, action, arguments))

    def _after(self, span_ms: float, action: Callable, *arguments) -> None:
        self._at(self.timer.now_ms() + span_ms, action, *arguments)

    def _wake(self) -> None:
        self._after(WAKE_MS, self._wake)

    def _tick(self) -> None:
        for request in self.dispatcher.shed_excess():
            self._refuse(self._programs[request.program], TICK_MS)
        self._after(TICK_MS, self._tick)

    def _submit(self, program: Program) -> None:
        self._programs[program.name] = program
        request = queue_orders.SlotRequest(
            identifier=f'{program.name}.{program.position}',
            program=program.name,
            model=MODEL,
            rank=program.rank,
            attained_tokens=program.attained_tokens,
            last_worker=program.worker,
            prompt_tokens=program.prompt_tokens,
            kind=RANKS[program.rank],
            started=program.position > 0,
        )
        try:
            self.dispatcher.submit(request)
        except exceptions.OverloadedError as error:
            self._refuse(program, error.retry_after_ms)

    def _refuse(self, program: Program, retry_after_ms: float) -> None:
        program.retries += 1
        if program.position == 0:
            self.result.refused[program.rank] += 1
        elif program.retries > MAX_RETRIES:
            self.result.broken[program.rank] += 1
        else:
            self._after(retry_after_ms, self._submit, program)

    def _grant(self) -> None:
        while (grant := self.dispatcher.grant_next()) is not None:
            self._start(self._programs[grant.request.program], grant.worker)

    def _start(self, program: Program, worker: str) -> None:
        cache = self._caches[worker]
        cached = min(cache.use(program), program.history_tokens)
        prefilled = program.prompt_tokens - cached
        if any(other.holds(program) for other in self._caches.values()):
            self.result.wasted_tokens += program.history_tokens - cached
        cache.keep(program, program.prompt_tokens + program.turn.output_tokens)
        workers = self.dispatcher.workers
        busy = workers.loads[worker].busy
        first_ms = prefilled / PREFILL_TOKENS_PER_MS + STEP_MS
        between_ms = STEP_MS + STEP_PER_SEQUENCE_MS * busy
        held_ms = first_ms + between_ms * program.turn.output_tokens
        program.worker = worker
        served = slot_limiters.CallReport(
            held_ms=held_ms,
            first_token_ms=first_ms,
            between_tokens_ms=between_ms,
            output_tokens=program.turn.output_tokens,
            prefilled_tokens=prefilled,
        )
        self._after(held_ms, self._finish, program, served)

    def _finish(
        self, program: Program, served: slot_limiters.CallReport
    ) -> None:
        identifier = f'{program.name}.{program.position}'
        self.dispatcher.release(identifier, served)
        self.result.served_tokens[program.rank] += served.tokens
        turn = program.turn
        program.attained_tokens += program.prompt_tokens + turn.output_tokens
        program.history_tokens = program.prompt_tokens + turn.output_tokens
        program.position += 1
        program.retries = 0
        if program.position < len(program.turns):
            self._after(turn.pause_ms, self._submit, program)
            return
        self._programs.pop(program.name)
        self.result.latencies_ms[program.rank].append(
            self.timer.now_ms() - program.arrival_ms
        )


class _Cache:
    """The prefixes that a worker holds, by program, least recent first."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def holds(self, program: Program) -> bool:
        return program.name in self._tokens

    def use(self, program: Program) -> int:
        return self._tokens.get(program.name, 0)

    def keep(self, program: Program, tokens: int) -> None:
        self._tokens.pop(program.name, None)
        self._tokens[program.name] = tokens
        while sum(self._tokens.values()) > self._capacity_tokens:
            self._tokens.popitem(last=False)


def make_programs(
    seed: int, count: int, programs_per_s: float, urgent_part: float = 0.4
) -> list[Program]:
    """Return programs with heavy-tailed lengths at Poisson arrivals."""
    source = random.Random(seed)
    at_ms: float = 0
    programs = []
    for number in range(count):
        at_ms += source.expovariate(programs_per_s) * clock.MS_PER_SECOND
        rank = 0 if source.random() < urgent_part else 1
        programs.append(Program(f'p{number}', rank, at_ms, _make_turns(source)))
    return programs


def _make_turns(source: random.Random) -> list[Turn]:
    count = min(int(source.paretovariate(TURNS_SHAPE)) + 1, MAX_TURNS)
    return [
        Turn(
            new_tokens=min(
                int(source.lognormvariate(NEW_TOKENS_MU, 1)), MAX_NEW_TOKENS
            ),
            output_tokens=min(
                int(source.lognormvariate(OUTPUT_TOKENS_MU, 1)),
                MAX_OUTPUT_TOKENS,
            )
            + 1,
            pause_ms=source.expovariate(1 / PAUSE_MS),
        )
        for _ in range(count)
    ]
