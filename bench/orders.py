"""Compare policies of the dispatcher: ``python -m bench.orders [SUBJECT]``.

Subjects: order, placement, admission, floor. Each prints a table with
the mean over the seeds and the least and greatest value.
"""

import sys
from collections.abc import Callable

import attrs

from bench import tables
from carobfork.coordination import queue_orders
from carobfork.state import bundles

RARE_PERCENT = 10
AGEINGS = (0, 0.05, 2, 5, 20, 100)
BASE = bundles.Policy(
    limit='fixed', admission='all', placement='affinity_by_cost'
)


STEADY = (
    tables.Load('0.7'),
    tables.Load('0.9'),
    tables.Load('1.0'),
)
FLOODS = (
    tables.Load('3.0 routine flood', urgent_percent=RARE_PERCENT, tail_ms=0),
    tables.Load(
        '3.0 urgent flood', urgent_percent=100 - RARE_PERCENT, tail_ms=0
    ),
)


def compare_orders() -> None:
    """Compare the orders, and other ageings of least attained service."""
    for ageing in AGEINGS:
        queue_orders.register(f'least_attained, ageing {ageing}')(_aged(ageing))
    queue_orders.register('program_arrival')(_program_number)
    loads = (
        *STEADY,
        tables.Load('1.0 mostly urgent', urgent_percent=100 - 2 * RARE_PERCENT),
    )
    tables.compare(BASE, loads, 'order', list(queue_orders.ORDERS))


def _aged(ageing: float) -> queue_orders.KeyFunction:
    return lambda call: call.attained_tokens + call.arrived_ms * ageing


def _program_number(call: queue_orders.SlotRequest) -> float:
    return float(call.program.removeprefix('p'))


def compare_placements() -> None:
    """Compare the placements."""
    names = ('round_robin', 'least_loaded', 'affinity', 'affinity_by_cost')
    tables.compare(BASE, STEADY, 'placement', names)


def compare_admissions() -> None:
    """Compare the admissions in floods."""
    tables.compare(BASE, FLOODS, 'admission', ('all', 'by_call', 'by_program'))


def compare_floor() -> None:
    """Compare urgent programs alone with the same ones in a routine flood."""
    policy = attrs.evolve(BASE, admission='by_program')
    for load in FLOODS:
        for name, alone in (('urgent alone', True), ('all', False)):
            tables.show(load, name, tables.play_all(policy, load, alone))


SUBJECTS: dict[str, Callable[[], None]] = {  # noqa: WPS407
    'order': compare_orders,
    'placement': compare_placements,
    'admission': compare_admissions,
    'floor': compare_floor,
}


def main() -> None:
    """Run the subjects named, or all."""
    for subject in sys.argv[1:] or SUBJECTS:
        sys.stdout.write(f'# {subject}\n')
        SUBJECTS[subject]()


if __name__ == '__main__':
    main()
