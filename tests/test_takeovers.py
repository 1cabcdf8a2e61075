"""Test takeovers and compactions on one store.

The tests guard against programs that are lost or owned twice when hosts fail
before, during or after a takeover, and when journals are compacted.
"""

import unittest
from unittest import mock

from carobfork import exceptions
from carobfork.coordination import (
    appenders,
    compactions,
    journals,
    takeovers,
)
from carobfork.state import records
from tests import recording_hosts, stores


@mock.patch.object(appenders, 'RETRY_DELAY_MS', 0)
@mock.patch.object(takeovers, 'JITTER_MS', 0)
@mock.patch.object(journals, 'COMMIT_INTERVAL_MS', 0)
class TakeoverTest(unittest.TestCase):
    """Hosts that take over each other's programs on one store."""

    def setUp(self):
        """Start three hosts, the first with a program of one turn."""
        self.store = stores.ManualStore()
        self.first = recording_hosts.Host('entry-1', self.store)
        self.second = recording_hosts.Host('entry-2', self.store)
        self.third = recording_hosts.Host('entry-3', self.store)
        self.program = self.first.open()
        self.first.answer(self.program, 'turn 1')

    def tearDown(self):
        """Stop all hosts."""
        for host in (self.first, self.second, self.third):
            host.die()

    def test_one_write_a_host(self):
        """A takeover costs the same writes for any number of programs."""
        for _ in range(20):
            self.first.open()
        before = self.store.writes
        self.second.takeovers.suspect(self.first.own)
        self.second.takeovers.step()
        # The adoption, the seal and the host object.
        self.assertEqual(self.store.writes - before, 3)
        self.assertEqual(len(self.second.table.programs), 21)
        self.assertEqual(self.second.history(self.program), ['turn 1'])
        self.assertEqual(
            self.second.stored_host().adopted,
            (self.first.incarnation,),
        )

    def test_one_of_two_takers_wins(self):
        """The loser has no programs, and the former owner cannot append."""
        dead = self.first.incarnation
        self.assertTrue(self.third.takeovers.take(dead))
        self.assertFalse(self.second.takeovers.take(dead))
        self.assertEqual(self.second.table.programs, {})
        with self.assertRaises(exceptions.SealedError):
            self.first.answer(self.program, 'turn 2')

    def test_a_taken_host_goes_on_empty(self):
        """A host that was taken over continues as an empty incarnation."""
        former = self.first.incarnation
        self.second.takeovers.take(former)
        with self.assertRaises(exceptions.SealedError):
            self.first.answer(self.program, 'turn 2')
        self.first.takeovers.step()
        self.assertEqual(self.first.incarnation.number, former.number + 1)
        self.assertEqual(self.first.table.programs, {})
        self.assertEqual(self.first.stored_host().predecessors, ())
        other = self.first.open()
        self.first.answer(other, 'turn 1')
        self.assertEqual(self.first.history(other), ['turn 1'])

    def test_the_taker_dies_too(self):
        """The next takeover gets the adopted and the later records."""
        self.second.takeovers.take(self.first.incarnation)
        self.second.answer(self.program, 'turn 2')
        self.third.takeovers.take(self.second.incarnation)
        self.third.answer(self.program, 'turn 3')
        self.assertEqual(
            self.third.history(self.program),
            ['turn 1', 'turn 2', 'turn 3'],
        )
        self.assertEqual(
            self.third.takeovers.adopted,
            {self.first.incarnation, self.second.incarnation},
        )

    def test_the_taker_dies_before_the_seal(self):
        """The next host creates the missing seal, which keeps others out."""
        adoption = records.Adopted(self.first.incarnation)
        self.second.home.journal.append(adoption, 1000)
        self.third.takeovers.take(self.second.incarnation)
        self.assertEqual(self.third.history(self.program), ['turn 1'])
        self.assertFalse(self.second.takeovers.take(self.first.incarnation))

    def test_the_taker_dies_after_the_seal(self):
        """A seal without a published adoption loses nothing."""
        adoption = records.Adopted(self.first.incarnation)
        self.second.home.journal.append(adoption, 1000)
        self.second.sealer.seal(
            self.first.incarnation,
            self.second.incarnation,
        )
        self.assertFalse(self.third.takeovers.take(self.first.incarnation))
        self.third.takeovers.take(self.second.incarnation)
        self.assertEqual(self.third.history(self.program), ['turn 1'])

    def test_a_lost_adoption_counts_for_nothing(self):
        """An adoption without the seal passes no programs on."""
        adoption = records.Adopted(self.first.incarnation)
        self.second.home.journal.append(adoption, 1000)
        self.third.takeovers.take(self.first.incarnation)
        self.third.answer(self.program, 'turn 2')
        fourth = recording_hosts.Host('entry-4', self.store)
        fourth.takeovers.take(self.second.incarnation)
        fourth.die()
        self.assertEqual(fourth.table.programs, {})

    def test_a_restart_adopts_all_earlier_lives(self):
        """A restart adopts incarnations that no earlier restart adopted."""
        self.first.die()
        between = recording_hosts.Host('entry-1', self.store)
        between.die()
        last = recording_hosts.Host('entry-1', self.store)
        last.takeovers.step()
        last.die()
        self.assertEqual(last.history(self.program), ['turn 1'])
        self.assertEqual(last.stored_host().predecessors, ())
        self.assertEqual(len(last.stored_host().adopted), 2)

    def test_waits_for_the_platform(self):
        """Nothing is taken over while the platform is down."""
        self.second.takeovers.suspect(self.first.own)
        self.store.down = True
        self.second.takeovers.step()
        self.assertEqual(self.second.table.programs, {})
        self.assertEqual(
            self.second.takeovers.suspects,
            [str(self.first.incarnation)],
        )
        self.store.down = False
        self.second.takeovers.step()
        self.assertEqual(self.second.history(self.program), ['turn 1'])

    def test_one_failure_keeps_no_other(self):
        """A journal that cannot be sealed does not delay other takeovers."""
        self.second.takeovers.suspect(self.third.own)
        self.second.takeovers.suspect(self.first.own)
        broken = f'journal/{self.third.incarnation}/'
        listed = self.store.list_keys

        def fail(prefix):
            if prefix == broken:
                raise exceptions.PlatformError('no answer')
            return listed(prefix)

        with mock.patch.object(self.store, 'list_keys', fail):
            self.second.takeovers.step()
        self.assertEqual(self.second.history(self.program), ['turn 1'])
        self.assertIn(
            self.first.incarnation,
            self.second.stored_host().adopted,
        )

    def test_who_comes_back_is_left_alone(self):
        """A host that is alive again is not taken over."""
        self.second.members.registered().append(self.first.own)
        self.second.takeovers.suspect(self.first.own)
        self.second.takeovers.step()
        self.assertEqual(self.second.takeovers.suspects, [])
        self.first.answer(self.program, 'turn 2')


