"""Count the crashes of servers that are seen late or from outside an exchange.

Guards against a request that goes on ending servers because its exchange was
over before a server's end could be seen, and against a sound request that is
refused because sound servers have paused under it.
"""

import contextlib
import functools
import itertools
import unittest

import gevent
from gevent import socket

from carobfork import clock
from carobfork.gateway import (
    fingerprints,
    unanswered_calls,
    worker_tables,
)
from tests import configurations, plain_calls, platform_hosts
from tests.test_gateway_decisions import entry

DEADLY = b'deadly'
CONTACT_SECONDS = 3
"""Time until hosts in touch know of a crash, as the platform states it."""
MOST_RETRIES = 3
"""The platform's bound on what reaches servers after that, once the request
has crashed three."""
CRASHES = 3
CALLS = 12
WARM_UP_CALLS = 20
SOUND_CALLS = 10
"""Between two deadly ones; they earn the retry of a call that stalls."""
SILENT_MS = 900
PAUSE_SECONDS = 1.1
TURN = {  # noqa: WPS407
    'Accept': 'text/event-stream',
    'X-Program-Id': 'p',
    'X-Session-Id': 'p',
    'X-Token-Budget': '10000',
    'X-Token-Count': '100,40',
}


class CrashCase(unittest.TestCase):
    """Cases at three entry hosts."""

    crash_seconds = platform_hosts.CRASH_SECONDS

    def setUp(self):
        """Start a deployment and learn how long sound answers take."""
        self.hosts = platform_hosts.Deployment(
            fronts=3, crash_seconds=self.crash_seconds
        )
        self.enterContext(self.hosts)
        for number in range(2, 4):
            self.hosts.add_backend(f't{number}', configurations.TOOLS)
        platform_hosts.wait_until(self.knows_servers, 'the servers')
        for front in self.hosts.fronts:
            for _ in range(WARM_UP_CALLS):
                self.hosts.ask('/look/8', front=front)

    def knows_servers(self):
        """Tell whether all entry hosts know all servers."""
        return all(
            len(list(front.table)) == len(self.hosts.backends)
            for front in self.hosts.fronts.values()
        )

    def spoil(self, **faults):
        """Let the deadly request end servers, in some way."""
        for backend in self.hosts.backends.values():
            backend.faults.crashes_on = DEADLY
            for name, value in faults.items():
                setattr(backend.faults, name, value)

    def moments(self, name):
        """Return the moments of a kind at all servers."""
        return sorted(
            moment
            for backend in self.hosts.backends.values()
            for moment in getattr(backend, name)
        )

    def repeat(self, send, count=CALLS, pause_seconds=PAUSE_SECONDS):
        """Send the deadly request to the entry hosts in turn."""
        for front in itertools.islice(
            itertools.cycle(list(self.hosts.fronts)), count
        ):
            for _ in range(SOUND_CALLS):
                self.hosts.ask('/look/8', front=front)
            answer = send(front)
            gevent.sleep(pause_seconds)
        return answer

    def ask(self, front):
        """Send the deadly request."""
        return self.hosts.ask(
            '/look/7', front=front, method='POST', body=DEADLY
        )

    def ask_and_leave(self, front, seconds=0.2, path='/look/7', **options):
        """Send the deadly request and leave before its server ends."""
        request = plain_calls.encode(
            path, method='POST', body=DEADLY, **options
        )
        address = self.hosts.address(front)
        with contextlib.closing(socket.create_connection(address)) as sock:
            sock.sendall(request)
            gevent.sleep(seconds)

    def assert_stopped(self):
        """Check the platform's bound."""
        crashes = self.moments('crashes')
        self.assertGreaterEqual(len(crashes), CRASHES)
        until = crashes[CRASHES - 1] + CONTACT_SECONDS
        retries = sum(
            moment > until for moment in self.moments('deadly_arrivals')
        )
        self.assertLessEqual(retries, MOST_RETRIES)


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
        for _ in range(2 * CRASHES):
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


class UnknownSuccessorTest(CrashCase):
    """Servers that start again while the registry can't be reached."""

    def test_crashes_of_one_server_in_an_outage(self):
        """Its entry names its first process all the time."""
        for name in ('t1', 't2', 't3'):
            self.hosts.store.remove('servers', name)
        platform_hosts.wait_until(self.knows_one_server, 'the last server')
        self.spoil()
        self.hosts.store.faults.down = True
        self.repeat(self.ask, count=8, pause_seconds=CONTACT_SECONDS + 1.5)
        self.assert_stopped()

    def knows_one_server(self):
        """Tell whether one server is left at all entry hosts."""
        return all(
            len(front.table.usable(configurations.TOOLS)) == 1
            for front in self.hosts.fronts.values()
        )


class ReportTest(CrashCase):
    """Store hosts that are away when servers end."""

    def test_crashes_while_all_store_hosts_are_away(self):
        """Hosts report them once the store hosts are back."""
        self.spoil()
        keepers = list(self.hosts.keepers)
        for name in keepers:
            self.hosts.keepers.pop(name).__exit__(None, None, None)
        for front in ('front-0', 'front-1'):
            self.ask(front)
            gevent.sleep(PAUSE_SECONDS)
        self.assertGreaterEqual(len(self.moments('crashes')), CRASHES)
        gevent.sleep(2 * CONTACT_SECONDS)
        for name in keepers:
            self.hosts.start_keeper(name)
        platform_hosts.wait_until(self.hosts.is_settled, 'the store hosts')
        gevent.sleep(CONTACT_SECONDS)
        self.repeat(self.ask)
        self.assert_stopped()


class PathTest(CrashCase):
    """Programs that ask the same, one after the other."""

    def test_programs_that_come_one_after_the_other(self):
        """Those after the first one don't end three servers each."""
        for number in range(2, 4):
            self.hosts.add_backend(f'e{number}', configurations.ENGINES)
        platform_hosts.wait_until(self.knows_servers, 'the servers')
        self.spoil()
        self.repeat(self.draft, count=CRASHES)
        gevent.sleep(CONTACT_SECONDS)
        for program in ('q', 'r', 's'):
            self.repeat(
                functools.partial(self.draft, program=program), count=CRASHES
            )
        self.assert_stopped()

    def draft(self, front, program='p'):
        """Send the deadly request as a turn of a program."""
        return self.hosts.turn(
            program, front=front, path='/chat/7', body=DEADLY
        )


class OutputTest(CrashCase):
    """Servers that end after the first event."""

    def test_a_retry_that_reaches_a_server_that_pauses(self):
        """Some retries are left for those that crash no server."""
        for number in range(2, 4):
            self.hosts.add_backend(f'e{number}', configurations.ENGINES)
        platform_hosts.wait_until(self.knows_servers, 'the servers')
        self.spoil(crash_after=1)
        self.repeat(self.draft, count=CRASHES)
        gevent.sleep(CONTACT_SECONDS)
        for backend in self.hosts.backends.values():
            backend.pause(PAUSE_SECONDS)
        self.ask_and_leave('front-0', path='/chat/7', headers=TURN)
        gevent.sleep(PAUSE_SECONDS)
        self.repeat(self.draft)
        self.assert_stopped()

    def draft(self, front):
        """Send the deadly request as a turn that servers begin to answer."""
        return self.hosts.ask(
            '/chat/7', front=front, method='POST', body=DEADLY, headers=TURN
        )


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
