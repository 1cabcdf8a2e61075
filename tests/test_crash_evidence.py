"""Count each end of a server once, under the calls that were on that process.

Guards against a request that goes on ending servers that answer others until
they end, and against sound requests that are blamed for ends that were not
under them.
"""

import unittest
from unittest import mock

import gevent

from carobfork import clock
from carobfork.gateway import (
    crash_detectors,
    fingerprints,
    request_guards,
    unanswered_calls,
    worker_tables,
)
from carobfork.storage import crash_histories
from tests import crash_cases, platform_hosts, test_crash_counts
from tests.test_gateway_decisions import entry

BUSY_MS = 900
LONG_BUSY_MS = 1500
"""Longer than a stall that is noticed and the question that follows it."""
WARM_UP_CALLS = 20
REQUEST = 'request'
PATH = 'path'


class BusyTest(crash_cases.CrashCase):
    """Servers that answer others until they end."""

    def test_callers_that_leave_servers_that_answer_others(self):
        """An answer to others does not tell that the request is harmless."""
        self.spoil(busy_ms=BUSY_MS)
        self.repeat(self.ask_and_leave)
        self.assert_stopped()

    def test_calls_that_leave_servers_that_answer_others(self):
        """The request gets a place elsewhere before its server ends."""
        self.spoil(busy_ms=LONG_BUSY_MS)
        self.repeat(self.ask)
        self.assert_stopped()


class OneNameTest(test_crash_counts.UnknownSuccessorTest):
    """A server that is back at once, and ends again within a second."""

    crash_seconds = 0

    def test_crashes_of_one_server_in_an_outage(self):
        """They come faster than those of two processes are told apart."""
        for name in ('t1', 't2', 't3'):
            self.hosts.store.remove('servers', name)
        platform_hosts.wait_until(self.knows_one_server, 'the last server')
        self.spoil()
        self.hosts.store.faults.down = True
        self.repeat(self.ask)
        self.assert_stopped()


class RestartTest(crash_cases.CrashCase):
    """Servers that an operator restarts while the registry is away."""

    def test_a_sound_request_on_servers_that_were_restarted_before(self):
        """Callers that leave it long after the restarts are no evidence."""
        self.hosts.store.faults.down = True
        for name in ('t0', 't1', 't2', 't3'):
            self.hosts.replace_backend(name, 'v1')
        for front in self.hosts.fronts:
            for _ in range(WARM_UP_CALLS):
                self.hosts.ask('/look/8', front=front)
        for backend in self.hosts.backends.values():
            backend.faults.delay_ms = BUSY_MS
        for front in self.hosts.fronts:
            self.ask_and_leave(front)
            gevent.sleep(crash_cases.CONTACT_SECONDS + 1.5)
        for backend in self.hosts.backends.values():
            backend.faults.delay_ms = 0
        statuses = [self.ask(front).status for front in self.hosts.fronts]
        self.assertEqual(set(statuses), {200})


class SoundTest(unittest.TestCase):
    """Calls that ended no server, on a manual clock."""

    def setUp(self):
        """Register a server."""
        self.timer = clock.ManualClock()
        self.table = worker_tables.WorkerTable(self.timer)
        self.guard = request_guards.RequestGuard(self.timer, lambda _: None)
        self.detector = crash_detectors.CrashDetector(
            self.table, self.timer, self.guard, None
        )
        self.apply(entry('a', started_ms=1))
        self.keys = fingerprints.Fingerprints(REQUEST, PATH)

    def apply(self, *entries):
        """Apply a listing of the registry."""
        self.table.apply(entries, was_unreachable=False)

    def leave(self, worker, request=REQUEST):
        """Leave a call unanswered."""
        self.detector._calls.add(
            worker,
            unanswered_calls.UnansweredCall(
                fingerprints.Fingerprints(request, PATH),
                'x',
                has_output=False,
                ended_ms=self.timer.now_ms(),
            ),
        )

    def count_ended(self):
        """Count what the registry tells; servers are not asked."""
        for worker, ended in self.detector._calls.take_ended().items():
            self.detector._count(worker, ended, 'replaced')

    def test_a_released_process_that_gets_its_entry(self):
        """It was in use before the registry told of it."""
        worker = self.table.get('a')
        self.table.leaving.record(worker)
        self.table.renew(worker)
        self.leave(self.table.get('a'))
        self.apply(entry('a', started_ms=2))
        self.count_ended()
        self.assertEqual(self.detector.seen, 0)

    def test_calls_on_a_successor_that_the_registry_tells_of_late(self):
        """The process before had ended before they came."""
        worker = self.table.get('a')
        worker.is_replaced = True  # as a check of its process finds out
        self.timer.advance(1000)
        self.leave(worker)
        self.count_ended()
        self.assertEqual(self.detector.seen, 0)

    def test_calls_on_a_process_that_told_its_start(self):
        """The registry is back and tells of the process that had them."""
        worker = self.table.get('a')
        worker.told_started_ms = 2  # as an earlier probe finds out
        self.timer.advance(1000)
        self.leave(worker)
        self.apply(entry('a', started_ms=2))
        self.count_ended()
        self.assertEqual(self.detector.seen, 0)

    def test_calls_that_leave_while_a_successor_answers(self):
        """They were on the successor, which goes on."""
        worker = self.table.get('a')

        def ask(_worker):  # noqa: WPS430
            self.timer.advance(100)
            self.leave(worker)
            return False

        with mock.patch.object(self.detector, '_is_same_process', ask):
            self.detector._probe(worker)
        self.assertEqual(self.detector.seen, 0)

    def test_one_end_after_calls_that_left_one_after_the_other(self):
        """One server ended, however long the calls on it were apart."""
        for number in range(3):
            self.leave(self.table.get('a'), f'{REQUEST}{number}')
            self.timer.advance(crash_histories.SAME_CRASH_MS + 1)
        self.apply(entry('a', started_ms=2))
        self.count_ended()
        self.assertEqual(self.detector.seen, 3)
        self.assertEqual(self.guard.left_ms(self.keys), 0)

    def test_one_end_under_a_call_that_comes_back_to_a_silent_server(self):
        """The same for one request."""
        for _ in range(3):
            self.leave(self.table.get('a'))
            self.timer.advance(crash_histories.SAME_CRASH_MS + 1)
        self.apply(entry('a', started_ms=2))
        self.count_ended()
        self.assertEqual(self.guard.left_ms(self.keys), 0)

    def test_ends_that_other_hosts_saw_earlier(self):
        """This host learns of them before it sees them itself."""
        for number in range(1, 3):
            self.guard.learn(
                {REQUEST: number * crash_histories.SILENT_CRASH_WEIGHT}
            )
            self.leave(self.table.get('a'))
            self.apply(entry('a', started_ms=number + 1))
            self.count_ended()
        self.assertEqual(self.detector.seen, 2)
        self.assertEqual(self.guard.left_ms(self.keys), 0)
