"""Tables: run policies on modelled loads with several seeds and print them."""

import sys
from collections.abc import Iterable, Sequence

import attrs

from bench import modelled
from carobfork.state import bundles

SEEDS = (1, 2, 3, 4, 5)
COUNT = 3000
CAPACITY_PER_S = 7.2
TAIL_MS = 120_000
TAIL_PART = 0.95


@attrs.frozen
class Load:
    """A load relative to what the modelled pool can take."""

    name: str
    """Starts with the part of the capacity that the load would take."""
    urgent_percent: int = 40
    tail_ms: int = TAIL_MS

    @property
    def programs_per_s(self) -> float:
        """Programs that arrive a second."""
        return CAPACITY_PER_S * float(self.name.split()[0])


@attrs.frozen
class Row:
    """What one run brought, ready to print."""

    urgent_mean_ms: float
    urgent_p95_ms: float
    routine_mean_ms: float
    routine_p95_ms: float
    done: int
    refused: int
    broken: int
    wasted_k_tokens: float
    routine_share: float


def play(
    policy: bundles.Policy, load: Load, seed: int, alone: bool = False
) -> Row:
    """Run one policy under one load.

    :param alone: leave the routine programs out.
    """
    programs = modelled.make_programs(
        seed, COUNT, load.programs_per_s, load.urgent_percent / 100
    )
    until_ms = programs[-1].arrival_ms + load.tail_ms
    if alone:
        programs = [program for program in programs if not program.rank]
    run = modelled.Run(modelled.make_bundle(policy), programs)
    return _row(run.play(until_ms))


def play_all(
    policy: bundles.Policy, load: Load, alone: bool = False
) -> list[Row]:
    """Run one policy under one load with every seed."""
    return [play(policy, load, seed, alone) for seed in SEEDS]


def _row(result: modelled.Result) -> Row:
    served = result.served_tokens
    return Row(
        urgent_mean_ms=result.mean(0),
        urgent_p95_ms=result.percentile(0, TAIL_PART),
        routine_mean_ms=result.mean(1),
        routine_p95_ms=result.percentile(1, TAIL_PART),
        done=sum(map(len, result.latencies_ms.values())),
        refused=result.refused.total(),
        broken=result.broken.total(),
        wasted_k_tokens=result.wasted_tokens / 1000,
        routine_share=served[1] / served.total(),
    )


def show(load: Load, name: str, rows: list[Row]) -> None:
    """Print the mean and the range of each column."""
    cells = []
    for field in attrs.fields(Row):
        column = [getattr(row, field.name) for row in rows]
        mean = sum(column) / len(column)
        form = '.3f' if mean < 1 else '.0f'
        cells.append(
            f'{mean:{form}} [{min(column):{form}}-{max(column):{form}}]'
        )
    _write_line(load.name, name, *cells)


def compare(
    base: bundles.Policy,
    loads: Iterable[Load],
    field: str,
    names: Sequence[str],
) -> None:
    """Print a table of policies that differ in one field."""
    columns = [column.name for column in attrs.fields(Row)]
    _write_line('load', field, *columns)
    for load in loads:
        for name in names:
            policy = attrs.evolve(base, **{field: name})
            show(load, name, play_all(policy, load))


def _write_line(*cells: str) -> None:
    line = ' | '.join(cells)
    sys.stdout.write(f'{line}\n')
