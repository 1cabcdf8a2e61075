"""Count the crashes of servers that are seen late or from outside an exchange.

Guards against a request that goes on ending servers because its exchange was
over before a server's end could be seen, and against a sound request that is
refused because sound servers have paused under it.
"""

import itertools
import unittest

import gevent

from carobfork import clock
from carobfork.gateway import (
    fingerprints,
    unanswered_calls,
    worker_tables,
)
from tests.crash_cases import PAUSE_SECONDS, CrashCase
from tests.test_gateway_decisions import entry

SILENT_MS = 900
ROUNDS = 2
"""At each host; each of them would block a request if pauses counted."""


class UnansweredTest(CrashCase):
    """Exchanges that are over before their server ends."""

    def test_servers_that_stall_before_they_end(self):
        """The exchange is given up while the server is silent."""
        self.spoil(silent_ms=SILENT_MS)
        answer = self.repeat(self.ask)
        self.assert_stopped()
        self.assertEqual(answer.status, 503)

    def test_callers_that_leave_before_servers_end(self):
        """Nobody waits for the answer when the server ends."""
        self.spoil(silent_ms=SILENT_MS)
        self.repeat(self.ask_and_leave)
        self.assert_stopped()

    def test_servers_that_pause_crash_nothing(self):
        """A request that is under several pauses is served afterwards."""
        for _ in range(ROUNDS):
            for front in self.hosts.fronts:
                for backend in self.hosts.backends.values():
                    backend.pause(PAUSE_SECONDS)
                self.ask_and_leave(front, PAUSE_SECONDS - 0.3)
                gevent.sleep(1)
        for front in self.hosts.fronts:
            self.assertEqual(self.ask(front).status, 200)


class SuccessorTest(CrashCase):
    """Servers whose successors have their addresses at once."""

    crash_seconds = 0

    def test_servers_that_are_back_at_once(self):
        """No connection is refused between two processes."""
        self.spoil()
        self.repeat(self.ask)
        self.assert_stopped()

    def test_servers_that_stall_and_are_back_at_once(self):
        """The exchange is given up before."""
        self.spoil(silent_ms=SILENT_MS)
        self.repeat(self.ask)
        self.assert_stopped()


class UnansweredCallsTest(unittest.TestCase):
    """Which calls count once a server has ended, on a manual clock."""

    def setUp(self):
        """Register a server and leave a call on it."""
        self.timer = clock.ManualClock()
        self.table = worker_tables.WorkerTable(self.timer)
        self.calls = unanswered_calls.UnansweredCalls(self.timer, self.table)
        self.apply(entry('a', started_ms=1))
        self.worker = self.table.get('a')
        self.call = self.leave()

    def apply(self, *entries):
        """Apply a listing of the registry."""
        self.table.apply(entries, was_unreachable=False)

    def leave(self):
        """Leave a call unanswered."""
        call = unanswered_calls.UnansweredCall(
            fingerprints.Fingerprints('request', 'path'),
            'x',
            has_output=False,
            ended_ms=self.timer.now_ms(),
        )
        self.calls.add(self.worker, call)
        return call

    def ended(self):
        """Return the calls of servers that have ended."""
        return list(itertools.chain(*self.calls.take_ended().values()))

    def answer(self, after_ms):
        """Let the server answer another call some time later."""
        self.timer.advance(after_ms)
        self.worker.record_success(1, self.timer.now_ms())

    def test_silence_is_no_evidence(self):
        """A server that stays silent has not ended."""
        self.timer.advance(unanswered_calls.KEPT_MS - 1)
        self.calls.record_silence(self.worker)
        self.assertEqual(self.ended(), [])
        self.assertEqual(len(self.calls), 1)
        self.timer.advance(2)
        self.assertEqual(self.ended(), [])
        self.assertEqual(len(self.calls), 0)

    def test_a_new_process_under_the_name(self):
        """Its entry tells that the one before has ended."""
        self.apply(entry('a', started_ms=2))
        self.assertEqual(self.ended(), [self.call])
        self.assertEqual(self.ended(), [])

    def test_another_server_at_the_address(self):
        """The server comes back under another name."""
        self.apply(entry('a', started_ms=1), entry('b', started_ms=2))
        self.assertEqual(self.ended(), [self.call])

    def test_a_later_answer_clears_a_call(self):
        """The server has not ended under the call if it goes on."""
        self.answer(after_ms=unanswered_calls.MIN_SILENCE_MS + 1)
        self.assertEqual(self.ended(), [])
        self.apply(entry('a', started_ms=2))
        self.assertEqual(self.ended(), [])

    def test_an_answer_after_silence(self):
        """It may be that of a process that the registry does not know."""
        self.calls.record_silence(self.worker)
        self.answer(after_ms=2 * unanswered_calls.MIN_SILENCE_MS)
        self.apply(entry('a', started_ms=2))
        self.assertEqual(self.ended(), [self.call])

    def test_servers_that_leave(self):
        """Their end was planned."""
        self.apply(entry('a', started_ms=1, is_draining=True))
        self.apply(entry('a', started_ms=2))
        self.assertEqual(self.ended(), [])

    def test_probes_become_rare(self):
        """A server that is silent for long is asked less often."""
        asked = 0
        for _ in range(unanswered_calls.KEPT_MS // 100):
            self.timer.advance(100)
            asked += len(self.calls.take_due_probes())
        self.assertLess(asked, 20)
        self.assertGreater(asked, 5)

    def test_a_server_that_goes_on(self):
        """Calls from before the question are cleared, later ones are kept."""
        self.timer.advance(1)
        asked_ms = self.timer.now_ms()
        self.timer.advance(1)
        later = self.leave()
        self.calls.clear(self.worker, asked_ms)
        self.apply(entry('a', started_ms=2))
        self.assertEqual(self.ended(), [later])
