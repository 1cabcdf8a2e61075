"""Compare slot limiters: ``python -m bench.slot_limits``, on the stand-in.

Calls without end keep every slot in use. Half way the engine is replaced by
one that takes twice as long a step.
"""

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import sys  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402

from carobfork import clock  # noqa: E402
from carobfork.coordination import slot_limiters, slots  # noqa: E402
from carobfork_standins import batching  # noqa: E402

SEEDS = (1, 2, 3)
PHASE_MS = 6000
SETTLE_MS = 3000
TARGET_MS = 15
TAIL_PART = 0.95
OUTPUT_TOKENS = (20, 120)
PROMPT_BYTES = (200, 4000)
FAST = batching.Pace(step_ms=2, step_per_sequence_ms=1 / 2)
SLOW = batching.Pace(step_ms=4, step_per_sequence_ms=1)
POLL_MS = 2


@attrs.define
class Phase:
    """One engine under one limiter.

    :param limiter: decides how many calls run at a time.
    :param pace: the engine's.
    """

    limiter: slot_limiters.SlotLimiter
    source: random.Random
    batch: batching.Batch
    busy: int = 0
    between_ms: list[float] = attrs.Factory(list)
    timer: clock.SystemClock = attrs.Factory(clock.SystemClock)

    def run(self) -> str:
        """Keep all slots in use and return what the second half showed."""
        engine = gevent.spawn(self.batch.run)
        calls = gevent.spawn(self._keep_full)
        gevent.sleep(clock.to_seconds(SETTLE_MS))
        before = self.batch.produced_tokens
        self.between_ms.clear()
        gevent.sleep(clock.to_seconds(PHASE_MS - SETTLE_MS))
        tokens = self.batch.produced_tokens - before
        gevent.killall([engine, calls])
        ordered = sorted(self.between_ms) or [0]
        tail_ms = ordered[int(TAIL_PART * (len(ordered) - 1))]
        rate = tokens / clock.to_seconds(PHASE_MS - SETTLE_MS)
        limit = self.limiter.limit
        return f'limit {limit}, {rate:.0f} tokens/s, p95 {tail_ms:.1f} ms'

    def _keep_full(self) -> None:
        while True:
            while self.busy < self.limiter.limit:
                self.busy += 1
                gevent.spawn(self._call)
            gevent.sleep(clock.to_seconds(POLL_MS))

    def _call(self) -> None:
        sequence = batching.Sequence(
            identifier='',
            owner='',
            prompt=self.source.randbytes(self.source.randint(*PROMPT_BYTES)),
            max_tokens=self.source.randint(*OUTPUT_TOKENS),
        )
        slot = slots.Slot('engine', self.timer)
        self.batch.add(sequence)
        while not sequence.finished:
            sequence.progress.clear()
            sequence.progress.wait()
            slot.record_output()
        slot.record_usage(len(sequence.produced), 0)
        served = slot.report()
        self.between_ms.append(served.between_tokens_ms)
        self.limiter.observe(served, self.busy)
        self.busy -= 1


def main() -> None:
    """Run every limiter with every seed."""
    for seed in SEEDS:
        for name, policy in slot_limiters.LIMITERS.items():
            limiter = policy(TARGET_MS)
            source = random.Random(seed)
            for pace in (FAST, SLOW):
                shown = Phase(limiter, source, batching.Batch(pace)).run()
                sys.stdout.write(
                    f'seed {seed} {name} step {pace.step_ms} ms: {shown}\n'
                )


if __name__ == '__main__':
    main()
