"""Isolation: short batches where urgent calls run, on a manual clock."""

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
SHORT = 6


class WideLimiter(slot_limiters.FixedLimiter):
    """Grant many slots."""

    def __init__(self, target_ms):
        """Start with the limit that stays."""
        super().__init__(target_ms)
        self.limit = SLOTS


class IsolationTest(unittest.TestCase):
    """A pool of two workers whose pace is 6 ms and 1 ms a slot."""

    def setUp(self):
        """Start a dispatcher whose first rank asks for 12 ms."""
        self.timer = clock.ManualClock()
        wide = mock.patch.dict(slot_limiters.LIMITERS, {'wide': WideLimiter})
        wide.start()
        self.addCleanup(wide.stop)
        self.start(TARGET_MS)

    def start(self, between_tokens_ms):
        """Start a dispatcher that has learnt the workers' pace."""
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
        """Grant for as long as there is something to grant."""
        return list(iter(self.dispatcher.grant_next, None))

    def release(self, grant):
        """End a call that saw what the engine's pace says."""
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
        """Return how many slots of a worker are held."""
        return self.dispatcher.workers.busy(worker)

    def test_flood_leaves_batches_short(self):
        """Routine work fills the worker without urgent calls only."""
        for name in ('u1', 'u2', 'u3'):
            self.submit(name, 0)
        urgent = {grant.worker for grant in self.grant_all()}
        for number in range(SLOTS * 3):
            self.submit(f'r-{number}', 1)
        routine = [grant.worker for grant in self.grant_all()]
        self.assertEqual(len(urgent), 1)
        isolated = urgent.pop()
        self.assertLessEqual(self.batch(isolated), SHORT)
        self.assertEqual(len(routine) - routine.count(isolated), SLOTS)

    def test_without_a_target_batches_fill(self):
        """A rank that asks for nothing is not kept apart."""
        self.start(between_tokens_ms=0)
        self.submit('u1', 0)
        for number in range(SLOTS * 3):
            self.submit(f'r-{number}', 1)
        self.assertEqual(len(self.grant_all()), SLOTS * 2)

    def test_urgent_never_waits_for_short_batches(self):
        """With only long batches, an urgent call takes a free slot."""
        for number in range(SLOTS * 2 - 1):
            self.submit(f'r-{number}', 1)
        self.grant_all()
        self.submit('u1', 0)
        self.assertEqual(len(self.grant_all()), 1)

    def test_floor_holds_where_all_are_isolated(self):
        """Routine work keeps nine tenths of its share at least.

        Slots come free one at a time, so batches never get short enough for
        routine work that is not owed its share.
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
        """Some time after the last urgent call, routine work may fill."""
        self.submit('u1', 0)
        self.release(self.grant_all()[0])
        self.timer.advance(10_000)
        for number in range(SLOTS * 3):
            self.submit(f'r-{number}', 1)
        self.assertEqual(len(self.grant_all()), SLOTS * 2)


class PaceTest(unittest.TestCase):
    """The line that is fitted to what holders report."""

    def test_line(self):
        """Slots are read off the line that reports lie on."""
        pace = latency_models.LatencyModel()
        for busy in (2, 10, 20):
            pace.observe(busy, STEP_MS + busy)
        self.assertEqual(pace.max_slots(TARGET_MS), SHORT)

    def test_one_batch_size(self):
        """Without spread, time is taken as proportional to the slots."""
        pace = latency_models.LatencyModel()
        pace.observe(10, 20)
        self.assertEqual(pace.max_slots(10), 5)

    def test_at_least_one(self):
        """A target below any batch's time still leaves one slot."""
        pace = latency_models.LatencyModel()
        pace.observe(10, 20)
        self.assertEqual(pace.max_slots(1), 1)
