"""Test a dispatcher's policies and the slot limiters on a manual clock.

The tests guard against ranks that starve or exceed their shares, admission
that cuts off started programs, calls that wait too long for a cached prefix,
and slot limits that do not follow the engine's latency.
"""

import unittest

from carobfork import clock, exceptions
from carobfork.coordination import (
    dispatchers,
    pools,
    queue_orders,
    slot_limiters,
)
from tests import slot_hosts

CALLS = 400
TOKENS = 100
HOLD_MS = 1000
SERVED = slot_limiters.CallReport(held_ms=HOLD_MS, output_tokens=TOKENS)


class DispatcherTest(unittest.TestCase):
    """Tests of one dispatcher with two workers of four slots each."""

    def setUp(self):
        """Start a dispatcher with default policies that admits all calls."""
        self.start(admission='all')

    def start(self, **policy):
        """Start a dispatcher with the given policies."""
        self.timer = clock.ManualClock()
        self.bundle = slot_hosts.make_bundle(limit='fixed', **policy)
        pool = pools.split_model(self.bundle.models[0])[0]
        self.dispatcher = dispatchers.Dispatcher(pool, self.bundle, self.timer)

    def submit(self, name, rank=0, **fields):
        """Queue a call."""
        self.dispatcher.submit(slot_hosts.make_request(name, rank, **fields))

    def flood(self, rank, count=CALLS):
        """Queue many calls of a rank."""
        for number in range(count):
            self.submit(f'{rank}-{number}', rank)

    def serve(self, rounds):
        """Grant and release all slots repeatedly; return calls by rank."""
        served = [0, 0]
        for _ in range(rounds):
            grants = list(iter(self.dispatcher.grant_next, None))
            self.timer.advance(HOLD_MS)
            for grant in grants:
                served[grant.request.rank] += 1
                self.dispatcher.release(grant.request.identifier, SERVED)
        return served

    def test_floor_in_urgent_flood(self):
        """Routine calls get at least 90 % of their share."""
        self.flood(rank=0)
        self.flood(rank=1)
        urgent, routine = self.serve(rounds=40)
        self.assertGreaterEqual(routine, 0.9 * 0.2 * (urgent + routine))
        self.assertLessEqual(routine, 0.25 * (urgent + routine))

    def test_floor_in_routine_flood(self):
        """A single urgent call is served before all waiting routine calls."""
        self.flood(rank=1)
        self.serve(rounds=10)
        self.submit('urgent')
        grant = self.dispatcher.grant_next()
        self.assertEqual(grant.request.identifier, 'urgent')

    def test_unused_share_is_not_saved(self):
        """A rank accumulates no deficit while it has no waiting calls."""
        self.flood(rank=0)
        self.serve(rounds=20)
        self.flood(rank=1)
        grants = list(iter(self.dispatcher.grant_next, None))
        routine = [grant for grant in grants if grant.request.rank == 1]
        self.assertLessEqual(len(routine), 2)

    def test_charges_are_settled(self):
        """Shares are of the tokens served, not of the estimates."""
        self.flood(rank=0)
        self.flood(rank=1)
        tokens = [0, 0]
        for _ in range(40):
            for grant in list(iter(self.dispatcher.grant_next, None)):
                rank = grant.request.rank
                served = 1000 if rank else 100
                tokens[rank] += served
                self.dispatcher.release(
                    grant.request.identifier,
                    slot_limiters.CallReport(held_ms=1, output_tokens=served),
                )
        self.assertAlmostEqual(tokens[1] / sum(tokens), 0.2, delta=0.05)

    def test_short_call_is_settled(self):
        """A call is charged what it was served if that is below the estimate.

        Otherwise the urgent rank would pay for tokens that it never got.
        """
        self.submit('short', rank=0)
        self.flood(rank=1, count=20)
        grant = self.dispatcher.grant_next()
        self.dispatcher.release(
            grant.request.identifier, slot_limiters.CallReport(output_tokens=10)
        )
        owed = self.dispatcher.backlog.deficits.deficit_tokens
        self.assertEqual(grant.request.identifier, 'short')
        self.assertAlmostEqual(owed[1], 10 * 0.2)

    def test_least_attained_first(self):
        """Within a rank, the program that was served least is next."""
        self.submit('much', attained_tokens=9000)
        self.submit('little', attained_tokens=10)
        grant = self.dispatcher.grant_next()
        self.assertEqual(grant.request.identifier, 'little')

    def test_ageing(self):
        """A call that waited long enough is served before new programs."""
        self.submit('much', attained_tokens=9000)
        self.timer.advance(9000 / queue_orders.AGEING_TOKENS_PER_MS + 1)
        self.submit('fresh')
        grant = self.dispatcher.grant_next()
        self.assertEqual(grant.request.identifier, 'much')

    def test_new_programs_are_refused_first(self):
        """Under overload, calls of started programs are still admitted."""
        self.start(admission='by_program')
        self.flood(rank=1, count=8)
        self.serve(rounds=1)
        self.flood(rank=1, count=5 * 8)
        with self.assertRaises(exceptions.OverloadedError) as caught:
            self.submit('new', rank=1, started=False)
        self.assertEqual(caught.exception.outcome, exceptions.Outcome.not_run)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        self.submit('under way', rank=1, started=True)
        self.submit('urgent', rank=0, started=False)

    def test_rare_kind_is_refused_later(self):
        """A burst of one kind does not shut out other kinds."""
        self.start(admission='by_program')
        self.submit('first', rank=1)
        self.serve(rounds=1)
        for number in range(12):
            self.submit(f'draft-{number}', rank=1, kind='draft')
        with self.assertRaises(exceptions.OverloadedError):
            self.submit('draft', rank=1, kind='draft', started=False)
        self.submit('answer', rank=1, kind='answer', started=False)

    def test_queue_is_shortened(self):
        """Calls beyond the queue limit are shed, new programs' calls first."""
        self.start(admission='by_program')
        self.flood(rank=1, count=8)
        self.submit('old', rank=1, attained_tokens=10**6)
        for number in range(300):
            self.submit(f'new-{number}', rank=1, started=False)
        self.assertEqual(self.dispatcher.shed_excess(), [])
        self.serve(rounds=1)
        shed = self.dispatcher.shed_excess()
        self.assertGreater(len(shed), 200)
        self.assertNotIn('old', {call.identifier for call in shed})

    def test_waits_for_cached_prefix(self):
        """A call waits for its cached prefix if a prefill takes longer."""
        self.start(admission='all', placement='affinity_by_cost')
        self.submit('first', rank=1, last_worker='engine-0')
        self.serve(rounds=1)
        for number in range(slot_limiters.INITIAL_SLOT_LIMIT):
            self.submit(f'full-{number}', last_worker='engine-0')
            self.dispatcher.grant_next()
        self.submit('long', last_worker='engine-0', prompt_tokens=10_000)
        self.assertIsNone(self.dispatcher.grant_next())
        self.submit('short', last_worker='engine-0', prompt_tokens=1000)
        self.assertEqual(self.dispatcher.grant_next().worker, 'engine-1')
        self.dispatcher.release('full-0', SERVED)
        self.assertEqual(self.dispatcher.grant_next().worker, 'engine-0')

    def test_wait_for_prefix_is_bounded(self):
        """A call waits no longer for its prefix than a prefill takes."""
        self.start(admission='all', placement='affinity_by_cost')
        for number in range(slot_limiters.INITIAL_SLOT_LIMIT):
            self.submit(f'full-{number}', last_worker='engine-0')
            self.dispatcher.grant_next()
        self.submit('long', last_worker='engine-0', prompt_tokens=10_000)
        self.assertIsNone(self.dispatcher.grant_next())
        self.timer.advance(1001)
        self.assertEqual(self.dispatcher.grant_next().worker, 'engine-1')

    def test_failing_worker_is_tried_rarely(self):
        """A worker whose calls fail immediately does not get all calls.

        Its slots are always free, so least-loaded placement would prefer it.
        """
        self.flood(rank=0)
        failed = slot_limiters.CallReport(failed=True)
        workers = []
        for _ in range(40):
            grant = self.dispatcher.grant_next()
            workers.append(grant.worker)
            broken = grant.worker == 'engine-0'
            self.dispatcher.release(
                grant.request.identifier, failed if broken else SERVED
            )
            self.timer.advance(10)
        self.assertLessEqual(workers.count('engine-0'), 3)
        self.timer.advance(2000)
        self.dispatcher.grant_next()
        self.dispatcher.grant_next()
        loads = self.dispatcher.workers.loads
        self.assertEqual(loads['engine-0'].busy, 1)

    def test_avoided_worker(self):
        """A retried call neither uses nor waits for the worker it failed on."""
        self.start(admission='all', placement='affinity_by_cost')
        fields = {'last_worker': 'engine-0', 'prompt_tokens': 10**6}
        self.submit('retry', avoided=('engine-0',), **fields)
        self.assertEqual(self.dispatcher.grant_next().worker, 'engine-1')

    def test_policies_switch_at_run_time(self):
        """A new bundle's policies apply to calls that already wait."""
        self.submit('a', rank=1)
        self.timer.advance(1)
        self.submit('b', rank=0)
        bundle = slot_hosts.make_bundle(limit='fixed', order='fifo')
        self.dispatcher.apply_bundle(
            pools.split_model(bundle.models[0])[0], bundle
        )
        grant = self.dispatcher.grant_next()
        self.assertEqual(grant.request.identifier, 'a')


