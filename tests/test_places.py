"""Test places at servers that are taken for requests and not used.

Guards against permits, estimates and counts that such places change, and
against requests that a wait makes unfit to be sent.
"""

import unittest
from unittest import mock

import gevent

from carobfork import clock
from carobfork.gateway import (
    calls,
    contexts,
    events,
    fingerprints,
    permits,
    places,
    program_admissions,
    queued_calls,
    request_guards,
    routes,
    worker_tables,
    workers,
)
from carobfork.tenancy import credit_stocks, tenants

SERVICE = 'engines'
LEFT_MS = 3000
LEASE_MS = 500
WAITED_MS = 1500
FULL_CALLS = 100


class PlacesTest(unittest.TestCase):
    """Two servers and one request at the first, on a manual clock."""

    def setUp(self):
        """Create places of two idle servers."""
        self.timer = clock.ManualClock()
        self.table = worker_tables.WorkerTable(self.timer)
        self.table.apply(
            [
                workers.Entry(name, SERVICE, '127.0.0.1', 1, 'z', 4, False, 1)
                for name in ('e0', 'e1')
            ],
            was_unreachable=False,
        )
        self.guard = request_guards.RequestGuard(self.timer, mock.Mock())
        self.taken = []
        self.places = places.Places(
            self.table,
            self.timer,
            'home',
            mock.Mock(),
            places.Credits(self.take_credit, mock.Mock()),
            self.guard,
        )
        self.queue = self.places.admission.queue(SERVICE)
        self.context = self.make_context()
        self.context.worker = 'e0'
        self.context.is_sent = True
        self.worker = self.table.get('e1')

    def take_credit(self, _context):
        """Return a credit that lapses after a lease."""
        credit = credit_stocks.Credit('t', self.timer.now_ms() + LEASE_MS)
        self.taken.append(credit)
        return credit

    def make_context(self, **fields):
        """Return a stream that may be resumed."""
        return contexts.RequestContext(
            mock.Mock(),
            calls.Call('x'),
            routes.Route(
                'r',
                'h',
                '/',
                routes.Kind.stream,
                (),
                max_attempts=2,
                is_resumable=True,
            ),
            SERVICE,
            self.timer.now_ms() + LEFT_MS,
            b'',
            keys=fingerprints.Fingerprints('request', 'path'),
            **fields,
        )

    def begin(self):
        """Let the caller have an event."""
        self.context.event_log.accept(events.Event(b'id: 1\ndata: a\n\n', 1))
        self.context.record_output()

    def find(self):
        """Find a place and discard it."""
        found = self.places.find_standby(self.context, self.timer.now_ms())
        self.assertIs(found.worker, self.worker)
        found.discard()

    def wait_for_claim(self):
        """Claim a place of full servers, and free it after a while."""
        for worker in self.table:
            worker.in_flight += FULL_CALLS
        used = []

        def claim():
            with self.places.claim(self.context):
                used.append(self.context.credit)

        claiming = gevent.spawn(claim)
        gevent.sleep(0)
        self.timer.advance(WAITED_MS)
        return claiming, used

    def free(self, claiming):
        """Free the servers and let the claim end."""
        for worker in self.table:
            worker.in_flight -= FULL_CALLS
        self.places.admission.process_waiting()
        claiming.join()

    def test_a_permit_lost_with_an_unused_place(self):
        """A limited server may still get the request that was not sent."""
        self.worker.permit_stock = permits.PermitStock(
            limit_per_s=2, valid_from_ms=[self.timer.now_ms()]
        )
        self.find()
        self.assertTrue(self.table.limiter.may_send(self.worker))

    def test_an_unused_place_counted_as_a_short_call(self):
        """The expected wait for a slot stays the same."""
        probe = queued_calls.QueuedCall(
            self.context.call, self.context.route, LEFT_MS, mock.Mock()
        )
        before_ms = self.queue.expected_wait_ms(probe)
        for _ in range(10):
            self.find()
        self.assertEqual(self.queue.expected_wait_ms(probe), before_ms)

    def test_a_program_begun_twice_by_a_search(self):
        """A first turn that a server has got does not begin once more."""
        self.context.tenant = tenants.Tenant('t', rate_per_s=1, burst=1)
        self.context.turn = mock.Mock(
            start=program_admissions.ProgramStart(LEFT_MS)
        )
        self.queue.programs.record_begin = mock.Mock()
        self.find()
        self.queue.programs.record_begin.assert_not_called()

    def test_a_request_blocked_while_it_waits(self):
        """A stream that waited for its next server is checked before it."""
        self.begin()
        self.context.failed_attempts = 1
        claiming, used = self.wait_for_claim()
        self.guard._history.block('request', LEFT_MS)
        self.free(claiming)
        self.assertEqual(used, [])

    def test_a_credit_used_after_its_lease(self):
        """A stream that waited for longer takes another credit."""
        self.begin()
        self.context.failed_attempts = 1
        claiming, used = self.wait_for_claim()
        self.free(claiming)
        self.assertGreater(used[0].expires_ms, self.timer.now_ms())

    def test_a_begun_stream_given_up_by_an_estimate(self):
        """It waits on: only its own time decides that it is broken off."""
        self.begin()
        self.context.failed_attempts = 1
        for worker in self.table:
            worker.in_flight += FULL_CALLS
        for _ in range(FULL_CALLS):
            self.queue.calls.add(
                queued_calls.QueuedCall(
                    self.context.call, self.context.route, 1, mock.Mock()
                )
            )
        waiting = len(self.queue.calls)
        claiming = gevent.spawn(self.places.claim(self.context).__enter__)
        gevent.sleep(0)
        self.assertFalse(claiming.ready())
        self.assertEqual(len(self.queue.calls), waiting + 1)

    def test_a_stream_begun_by_a_comment(self):
        """The caller has a part of the answer, so it can't be refused."""
        self.context.event_log.accept(events.Event(b': comment\n\n', None))
        self.context.record_output()
        self.assertTrue(self.context.is_committed)

    def test_a_free_server_passed_over_for_the_silent_one(self):
        """A server that refused once is better than one that is silent."""
        silent = self.table.get('e0')
        silent.in_flight = 1
        silent.idle_connections = 1
        silent.last_kept_ms = self.timer.now_ms()
        self.context.avoid('e1')
        self.timer.advance(1)
        found = self.places.find_standby(self.context, self.timer.now_ms())
        self.assertIsNotNone(found)
        self.assertIs(found.worker, self.worker)
