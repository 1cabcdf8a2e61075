"""Hosts without work use no CPU time and send no requests.

Guards against loops that poll queues, the platform's store or the settings
while nothing has changed, and against wake-ups that get lost as a result.
"""

import os
import tempfile
import unittest
from unittest import mock

import gevent
from gevent import event

from carobfork import clock, exceptions
from carobfork.gateway import (
    admissions,
    calls,
    contexts,
    framing,
    queued_calls,
    relays,
    routes,
    turns,
    worker_tables,
    workers,
)
from carobfork.platform import followers, heads, settings
from carobfork.roles import hosts

SERVICE = 'engines'
ENTRY = workers.Entry('a', SERVICE, '127.0.0.1', 1, 'z', slots=1)
ROUTE = routes.Route(
    'r', 'h', '/', routes.Kind.safe, (routes.Backend(SERVICE, 1),)
)
SETTINGS = """
NodeName = "front-1"
Ip = "127.0.0.1"
Zone = "z"
Region = "r"
PortRange = [7380, 7395]
[Provider]
Address = "127.0.0.1:9"
"""


def yield_often():
    """Yield until all runnable greenlets have run."""
    for _ in range(10):
        gevent.sleep(0)


class QueueRunnerTest(unittest.TestCase):
    """The greenlet that serves the queues of an entry host."""

    def setUp(self):
        """Start the greenlet with one backend server of one slot."""
        timer = clock.ManualClock()
        self.table = worker_tables.WorkerTable(timer)
        self.table.apply([ENTRY], was_unreachable=False)
        self.admission = admissions.AdmissionController(
            self.table, timer, 'home'
        )
        self.served = mock.Mock(wraps=self.admission.process_waiting)
        self.admission.process_waiting = self.served
        runner = gevent.spawn(self.admission.run)
        self.addCleanup(runner.kill)

    def submit(self, answers):
        """Submit a call that appends its outcome to ``answers``."""
        queued = queued_calls.QueuedCall(
            calls.Call('x'), ROUTE, 3000, answers.append
        )
        self.admission.queue(SERVICE).submit(queued)

    def test_nothing_waits(self):
        """A call that gets its slot at once does not wake the greenlet."""
        answers = []
        yield_often()
        self.submit(answers)
        yield_often()
        self.assertTrue(answers)
        self.served.assert_not_called()

    def test_a_call_waits(self):
        """A queued call is served when the server reports a free slot."""
        worker = self.table.get('a')
        worker.update_load(1, 0)
        answers = []
        self.submit(answers)
        worker.update_load(0, 0)
        yield_often()
        self.assertEqual(answers, [worker])


class StartTest(unittest.TestCase):
    """Requests that reach an entry host before its first configuration."""

    def setUp(self):
        """Send a request before a configuration is known."""
        self.timer = clock.ManualClock()
        self.relay = relays.Relay(
            heads,
            worker_tables.WorkerTable(self.timer),
            turns.TurnManager(mock.Mock()),
            self.timer,
        )
        head = framing.parse_head(b'GET /none HTTP/1.1\r\nHost: h')
        request = contexts.Request(head, b'', self.timer.now_ms())
        self.caller = gevent.spawn(self.relay.handle, request, mock.Mock())
        gevent.sleep(0)

    def outcome(self):
        """Return the error with which the request was refused."""
        with self.assertRaises(exceptions.CarobforkError) as refused:
            self.caller.get(timeout=30)
        return refused.exception

    def test_a_configuration_in_time(self):
        """The request waits for the configuration, which has no route."""
        self.relay.routes = routes.RouteTable(1, (), {}, routes.CallerLimits())
        self.assertEqual(self.outcome().http_status, 404)

    def test_no_configuration(self):
        """The request is refused after the timeout, with a retry delay."""
        self.timer.advance(relays.STARTUP_TIMEOUT_MS + 1)
        refused = self.outcome()
        self.assertEqual(refused.outcome, exceptions.Outcome.not_run)
        self.assertEqual(refused.retry_after_ms, relays.STARTUP_RETRY_AFTER_MS)


class FollowerTest(unittest.TestCase):
    """Followers of the platform's objects on an entry host.

    Store hosts report these objects, so entry hosts must not load the
    platform with requests of their own while the reports arrive.
    """

    def test_not_needed(self):
        """Objects are not listed before the follower is needed."""
        store = mock.Mock()
        needed = event.Event()
        follower = followers.Follower(store, 'k', mock.Mock(), needed)
        runner = gevent.spawn(follower.run)
        self.addCleanup(runner.kill)
        yield_often()
        self.assertEqual(store.mock_calls, [])
        needed.set()
        yield_often()
        store.list.assert_called_with('k')


class ReloadTest(unittest.TestCase):
    """Reloading of the settings file, which is read periodically."""

    def test_an_unchanged_file(self):
        """Unchanged text is not parsed again."""
        with tempfile.NamedTemporaryFile('w') as written:
            written.write(SETTINGS)
            written.flush()
            variables = {settings.SETTINGS_VARIABLE: written.name}
            with mock.patch.dict(os.environ, variables):
                host = hosts.Host(settings.load())
                host.reload()
                with mock.patch.object(settings, 'parse') as parse:
                    host.reload()
                parse.assert_not_called()
