"""Test bundle checks, rollouts and the exchange with peers.

The tests guard against inconsistent, older or forged bundles in force, and
against rollouts that overwrite each other.
"""

import json
import unittest

import attrs

from carobfork import exceptions
from carobfork.coordination import (
    bundle_checks,
    bundle_peers,
    control,
    rollouts,
)
from carobfork.protocol import documents
from carobfork.state import bundles
from carobfork_standins import layouts
from tests import peer_links, stores

ADDRESSES = tuple(bundles.Address(f'127.0.0.{last}', 1) for last in (1, 2, 3))
FORGED = b'//forged'


class PlainReader:
    """Read JSON bundles; those that start with ``FORGED`` are unsigned."""

    def read(self, envelope):
        """Return the bundle."""
        if envelope.startswith(FORGED):
            raise exceptions.SettingsError('not signed by the operators')
        return documents.parse(envelope.decode(), bundles.Bundle, 'bundle')

    def claimed_version(self, envelope):
        """Return the version whatever the signature."""
        text = envelope.removeprefix(FORGED).decode()
        return documents.parse(text, bundles.Bundle, 'bundle').version


def forged_envelope(version):
    """Return the envelope of a bundle that the operators did not sign."""
    return b''.join([FORGED, envelope_of(version)])


def envelope_of(version, tokens=1000):
    """Return the envelope of a bundle."""
    bundle = layouts.Layout().bundle(version)
    kinds = tuple(
        attrs.evolve(kind, budget=bundles.Budget(tokens, 1, 1))
        for kind in bundle.programs
    )
    bundle = attrs.evolve(bundle, programs=kinds)
    return json.dumps(documents.to_fields(bundle)).encode()


class RacingStore(stores.ManualStore):
    """Let another operator act before the next update."""

    def __init__(self, faults):
        """Start without another operator."""
        super().__init__(faults)
        self.interloper = None

    def update(self, key, body, expected_version):
        """Replace an object after the other operator has acted."""
        interloper = self.interloper
        self.interloper = None
        if interloper is not None:
            interloper()
        return super().update(key, body, expected_version)


class BundleChecksTest(unittest.TestCase):
    """All inconsistencies of a bundle are reported together."""

    def problems(self, **changes):
        """Return what is wrong with the lab's bundle after changes."""
        bundle = attrs.evolve(layouts.Layout().bundle(), **changes)
        with self.assertRaises(exceptions.SettingsError) as caught:
            bundle_checks.verify(bundle, 'bundle')
        return caught.exception.message

    def test_right_bundle_passes(self):
        """The lab's bundle has no problems."""
        bundle_checks.verify(layouts.Layout().bundle(), 'bundle')

    def test_all_problems_at_once(self):
        """Every problem is named with its path."""
        good = layouts.Layout().bundle()
        message = self.problems(
            ranks=(bundles.Rank('urgent', 0.9), bundles.Rank('urgent', 0.9)),
            models=(bundles.Model('talk', ()),),
            services=(attrs.evolve(good.services[0], servers=()),),
            policy=bundles.Policy(order='by_name', placement='nowhere'),
        )
        for part in (
            'bundle.ranks: name "urgent" occurs 2 times',
            'bundle.ranks: the shares sum to 1.8, more than 1',
            'bundle.programs[2].rank: "routine" is not a rank, allowed: urgent',
            'bundle.models[0].workers: must not be empty',
            'bundle.services[0].servers: must not be empty',
            'bundle.policy.order: "by_name" is unknown',
            'bundle.policy.placement: "nowhere" is unknown',
        ):
            self.assertIn(part, message)

    def test_repeated_backend_and_operation(self):
        """Servers and operations are unique, also across services."""
        service = layouts.Layout().bundle().services[0]
        worker = bundles.Worker(service.servers[0].name, ADDRESSES[0])
        doubled = attrs.evolve(service, operations=service.operations * 2)
        message = self.problems(
            models=(bundles.Model('talk', (worker,)),), services=(doubled,)
        )
        self.assertIn('name "service-1" occurs 2 times', message)
        self.assertIn('target "POST /cut" occurs 2 times', message)


