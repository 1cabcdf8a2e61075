"""Test failure detection, suspension, incarnations and leaving hosts.

The tests guard against live hosts that are declared dead, also after a
suspension of this process, and against callers sent to leaving hosts.
"""

import unittest

from carobfork import clock
from carobfork.coordination import (
    control,
    detectors,
    local_requests,
    membership,
    messages,
    rings,
    routing,
)
from carobfork.state import programs
from tests import peer_links


class MembershipTest(unittest.TestCase):
    """One host of four, on a clock moved by hand."""

    def setUp(self):
        """Build the membership of entry-1."""
        self.timer = clock.ManualClock()
        self.link = peer_links.MemoryLink()
        self.directory = control.HostDirectory()
        self.own = peer_links.host('entry-1')
        self.other = peer_links.host('entry-2')
        for number in range(1, 5):
            self.directory.add(peer_links.host(f'entry-{number}'))
        self.members = membership.Membership(
            self.own,
            self.directory,
            self.link,
            control.BundleHolder(),
            self.timer,
        )
        self.deaths = []
        self.members.on_death(self.deaths.append)

    def rounds(self, count, heard=()):
        """Run heartbeat rounds with heartbeats from some hosts."""
        for _ in range(count):
            self.timer.advance(membership.HEARTBEAT_INTERVAL_MS)
            for sender in heard:
                self.link.deliver(messages.Heartbeat(sender.incarnation, 1))
            self.members.beat()

    def test_silent_host_is_declared_dead_once(self):
        """A host without heartbeats is reported once, others are not."""
        others = [peer_links.host('entry-3'), peer_links.host('entry-4')]
        self.rounds(8, heard=others)
        self.assertEqual([self.other], self.deaths)
        self.assertEqual([self.own, *others], self.members.live())

    def test_host_heard_again_is_live(self):
        """A host that was only paused counts as live again."""
        self.rounds(8)
        self.rounds(1, heard=[self.other])
        self.assertIn(self.other, self.members.live())

    def test_own_freeze_declares_nobody_dead(self):
        """After a suspension of this process all timeouts restart."""
        self.rounds(2)
        self.timer.advance(60_000)
        self.members.beat()
        self.rounds(2)
        self.assertEqual([], self.deaths)
        self.rounds(3)
        self.assertEqual(3, len(self.deaths))

    def test_new_incarnation_is_live(self):
        """Death and leaving belong to an incarnation, not to a name."""
        self.link.deliver(messages.Leaving(self.other.incarnation))
        self.rounds(8)
        reborn = peer_links.host('entry-2', number=2)
        self.directory.add(reborn)
        self.rounds(1)
        self.assertIn(reborn, self.members.staying())
        self.assertNotIn(self.other, self.members.live())

    def test_leaving_host_is_not_named(self):
        """Address answers leave out a host as soon as it says so."""
        self.link.deliver(messages.Leaving(self.other.incarnation))
        router = routing.Router(
            programs.ProgramTable(),
            self.members,
            local_requests.LocalRequests(),
        )
        self.assertNotIn('127.0.0.2:7101', router.addresses().addresses)
        self.assertEqual(3, len(router.addresses().addresses))

    def test_leaving_alone_is_still_named(self):
        """If all hosts are leaving, address answers name all of them."""
        for host in self.directory.registered():
            self.link.deliver(messages.Leaving(host.incarnation))
        self.members.leaving = True
        router = routing.Router(
            programs.ProgramTable(),
            self.members,
            local_requests.LocalRequests(),
        )
        self.assertEqual(4, len(router.addresses().addresses))

    def test_detector_forgets_old_incarnations(self):
        """The detector keeps data of registered incarnations only."""
        detector = detectors.FailureDetector(self.timer)
        for number in range(100):
            detector.record_heartbeat(
                peer_links.host('entry-2', number).incarnation
            )
        detector.retain_only({self.other.incarnation})
        self.assertEqual(1, len(detector._last_heartbeat_ms))


class RingTest(unittest.TestCase):
    """Each host is monitored by its successors."""

    def test_monitoring_is_mutual(self):
        """A host's predecessors are those that have it as successor."""
        fleet = [peer_links.host(f'entry-{number}') for number in range(40)]
        for watcher in fleet:
            name = watcher.incarnation.host
            watched = {
                host
                for host in fleet
                if watcher in rings.successors(fleet, host.incarnation.host)
            }
            self.assertEqual(watched, set(rings.predecessors(fleet, name)))
            self.assertEqual(rings.SUCCESSOR_COUNT, len(watched))
