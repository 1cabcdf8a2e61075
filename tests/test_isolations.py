"""Test isolation and latency models on a manual clock.

The tests guard against urgent streams that slow down because routine calls
fill the batches of their workers, and against isolation that costs routine
calls their share or keeps workers idle.
"""

import collections
import unittest
from unittest import mock

import attrs

from carobfork import clock
from carobfork.coordination import (
    dispatchers,
    latency_models,
    pools,
    slot_limiters,
)
from tests import slot_hosts

SLOTS = 20
STEP_MS = 6
TARGET_MS = 12
MAX_ISOLATED_BATCH = 6


class WideLimiter(slot_limiters.FixedLimiter):
    """Limiter with a high fixed limit."""

    def __init__(self, target_ms):
        """Set the limit, which does not change."""
        super().__init__(target_ms)
        self.limit = SLOTS


class IsolationTest(unittest.TestCase):
    """Tests with two workers whose tokens take 6 ms plus 1 ms per slot."""

    def setUp(self):
        """Start a dispatcher whose first rank has a target of 12 ms."""
        self.timer = clock.ManualClock()
        wide = mock.patch.dict(slot_limiters.LIMITERS, {'wide': WideLimiter})
        wide.start()
        self.addCleanup(wide.stop)
        self.start(TARGET_MS)

    def start(self, between_tokens_ms):
        """Start a dispatcher that has learned the workers' latency."""
        bundle = slot_hosts.make_bundle(limit='wide', admission='all')
        urgent, *others = bundle.ranks
        asking = attrs.evolve(urgent, between_tokens_ms=between_tokens_ms)
        bundle = attrs.evolve(bundle, ranks=(asking, *others))
        pool = pools.split_model(bundle.models[0])[0]
        self.dispatcher = dispatchers.Dispatcher(pool, bundle, self.timer)
        for number in range(SLOTS * 2):
            self.submit(f'learn-{number}', 1)
        for grant in reversed(self.grant_all()):
            self.release(grant)

    def submit(self, name, rank):
        """Queue a call."""
        self.dispatcher.submit(slot_hosts.make_request(name, rank))

    def grant_all(self):
        """Grant slots until no call can get one."""
        return list(iter(self.dispatcher.grant_next, None))

    def release(self, grant):
        """End a call and report the latency of the current batch."""
        busy = self.dispatcher.workers.busy(grant.worker)
        self.dispatcher.release(
            grant.request.identifier,
            slot_limiters.CallReport(
                held_ms=100,
                between_tokens_ms=STEP_MS + busy,
                output_tokens=10,
            ),
        )

    def batch(self, worker):
        """Return the number of held slots of a worker."""
        return self.dispatcher.workers.busy(worker)

    def test_flood_leaves_batches_short(self):
        """Routine calls fill only the worker without urgent calls."""
        for name in ('u1', 'u2', 'u3'):
            self.submit(name, 0)
        urgent = {grant.worker for grant in self.grant_all()}
        for number in range(SLOTS * 3):
            self.submit(f'r-{number}', 1)
        routine = [grant.worker for grant in self.grant_all()]
        self.assertEqual(len(urgent), 1)
        isolated = urgent.pop()
        self.assertLessEqual(self.batch(isolated), MAX_ISOLATED_BATCH)
        self.assertEqual(len(routine) - routine.count(isolated), SLOTS)

    def test_without_a_target_batches_fill(self):
        """A rank without a target isolates no workers."""
        self.start(between_tokens_ms=0)
        self.submit('u1', 0)
        for number in range(SLOTS * 3):
            self.submit(f'r-{number}', 1)
        self.assertEqual(len(self.grant_all()), SLOTS * 2)

    def test_urgent_never_waits_for_short_batches(self):
        """An urgent call gets a free slot even if all batches are large."""
        for number in range(SLOTS * 2 - 1):
            self.submit(f'r-{number}', 1)
        self.grant_all()
        self.submit('u1', 0)
        self.assertEqual(len(self.grant_all()), 1)

    def test_floor_holds_where_all_are_isolated(self):
        """Routine calls get at least 90 % of their share.

        Slots are released one at a time, so batches never get small enough
        for routine calls unless their rank has a deficit.
        """
        for number in range(1000):
            self.submit(f'u-{number}', 0)
            self.submit(f'r-{number}', 1)
        held = collections.deque(self.grant_all())
        served = [0, 0]
        for _ in range(400):
            self.timer.advance(10)
            ended = held.popleft()
            served[ended.request.rank] += 1
            self.release(ended)
            held.extend(self.grant_all())
        self.assertGreaterEqual(served[1], 0.9 * 0.2 * sum(served))

    def test_isolation_ends(self):
        """Isolation ends some time after the last urgent call."""
        self.submit('u1', 0)
        self.release(self.grant_all()[0])
        self.timer.advance(10_000)
        for number in range(SLOTS * 3):
            self.submit(f'r-{number}', 1)
        self.assertEqual(len(self.grant_all()), SLOTS * 2)


class PaceTest(unittest.TestCase):
    """Tests of the line that is fitted to the reported latencies."""

    def test_line(self):
        """The limit follows the line on which all reports lie."""
        model = latency_models.LatencyModel()
        for busy in (2, 10, 20):
            model.observe(busy, STEP_MS + busy)
        self.assertEqual(model.max_slots(TARGET_MS), MAX_ISOLATED_BATCH)

    def test_one_batch_size(self):
        """With a single batch size, latency is proportional to the slots."""
        model = latency_models.LatencyModel()
        model.observe(10, 20)
        self.assertEqual(model.max_slots(10), 5)

    def test_at_least_one(self):
        """A target that no batch can meet still allows one slot."""
        model = latency_models.LatencyModel()
        model.observe(10, 20)
        self.assertEqual(model.max_slots(1), 1)
