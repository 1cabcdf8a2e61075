"""Test which requests a host that stops still takes, on a manual clock.

The load: requests that take two seconds, at a host that ends in three.
"""

import unittest
from unittest import mock

from carobfork import clock
from carobfork.gateway import calls, contexts, routes, stop_guards

LEFT_MS = 3000
TOOK_MS = 2000
LEARNED = 100
"""Requests after which their duration is well known."""


class StopGuardTest(unittest.TestCase):
    """One host and two kinds of requests."""

    def setUp(self):
        """Learn how long requests take, and begin to stop."""
        self.timer = clock.ManualClock()
        self.guard = stop_guards.StopGuard(self.timer)
        self.long = self.make_route('long')
        for _ in range(LEARNED):
            self.guard.record(self.long, TOOK_MS)
        self.guard.begin(LEFT_MS)

    def make_route(self, name):
        """Return a route whose requests may not be repeated."""
        return routes.Route(name, 'h', '/', routes.Kind.unsafe, ())

    def is_taken(self, route, left_ms=10_000, **fields):
        """Tell whether a request is taken now."""
        context = contexts.RequestContext(
            mock.Mock(),
            calls.Call('x'),
            route,
            'service',
            self.timer.now_ms() + left_ms,
            b'',
            **fields,
        )
        try:
            self.guard.check(context)
        except stop_guards.HostStoppingError:
            return False
        return True

    def test_expected_duration(self):
        """A request is taken as long as it can be over before the end."""
        self.assertTrue(self.is_taken(self.long))
        self.timer.advance(LEFT_MS - TOOK_MS + 1)
        self.assertFalse(self.is_taken(self.long))
        self.assertEqual(self.guard.refused, 1)

    def test_deadline_before_the_end(self):
        """A request whose caller gives up before is taken."""
        self.timer.advance(LEFT_MS - TOOK_MS + 1)
        self.assertTrue(self.is_taken(self.long, left_ms=TOOK_MS / 2))

    def test_unknown_duration(self):
        """A request of unknown duration is taken until the host closes."""
        self.assertTrue(self.is_taken(self.make_route('rare')))
        self.guard.close()
        self.assertFalse(self.is_taken(self.make_route('rare')))

    def test_sent_request(self):
        """What a server may have run is not refused as not run."""
        self.guard.close()
        self.assertTrue(self.is_taken(self.long, is_sent=True))