class RolloutTest(unittest.TestCase):
    """A rollout is one conditional update, verified by reading back."""

    def setUp(self):
        """Start with version 1 in force."""
        self.store = RacingStore(faults=[])
        self.roll(envelope_of(1))

    def roll(self, envelope):
        """Roll out a bundle."""
        return rollouts.Rollout(self.store, PlainReader(), envelope).run()

    def head(self):
        """Return the head object's body."""
        return self.store.fetch(control.BUNDLE_KEY).body

    def test_loser_learns_the_winner(self):
        """Of two bundles of one version the first is in force."""
        winner = envelope_of(2, tokens=1)
        self.store.interloper = lambda: self.roll(winner)
        with self.assertRaises(exceptions.ConflictError) as caught:
            self.roll(envelope_of(2, tokens=2))
        self.assertEqual(2, caught.exception.current_version)
        self.assertEqual(winner, self.head())

    def test_higher_version_wins_after_a_race(self):
        """A rollout that lost a race to a lower version is retried."""
        self.store.interloper = lambda: self.roll(envelope_of(2))
        self.assertEqual(3, self.roll(envelope_of(3)).version)
        self.assertEqual(envelope_of(3), self.head())

    def test_lost_answer_is_read_back(self):
        """An update without answer is found in force, and not repeated."""
        self.store = RacingStore(faults=['', '', '', 'lose'])
        self.roll(envelope_of(1))
        self.assertEqual(2, self.roll(envelope_of(2)).version)
        self.assertEqual(2, self.store.writes)

    def test_forged_head_is_replaced_from_above(self):
        """A head of another key gives way to a version above its claim."""
        found = self.store.fetch(control.BUNDLE_KEY)
        forged = forged_envelope(5)
        self.store.update(control.BUNDLE_KEY, forged, found.version)
        with self.assertRaises(exceptions.ConflictError):
            self.roll(envelope_of(5))
        self.assertEqual(6, self.roll(envelope_of(6)).version)


class BundlePeersTest(unittest.TestCase):
    """A host learns the newest bundle that its peers have."""

    def setUp(self):
        """Build a host without a bundle."""
        self.link = peer_links.MemoryLink()
        self.holder = control.BundleHolder()
        self.gate = control.BundleGate(PlainReader(), self.holder)
        self.peers = bundle_peers.BundlePeers(self.link, self.holder, self.gate)
        self.seen = []
        self.holder.subscribe(lambda bundle: self.seen.append(bundle.version))
        self.given = {}
        self.link.request = self.request

    def request(self, address, message, timeout_ms):
        """Answer as the test says."""
        if address not in self.given:
            raise exceptions.ConnectionFailedError('silent', sent=True)
        return self.given[address]

    def give(self, index, version, envelope):
        """Let a peer give an envelope."""
        self.given[ADDRESSES[index]] = bundle_peers.BundleGiven(
            version, envelope
        )

    def test_older_bundle_is_never_in_force(self):
        """Of several answers only the highest version counts."""
        self.give(0, 2, envelope_of(2))
        self.give(2, 3, envelope_of(3))
        self.peers.ask(ADDRESSES)
        self.assertEqual([3], self.seen)
        self.give(2, 1, envelope_of(1))
        self.peers.ask(ADDRESSES)
        self.assertEqual([3], self.seen)

    def test_forged_bundle_of_a_peer_is_refused(self):
        """What a peer gives is checked like what the platform gives."""
        self.give(0, 9, forged_envelope(9))
        self.give(1, 2, envelope_of(2))
        self.peers.ask(ADDRESSES)
        self.assertEqual([2], self.seen)

    def test_only_newer_is_given(self):
        """A peer that has the version gets no envelope."""
        self.gate.offer(envelope_of(4))
        asked = bundle_peers.BundleAsked
        self.assertEqual(b'', self.peers.answer(asked(4)).envelope)
        self.assertEqual(envelope_of(4), self.peers.answer(asked(3)).envelope)

    def test_late_subscriber_gets_the_bundle_in_force(self):
        """A listener added after the bundle gets it immediately."""
        self.gate.offer(envelope_of(4))
        late = []
        self.holder.subscribe(late.append)
        self.assertEqual(4, late[0].version)
