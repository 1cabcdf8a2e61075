"""Idle hosts: nothing is computed or asked while there is nothing to do."""

import os
import tempfile
import unittest
from unittest import mock

import gevent
from gevent import event

from carobfork import clock
from carobfork.gateway import (
    calls,
    desks,
    relays,
    routes,
    turns,
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
    """Let all greenlets run that can."""
    for _ in range(10):
        gevent.sleep(0)


class DeskRunnerTest(unittest.TestCase):
    """The greenlet that serves what waits at an entry host's desks."""

    def setUp(self):
        """Start the greenlet, with one server of one slot."""
        timer = clock.ManualClock()
        self.table = workers.WorkerTable(timer)
        self.table.apply([ENTRY], was_away=False)
        self.relay = relays.Relay(
            heads, self.table, turns.TurnDesk(mock.Mock()), timer
        )
        self.served = mock.Mock(wraps=self.relay.serve_desks)
        self.relay.serve_desks = self.served
        runner = gevent.spawn(self.relay.run_desks)
        self.addCleanup(runner.kill)

    def submit(self, answers):
        """Ask for a slot."""
        ticket = desks.Ticket(calls.Call('x'), ROUTE, 3000, answers.append)
        self.relay.desk(SERVICE).submit(ticket)

    def test_nothing_waits(self):
        """Calls that get their slot at once wake nobody."""
        answers = []
        yield_often()
        self.submit(answers)
        yield_often()
        self.assertTrue(answers)
        self.served.assert_not_called()

    def test_a_call_waits(self):
        """A call that waits is served when a slot comes free elsewhere."""
        worker = self.table.get('a')
        worker.note_load(1, 0)
        answers = []
        self.submit(answers)
        worker.note_load(0, 0)
        yield_often()
        self.assertEqual(answers, [worker])


class FollowerTest(unittest.TestCase):
    """A host that is told by others does not ask the platform."""

    def test_not_needed(self):
        """Nothing is listed before somebody needs it."""
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
    """Settings are parsed when the file has changed."""

    def test_an_unchanged_file(self):
        """The same text is read and not parsed again."""
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
