"""Measure what a grant costs: ``python -m bench.grants``."""

import sys
import time

from bench import modelled
from carobfork import clock
from carobfork.coordination import (
    dispatchers,
    pools,
    queue_orders,
    slot_limiters,
)
from carobfork.state import bundles

QUEUE_SIZES = (100, 1000, 4000)
GRANTS = 2000
RUNS = 5
ATTAINED_STEP = 7919
ATTAINED_LIMIT = 10_000
_MICROSECONDS = 1_000_000


def main() -> None:
    """Measure submit, grant and release at several queue sizes."""
    for size in QUEUE_SIZES:
        spans = [_time_grants(size) for _ in range(RUNS)]
        micros = [span * _MICROSECONDS / GRANTS for span in spans]
        sys.stdout.write(
            f'{size} waiting: {min(micros):.1f} to {max(micros):.1f} us '
            'for submit, grant and release\n'
        )


def _time_grants(size: int) -> float:
    bundle = modelled.make_bundle(bundles.Policy(admission='all'))
    pool = pools.split_model(bundle.models[0])[0]
    dispatcher = dispatchers.Dispatcher(pool, bundle, clock.SystemClock())
    for number in range(size):
        dispatcher.submit(_call(number))
    started = time.perf_counter()
    for number in range(size, size + GRANTS):
        dispatcher.submit(_call(number))
        grant = dispatcher.grant_next()
        if grant is None:
            grant = next(iter(dispatcher.granted.values()))
        dispatcher.release(
            grant.request.identifier, slot_limiters.CallReport(held_ms=1)
        )
    return time.perf_counter() - started


def _call(number: int) -> queue_orders.SlotRequest:
    return queue_orders.SlotRequest(
        identifier=f'{number:016x}',
        program=f'p{number}',
        model=modelled.MODEL,
        rank=number % 2,
        attained_tokens=number * ATTAINED_STEP % ATTAINED_LIMIT,
        kind='draft',
    )


if __name__ == '__main__':
    main()
