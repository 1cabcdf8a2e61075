"""Test the exchange of platform snapshots between hosts by deltas."""

import unittest

from carobfork.storage import snapshots

BEFORE = snapshots.Snapshot(5, {'a': (2, b'a'), 'b': (5, b'b')})
AFTER = snapshots.Snapshot(8, {'a': (2, b'a'), 'c': (7, b'c')})


class NotesTest(unittest.TestCase):
    """Two hosts, one of which has an older snapshot."""

    def test_only_changes_are_told(self):
        """A delta names unchanged objects but does not contain them."""
        change = AFTER.delta_since(5)
        self.assertEqual(change.entries, {'c': (7, b'c')})
        self.assertEqual(BEFORE.apply(change), AFTER)

    def test_a_change_that_leaves_too_much_out(self):
        """A delta that omits objects unknown here is not applied.

        Applying it would drop these objects until their next change; the host
        has to request the full snapshot.
        """
        notebook = snapshots.SnapshotCache()
        renewed, is_whole = notebook.merge({'k': AFTER.delta_since(5)})
        self.assertEqual((renewed, is_whole), ([], False))
        renewed, is_whole = notebook.merge({'k': AFTER.delta_since(-1)})
        self.assertEqual((renewed, is_whole), (['k'], True))

    def test_older_notes_change_nothing(self):
        """Snapshots and deltas of a host that lags behind are ignored."""
        notebook = snapshots.SnapshotCache({'k': AFTER})
        self.assertFalse(notebook.put('k', BEFORE))
        self.assertEqual(
            notebook.merge({'k': BEFORE.delta_since(-1)}), ([], True)
        )
        self.assertFalse(notebook.is_behind({'k': 5}))
        self.assertTrue(notebook.is_behind({'other': 1}))
        self.assertEqual(notebook.deltas_since({'k': 8}), {})