class LimitTest(unittest.TestCase):
    """Tests of the limiters on an engine whose latency grows with its batch."""

    def settle(self, name, target_ms, step_ms):
        """Return a limiter's limit after many calls."""
        limiter = slot_limiters.LIMITERS[name](target_ms)
        for _ in range(3000):
            busy = limiter.limit
            between_ms = step_ms(busy)
            limiter.observe(
                slot_limiters.CallReport(between_tokens_ms=between_ms), busy
            )
        return limiter.limit

    def test_aimd_meets_target(self):
        """The limit converges to where latency meets the target."""
        limit = self.settle('aimd', 20, lambda busy: 4 + busy)
        self.assertIn(limit, range(11, 18))

    def test_gradient_stops_at_saturation(self):
        """The limit converges to about where throughput stops growing."""
        limit = self.settle('gradient', 0, lambda busy: max(4, busy / 4))
        self.assertIn(limit, range(12, 24))

    def test_missing_reports(self):
        """Calls without measurements do not change the limit."""
        for name in slot_limiters.LIMITERS:
            limiter = slot_limiters.LIMITERS[name](20)
            limiter.observe(slot_limiters.CallReport(), 4)
            self.assertEqual(limiter.limit, slot_limiters.INITIAL_SLOT_LIMIT)

    def test_idle_engine_keeps_limit(self):
        """The limit does not grow while slots are unused."""
        limiter = slot_limiters.LIMITERS['aimd'](20)
        for _ in range(100):
            limiter.observe(
                slot_limiters.CallReport(between_tokens_ms=4), busy=1
            )
        self.assertEqual(limiter.limit, slot_limiters.INITIAL_SLOT_LIMIT)