@mock.patch.object(journals, 'COMMIT_INTERVAL_MS', 0)
@mock.patch.object(compactions, 'DELETE_INTERVAL_MS', 0)
class CompactionTest(unittest.TestCase):
    """Compaction replaces segments by chunks without other effects."""

    def setUp(self):
        """Start two hosts, the first with a program of many turns."""
        self.store = stores.ManualStore()
        self.first = recording_hosts.Host('entry-1', self.store)
        self.second = recording_hosts.Host('entry-2', self.store)
        self.program = self.first.open()
        self.keys = [f'turn {number}' for number in range(30)]
        for key in self.keys:
            self.first.answer(self.program, key)

    def tearDown(self):
        """Stop all hosts."""
        self.first.die()
        self.second.die()

    def test_replaces_segments_by_chunks(self):
        """A takeover reads a few objects and finds every turn in order."""
        self.first.compactor.step(min_segments=1)
        self.first.answer(self.program, 'last')
        self.assertLess(len(self.store.stored), 10)
        self.second.takeovers.take(self.first.incarnation)
        self.assertEqual(
            self.second.history(self.program),
            [*self.keys, 'last'],
        )
        spent = self.second.table.find(self.program).ledger.spent_tokens
        self.assertEqual(spent, len(self.keys) + 1)

    def test_keeps_chunks_that_are_full(self):
        """A long history is not copied again with each compaction."""
        self.first.answer(self.program, 'long', 'x' * 500_000)
        self.first.compactor.step(min_segments=1)
        chunks = self.chunks()
        self.first.answer(self.program, 'more')
        self.first.compactor.step(min_segments=1)
        self.assertLess(chunks, self.chunks())
        self.second.takeovers.take(self.first.incarnation)
        self.assertEqual(
            self.second.history(self.program),
            [*self.keys, 'long', 'more'],
        )

    def test_merges_adopted_journals(self):
        """Segments of adopted journals are deleted except for the seal."""
        former = self.first.incarnation
        self.second.takeovers.take(former)
        self.second.answer(self.program, 'after')
        self.second.compactor.step(min_segments=1)
        left = self.second.sealer.reader.numbers(former)
        self.assertEqual(len(left), 1)
        third = recording_hosts.Host('entry-3', self.store)
        third.takeovers.take(self.second.incarnation)
        third.die()
        self.assertEqual(third.history(self.program), [*self.keys, 'after'])
        self.assertIn(former, third.takeovers.adopted)

    def test_drops_forgotten_programs(self):
        """The next compaction drops the chunks of forgotten programs."""
        self.first.compactor.step(min_segments=1)
        self.first.table.programs.pop(self.program)
        self.first.open()
        self.first.compactor.step(min_segments=1)
        self.second.takeovers.take(self.first.incarnation)
        self.assertNotIn(self.program, self.second.table.programs)
        self.assertEqual(len(self.second.table.programs), 1)

    def test_an_interrupted_compaction_changes_nothing(self):
        """Chunks without a manifest are not read."""
        with mock.patch.object(
            self.first.home.journal,
            'append',
            side_effect=exceptions.PlatformError('down'),
        ):
            with self.assertRaises(exceptions.PlatformError):
                self.first.compactor.step(min_segments=1)
        self.first.compactor.step(min_segments=1)
        self.assertEqual(len(self.chunks()), 1)
        self.second.takeovers.take(self.first.incarnation)
        self.assertEqual(self.second.history(self.program), self.keys)

    def chunks(self):
        """Return the keys of the chunks at the platform."""
        return set(self.store.list_keys('chunks/'))
