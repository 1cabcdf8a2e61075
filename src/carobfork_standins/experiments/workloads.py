"""Workloads: seeded programs with heavy-tailed lengths and tool pauses."""

import random

import attrs

from carobfork import clock

PREFIX_TOKENS = 1500
BYTES_PER_TOKEN = 4
MAX_TURNS = 24
MAX_ANSWER_TOKENS = 400
_SUB_AGENT_SHARE = 0.15
_SERVICE_SHARE = 0.3
_TURNS_ALPHA = 1.3
_ANSWER_ALPHA = 1.4
_MIN_ANSWER_TOKENS = 12


@attrs.frozen
class Turn:
    """One model call of a program and what follows it.

    :param pause_ms: how long the tool works before the next turn.
    :param calls_service: whether a service call follows the model call.
    """

    prompt_tokens: int
    answer_tokens: int
    pause_ms: float
    calls_service: bool


@attrs.frozen
class ProgramPlan:
    """A program to run.

    :param start_ms: when its caller arrives, from the run's beginning.
    :param sub_agent: turns that a sub-agent runs beside the last turn.
    """

    name: str
    kind: str
    rank: str
    start_ms: float
    turns: tuple[Turn, ...]
    sub_agent: tuple[Turn, ...] = ()

    @property
    def answer_tokens(self) -> int:
        """Tokens that the program asks for in all."""
        turns = [*self.turns, *self.sub_agent]
        return sum(turn.answer_tokens for turn in turns)


@attrs.frozen
class Stream:
    """Arrivals of one kind of program.

    :param load: offered load as a part of the engines' capacity.
    """

    kind: str
    rank: str
    load: float
    start_ms: float
    end_ms: float


@attrs.frozen
class Capacity:
    """What the engines of a lab can do.

    :param tokens_per_second: answer tokens in all, at the batch size that
        the experiment takes as full.
    """

    tokens_per_second: float


def plan(
    streams: list[Stream], capacity: Capacity, seed: int
) -> list[ProgramPlan]:
    """Return the programs of all streams, sorted by arrival."""
    plans: list[ProgramPlan] = []
    for index, stream in enumerate(streams):
        generator = random.Random(f'{seed}/{index}')
        plans.extend(_plan_stream(stream, index, capacity, generator))
    return sorted(plans, key=lambda program: program.start_ms)


def _plan_stream(
    stream: Stream, index: int, capacity: Capacity, generator: random.Random
) -> list[ProgramPlan]:
    tokens_per_ms = stream.load * capacity.tokens_per_second
    tokens_per_ms /= clock.MS_PER_SECOND
    plans = []
    now_ms = stream.start_ms
    while now_ms < stream.end_ms:
        program = _plan_program(
            stream, f'{index}-{len(plans)}', now_ms, generator
        )
        plans.append(program)
        # The next arrival keeps the offered load whatever the lengths drawn.
        mean_gap_ms = program.answer_tokens / tokens_per_ms
        now_ms += mean_gap_ms * generator.expovariate(1)
    return plans


def _plan_program(
    stream: Stream, name: str, start_ms: float, generator: random.Random
) -> ProgramPlan:
    sub_agent: tuple[Turn, ...] = ()
    if generator.random() < _SUB_AGENT_SHARE:
        sub_agent = _plan_turns(generator, PREFIX_TOKENS // 2)
    return ProgramPlan(
        name=name,
        kind=stream.kind,
        rank=stream.rank,
        start_ms=start_ms,
        turns=_plan_turns(generator, PREFIX_TOKENS),
        sub_agent=sub_agent,
    )


def _plan_turns(
    generator: random.Random, first_tokens: int
) -> tuple[Turn, ...]:
    count = min(MAX_TURNS, int(generator.paretovariate(_TURNS_ALPHA)) + 1)
    return tuple(
        Turn(
            prompt_tokens=first_tokens if number == 0 else 40,
            answer_tokens=_answer_tokens(generator),
            pause_ms=generator.expovariate(1 / 150),
            calls_service=generator.random() < _SERVICE_SHARE,
        )
        for number in range(count)
    )


def _answer_tokens(generator: random.Random) -> int:
    drawn = generator.paretovariate(_ANSWER_ALPHA) * _MIN_ANSWER_TOKENS
    return min(MAX_ANSWER_TOKENS, int(drawn))
