"""Quotas on the way of a request through a whole deployment."""

import collections
import time
import unittest

import gevent

from tests import configurations, platform_hosts

RATE_PER_S = 3
BURST = 4
SLACK = 20
WINDOW_SECONDS = 5
CALLERS = 12
"""Callers at each entry host, more than may wait there for credits."""


def with_tenants():
    """Return a configuration with a tenant that has a quota."""
    limited = {
        'Name': 'small',
        'ApiKeys': ['key-of-small'],
        'RatePerS': RATE_PER_S,
        'Burst': BURST,
    }
    free = {'Name': 'free', 'ApiKeys': ['key-of-free']}
    return {
        **configurations.configuration(version=4),
        'Tenants': [limited, free],
    }


def may_grant(keeper):
    """Tell whether a store host has been a member for long enough to grant.

    Until then its share of the quota is nobody's.
    """
    since_ms = keeper.grant_right.since_ms
    return since_ms is not None and keeper.boot_timer.now_ms() >= since_ms


class QuotaPathTest(unittest.TestCase):
    """Two entry hosts and three store hosts that share a quota."""

    def setUp(self):
        """Start a deployment in which store hosts grant credits."""
        self.hosts = platform_hosts.Deployment(fronts=2)
        self.enterContext(self.hosts)
        self.hosts.store.put('config', 'main', with_tenants())
        platform_hosts.wait_until(
            lambda: all(
                front.relay.routes.version == 4
                for front in self.hosts.fronts.values()
            ),
            'the configuration',
        )
        platform_hosts.wait_until(
            lambda: all(map(may_grant, self.hosts.keepers.values())),
            'the right to grant of all store hosts',
        )
        platform_hosts.wait_until(
            lambda: self.ask('small').status == 200, 'a credit'
        )

    def ask(self, tenant, front=None):
        """Send a request with a tenant's key."""
        fields = {'X-Api-Key': f'key-of-{tenant}'}
        return self.hosts.ask('/look/1', front=front, headers=fields)

    def press(self, front, until, statuses):
        """Send one request after the other until a time."""
        while time.monotonic() < until:
            answer = self.ask('small', front)
            statuses[answer.status] += 1
            if answer.status == 429:
                delay = float(answer.head.get('retry-after'))
                self.assertTrue(0 < delay <= WINDOW_SECONDS)
            gevent.sleep(0.05)

    def over_quota(self):
        """Return the refused requests of all entry hosts."""
        return sum(
            front.quota.requests_over_quota
            for front in self.hosts.fronts.values()
        )

    def test_what_is_over_the_quota_reaches_no_server(self):
        """A flood gets 429 with a delay; what is allowed is answered."""
        before = self.over_quota()
        statuses = collections.Counter()
        until = time.monotonic() + 3
        callers = [
            gevent.spawn(self.press, front, until, statuses)
            for front in list(self.hosts.fronts) * CALLERS
        ]
        gevent.joinall(callers, raise_error=True)
        self.assertEqual(set(statuses), {200, 429})
        most = (RATE_PER_S * WINDOW_SECONDS + BURST) * 1.1 + SLACK
        self.assertLessEqual(self.arrivals(), most)
        self.assertGreaterEqual(statuses[200], RATE_PER_S * 2)
        self.assertEqual(self.over_quota() - before, statuses[429])
        self.assertEqual(self.ask('free').status, 200)

    def taken(self):
        """Return the credits that all entry hosts have taken."""
        return sum(
            front.quota.credits_taken for front in self.hosts.fronts.values()
        )

    def arrivals(self):
        """Return what has reached servers."""
        return sum(
            len(backend.arrivals) for backend in self.hosts.backends.values()
        )

    def test_each_attempt_takes_a_credit(self):
        """A call that is sent to a second server takes a second credit."""
        for backend in self.hosts.backends.values():
            backend.faults.drop_answer = True
        gevent.sleep(2)
        taken, arrivals = self.taken(), self.arrivals()
        self.ask('small')
        self.assertEqual(self.arrivals() - arrivals, 2)
        self.assertEqual(self.taken() - taken, 2)

    def test_what_no_server_runs_costs_nothing(self):
        """A call that all servers refuse gives its credit back."""
        for backend in self.hosts.backends.values():
            backend.faults.full = True
        gevent.sleep(1)
        taken = self.taken()
        self.assertIn(self.ask('small').status, {429, 503})
        self.assertEqual(self.taken(), taken)
