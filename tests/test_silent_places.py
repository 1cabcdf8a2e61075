"""Test requests whose servers fall silent for a second and then go on.

Guards against requests that lose their answer to a place that is none.
"""

import time
from unittest import mock

import gevent

from carobfork import exceptions
from carobfork.gateway import turns
from tests import configurations, plain_calls, platform_hosts

LEARNED = 20
SLOTS = 4
FULL_CALLS = 100
"""More calls than a server's slots and its own queue take."""
PAUSE_SECONDS = 1.1
DEADLINE_MS = 1800
BUSY_MS = 5000
"""How long a server with a queue takes for its next call."""
LONG_DEADLINE_MS = 3000
EVENT_MS = 150
"""Time between two events of a slow stream."""


class SilentCase(platform_hosts.DeploymentCase):
    """Cases in which a sound server pauses."""

    def setUp(self):
        """Let the entry host learn how long answers take."""
        self.table = self.hosts.fronts['front-0'].table
        self.occupied = []
        for worker in self.table:
            worker.avoided_until_ms = 0
            worker.consecutive_failures = 0
        for number in range(LEARNED):
            for path in ('/ask/', '/look/'):
                self.ask(f'{path}{number}')

    def tearDown(self):
        """Free the servers."""
        for instance, count in self.occupied:
            self.table.get(instance).in_flight -= count
        for worker in self.table:
            worker.avoided_until_ms = 0
            worker.leaving_since_ms = None
        super().tearDown()

    def occupy(self, instance, count=FULL_CALLS):
        """Fill places of a server."""
        self.table.get(instance).in_flight += count
        self.occupied.append((instance, count))

    def ask(self, path, deadline_ms=DEADLINE_MS):
        """Send a request and return its attempt and answer."""
        attempt = plain_calls.new_attempt()
        headers = {'X-Deadline-Ms': str(deadline_ms)}
        if path.startswith('/ask/'):
            headers['Accept'] = 'text/event-stream'
        answer = self.hosts.ask(path, attempt=attempt, headers=headers)
        return attempt, answer

    def faults(self, instance):
        """Return what is wrong with a server."""
        return self.hosts.backends[instance].faults

    def pause(self, instance):
        """Let a server fall silent at once."""
        self.faults(instance).silent_until = time.monotonic() + PAUSE_SECONDS

    def ask_first(self, path, instance, other):
        """Begin a request at one server, then let others be free."""
        self.table.get(other).in_flight += FULL_CALLS
        asking = gevent.spawn(self.ask, path)
        platform_hosts.wait_until(
            lambda: self.table.get(instance).in_flight, 'the request'
        )
        self.table.get(other).in_flight -= FULL_CALLS
        return asking


class SilentServersTest(SilentCase):
    """Servers of one software version."""

    def ask_before_a_pause(self):
        """Pause the only server just after it has ended another stream."""
        self.table.get('e1').leaving_since_ms = 0
        self.faults('e0').delay_ms = EVENT_MS
        other = gevent.spawn(self.ask, '/ask/1')
        gevent.sleep(EVENT_MS * 2.5 / 1000)
        asking = gevent.spawn(self.ask, '/ask/2', LONG_DEADLINE_MS)
        other.join()
        self.pause('e0')
        return asking

    def test_a_stream_sent_to_its_own_silent_server(self):
        """A call that ended before the pause does not show that it is over."""
        attempt, answer = self.ask_before_a_pause().get()
        self.assertTrue(answer.is_whole)
        self.assertEqual(self.hosts.runs(attempt), 1)

    def test_a_stream_lost_to_its_own_silent_server(self):
        """The server has no place for a second run, but ends the first."""
        asking = self.ask_before_a_pause()
        self.faults('e0').full = True
        _attempt, answer = asking.get()
        self.assertTrue(answer.is_whole)

    def test_an_answer_lost_to_servers_that_refuse(self):
        """A plain call is answered by the server that goes on."""
        self.pause('t0')
        self.faults('t1').full = True
        _attempt, answer = self.ask_first('/look/1', 't0', 't1').get()
        self.assertEqual(answer.status, 200)

    def test_a_stream_without_events_lost_to_servers_that_refuse(self):
        """A stream is answered by the server that goes on."""
        self.pause('e0')
        self.faults('e1').full = True
        _attempt, answer = self.ask_first('/ask/1', 'e0', 'e1').get()
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_whole)

    def test_a_stream_lost_after_a_comment(self):
        """The caller has a part of the answer, which can't be refused."""

        def break_after_a_comment(*_request):
            yield b': comment\n\n\n'
            gevent.sleep(EVENT_MS / 1000)
            raise ConnectionResetError('broken off by the test')

        backend = self.hosts.backends['e0']
        backend._events = break_after_a_comment
        self.addCleanup(delattr, backend, '_events')
        self.faults('e1').full = True
        asking = self.ask_first('/ask/1', 'e0', 'e1')
        gevent.sleep(PAUSE_SECONDS)
        self.faults('e1').full = False
        _attempt, answer = asking.get()
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_whole)

    def test_an_answer_lost_to_a_place_in_a_queue(self):
        """A place behind the calls of a full server is no slot."""
        self.pause('t0')
        self.faults('t1').delay_ms = BUSY_MS
        asking = self.ask_first('/look/1', 't0', 't1')
        self.occupy('t1', SLOTS)
        _attempt, answer = asking.get()
        self.assertEqual(answer.status, 200)

    def test_a_server_kept_without_calls_after_a_pause(self):
        """One that has answered all of its calls gets further ones."""
        self.occupy('t1')
        self.pause('t0')
        asking = [
            gevent.spawn(self.ask, f'/look/{number}') for number in range(SLOTS)
        ]
        gevent.joinall(asking)
        statuses = {call.value[1].status for call in asking}
        self.assertEqual(statuses, {200})
        _attempt, answer = self.ask('/look/5')
        self.assertEqual(answer.status, 200)


class SilentVersionsTest(SilentCase):
    """Servers of two software versions."""

    @classmethod
    def setUpClass(cls):
        """Start a server of another version."""
        super().setUpClass()
        cls.hosts.add_backend('e2', configurations.ENGINES, 'v2')
        table = cls.hosts.fronts['front-0'].table
        platform_hosts.wait_until(lambda: table.get('e2'), 'the server')

    def test_a_stream_lost_to_a_version_that_is_not_recorded(self):
        """It stays where it is until store hosts have the other version."""
        self.occupy('e1')
        self.pause('e0')
        asking = self.ask_first('/ask/1', 'e0', 'e2')
        unrecorded = exceptions.NotRunError('no quorum', step='record')
        with mock.patch.object(
            turns.TurnManager, '_change_version', side_effect=unrecorded
        ):
            _attempt, answer = asking.get()
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_whole)
