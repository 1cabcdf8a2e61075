"""Test how store hosts track entry hosts, on a manual clock."""

import unittest

import attrs

from carobfork import clock
from carobfork.storage import messages, presences

NEWS = messages.News(None, {}, is_fresh=True)


def presence(node, calls=0, version=0):
    """Return an entry host's heartbeat with its load report."""
    return messages.Presence(
        node,
        f'{node}:1',
        'z',
        is_leaving=False,
        in_flight={'e0': calls} if calls else {},
        waiting={'engines': calls} if calls else {},
        hosts_version=version,
    )


class PresencesTest(unittest.TestCase):
    """Two store hosts, one of which gets an entry host's reports directly."""

    def setUp(self):
        """Create the tables of two store hosts."""
        self.timer = clock.ManualClock()
        self.near = presences.PresenceTable(self.timer)
        self.far = presences.PresenceTable(self.timer)

    def report(self):
        """Forward the near store host's direct reports to the far one."""
        self.far.record_reported(self.near.recent_direct())

    def test_calls_of_hosts_that_tell_another_store_host(self):
        """Totals include the calls of all hosts except the receiver's own."""
        self.near.record(presence('a', calls=2), NEWS)
        self.report()
        reply = self.far.record(presence('b', calls=3), NEWS)
        self.assertEqual(reply.in_flight, {'e0': 2})
        self.assertEqual(reply.waiting, {'engines': 2})
        self.assertEqual(set(reply.hosts), {'a', 'b'})

    def test_ranks_of_waiting_calls(self):
        """Waiting calls of all other hosts are added up by rank."""
        for node, ranks in (
            ('a', {0: {'engines': 2}, 2: {'engines': 1}}),
            ('b', {2: {'engines': 3, 'tools': 1}}),
        ):
            report = attrs.evolve(presence(node), waiting_ranks=ranks)
            self.near.record(report, NEWS)
        self.timer.advance(presences.TOTALS_TTL_MS + 1)
        report = attrs.evolve(presence('c'), waiting_ranks={0: {'engines': 9}})
        reply = self.near.record(report, NEWS)
        self.assertEqual(
            reply.waiting_ranks,
            {0: {'engines': 2}, 2: {'engines': 4, 'tools': 1}},
        )

    def test_calls_that_wait_elsewhere_hurry_reports(self):
        """A store host learns of waiting calls through forwarded reports too.

        Otherwise it would keep the long heartbeat interval while calls wait
        at entry hosts that report to other store hosts.
        """
        self.assertFalse(self.far.has_waiting_calls())
        self.near.record(presence('a', calls=2), NEWS)
        self.report()
        self.timer.advance(presences.TOTALS_TTL_MS + 1)
        self.assertTrue(self.far.has_waiting_calls())

    def test_suspects(self):
        """Suspicions of other hosts are counted, the receiver's own are not."""
        for node in 'ab':
            report = attrs.evolve(presence(node), suspects=['e0'])
            self.near.record(report, NEWS)
        self.report()
        report = attrs.evolve(presence('c'), suspects=['e0', 'e1'])
        reply = self.far.record(report, NEWS)
        self.assertEqual(reply.suspects, {'e0': 2})

    def test_own_calls_are_taken_off_as_they_were_counted(self):
        """A host's own calls are subtracted as the cached totals include them.

        Subtracting its newer count from older totals would leave a part of
        its own calls as calls of other hosts.
        """
        self.near.record(presence('a', calls=2), NEWS)
        reply = self.near.record(presence('a', calls=1), NEWS)
        self.assertEqual(reply.in_flight, {})

    def test_a_host_that_falls_silent(self):
        """A silent host expires everywhere, though reports continue.

        Forwarding a stale report must not renew it.
        """
        self.near.record(presence('a'), NEWS)
        self.report()
        for _ in range(8):
            self.timer.advance(250)
            self.near.record(presence('c'), NEWS)
            self.report()
        reply = self.far.record(presence('b'), NEWS)
        self.assertEqual(set(reply.hosts), {'b', 'c'})

    def test_a_direct_word_stands_against_reports(self):
        """A recent direct report takes precedence over a forwarded one.

        A forwarded report of a host that has since switched to this store
        host is older than its direct report.
        """
        self.near.record(presence('a', calls=9), NEWS)
        self.far.record(presence('a', calls=1), NEWS)
        self.report()
        reply = self.far.record(presence('b'), NEWS)
        self.assertEqual(reply.in_flight, {'e0': 1})

    def test_known_hosts_are_not_told_again(self):
        """A host that knows the set's version does not get the set again."""
        first = self.near.record(presence('a'), NEWS)
        again = self.near.record(presence('a', version=first.version), NEWS)
        self.assertIsNone(again.hosts)
