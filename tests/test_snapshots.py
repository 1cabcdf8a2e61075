"""Test the exchange of platform snapshots between hosts by deltas."""

import unittest

from carobfork.storage import snapshots

BEFORE = snapshots.Snapshot(5, {'a': (2, b'a'), 'b': (5, b'b')})
AFTER = snapshots.Snapshot(8, {'a': (2, b'a'), 'c': (7, b'c')})


class SnapshotsTest(unittest.TestCase):
    """Two hosts, one of which has an older snapshot."""

    def test_only_changes_are_told(self):
        """A delta names unchanged objects but does not contain them."""
        delta = AFTER.delta_since(5)
        self.assertEqual(delta.entries, {'c': (7, b'c')})
        self.assertEqual(BEFORE.apply(delta), AFTER)

    def test_a_change_that_leaves_too_much_out(self):
        """A delta that omits objects unknown here is not applied.

        Applying it would drop these objects until their next change; the host
        has to request the full snapshot.
        """
        cache = snapshots.SnapshotCache()
        updated_kinds, is_complete = cache.merge({'k': AFTER.delta_since(5)})
        self.assertEqual((updated_kinds, is_complete), ([], False))
        updated_kinds, is_complete = cache.merge({'k': AFTER.delta_since(-1)})
        self.assertEqual((updated_kinds, is_complete), (['k'], True))

    def test_older_notes_change_nothing(self):
        """Snapshots and deltas of a host that lags behind are ignored."""
        cache = snapshots.SnapshotCache({'k': AFTER})
        self.assertFalse(cache.put('k', BEFORE))
        self.assertEqual(cache.merge({'k': BEFORE.delta_since(-1)}), ([], True))
        self.assertFalse(cache.is_behind({'k': 5}))
        self.assertTrue(cache.is_behind({'other': 1}))
        self.assertEqual(cache.deltas_since({'k': 8}), {})
