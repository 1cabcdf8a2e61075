"""Test how entry hosts forward requests, without other processes.

The tests guard against backend servers that are blamed for what a caller or
this host did, and against requests that wait for what can't be served.
"""

import contextlib
import gc
import socket
import sys
import unittest
from unittest import mock

from carobfork import clock, exceptions
from carobfork.gateway import (
    contexts,
    framing,
    relays,
    routes,
    turns,
    worker_tables,
    workers,
)
from carobfork.platform import heads

SERVICE = 'tools'
NAMES = 'abcd'
BODY_BYTES = 1000


def make_relay(timer, port=1):
    """Return a relay with four backend servers and one route.

    :param port: where the servers listen; by default nothing does.
    """
    table = worker_tables.WorkerTable(timer)
    entries = [
        workers.Entry(name, SERVICE, '127.0.0.1', port, 'z', slots=2)
        for name in NAMES
    ]
    table.apply(entries, was_unreachable=False)
    relay = relays.Relay(heads, table, turns.TurnManager(mock.Mock()), timer)
    route = routes.Route(
        'r', 'h', '/', routes.Kind.safe, (routes.Backend(SERVICE, 1),)
    )
    relay.routes = routes.RouteTable(1, [route], {}, routes.CallerLimits())
    return relay


def make_request(timer, deadline_ms, body=b''):
    """Return a request with a deadline."""
    lines = (
        'GET / HTTP/1.1',
        'Host: h',
        'X-Attempt-Id: x',
        f'X-Deadline-Ms: {deadline_ms}',
    )
    head = framing.parse_head('\r\n'.join(lines).encode())
    return contexts.Request(head, body, timer.now_ms())


class DeadlineTest(unittest.TestCase):
    """Requests with little time left."""

    def setUp(self):
        """Create a relay whose servers can't be reached."""
        self.timer = clock.ManualClock()
        self.relay = make_relay(self.timer)
        self.table = self.relay.table

    def refusal(self, deadline_ms):
        """Return the error for a request with a deadline."""
        request = make_request(self.timer, deadline_ms)
        with self.assertRaises(exceptions.CarobforkError) as refused:
            self.relay.handle(request, mock.Mock())
        return refused.exception

    def test_a_caller_without_time_blames_no_server(self):
        """A request that arrives too late to be sent fails no server.

        After an outage, callers return with what is left of their time. Each
        such request had four good servers avoided by all hosts.
        """
        refused = self.refusal(contexts.MIN_LEFT_MS - 1)
        self.assertEqual(refused.outcome, exceptions.Outcome.not_run)
        self.assertEqual(self.table.suspects(), [])

    def test_servers_that_cannot_be_reached_are_blamed(self):
        """With time left, a refused connection counts as a failure."""
        refused = self.refusal(deadline_ms=3000)
        self.assertEqual(refused.outcome, exceptions.Outcome.not_run)
        self.assertEqual(sorted(self.table.suspects()), sorted(NAMES))


class FailedBodiesTest(unittest.TestCase):
    """Guards against bodies of failed requests that stay in memory (LOST).

    A host that refused many long requests within a second went over its limit.
    """

    def setUp(self):
        """Leave it to no collection to release what a request held."""
        gc.disable()
        self.addCleanup(gc.enable)
        self.timer = clock.ManualClock()

    def check_released(self, relay, deadline_ms):
        """Check that nothing refers to a body once its request has failed."""
        body = bytes(BODY_BYTES)
        references = sys.getrefcount(body)
        with contextlib.suppress(exceptions.CarobforkError):
            relay.handle(
                make_request(self.timer, deadline_ms, body), mock.Mock()
            )
        self.assertEqual(sys.getrefcount(body), references)

    def test_refused(self):
        """No server can be reached."""
        self.check_released(make_relay(self.timer), deadline_ms=3000)

    def test_late(self):
        """A server takes the request and sends nothing until its deadline."""
        listener = self.enterContext(socket.create_server(('127.0.0.1', 0)))
        relay = make_relay(self.timer, port=listener.getsockname()[1])
        self.check_released(relay, deadline_ms=contexts.MIN_LEFT_MS + 100)
