"""Test that ledgers rebuilt from records never allow overspending.

A takeover rebuilds ledgers from the journal. Attempts without an outcome may
have spent their whole reservation, so they must keep counting.
"""

import unittest

from carobfork import exceptions
from carobfork.state import budgets, bundles, programs, records, spending

PARENT = 'entry-1.1.parent'
CHILD = 'entry-1.1.child'
LIMIT = bundles.Budget(tokens=1000, calls=10, time_ms=5000)
SHARE = bundles.Budget(tokens=400, calls=4, time_ms=5000)


def opened(program, budget=LIMIT, parent=''):
    """Return the record of a program's opening."""
    return records.ProgramOpened(program, 'quote', 'urgent', budget, '', parent)


def dispatched(program, key, tokens, attempt=1):
    """Return the record of an attempt at a model call."""
    return spending.CallDispatched(
        program, key, '', 'talk/engine-1', attempt, tokens
    )


def answered(program, key, tokens):
    """Return the record of an answer."""
    return records.AnswerRecorded(
        program, key, '', 'talk/engine-1', 200, b'', '', tokens
    )


class LedgerRecordsTest(unittest.TestCase):
    """Tests of ledgers that are rebuilt from records."""

    def setUp(self):
        """Open a program with a sub-agent."""
        self.table = programs.ProgramTable()
        self.apply(opened(PARENT), opened(CHILD, SHARE, PARENT))
        self.parent = self.table.find(PARENT).ledger
        self.child = self.table.find(CHILD).ledger

    def apply(self, *entries):
        """Apply records in order."""
        for entry in entries:
            self.table.apply(entry)

    def test_share_is_held(self):
        """A sub-agent's budget is reserved at its parent."""
        self.assertEqual(self.parent.free_tokens, 600)
        self.assertEqual(self.parent.free_calls, 6)
        with self.assertRaises(exceptions.BudgetExceededError):
            self.parent.reserve('x', budgets.Reservation(601))

    def test_open_call_counts_in_full(self):
        """A call without an outcome stays reserved and counts as spent."""
        self.apply(dispatched(CHILD, 'k', 300))
        self.assertEqual(self.child.free_tokens, 100)
        self.apply(records.ProgramClosed(CHILD, 'its host died'))
        self.assertEqual(self.parent.spent_tokens, 300)
        self.assertEqual(self.parent.free_tokens, 700)

    def test_answer_settles(self):
        """An answer replaces the reservation of its attempt."""
        self.apply(dispatched(CHILD, 'k', 300), answered(CHILD, 'k', 120))
        self.assertEqual(self.child.free_tokens, 280)
        self.assertEqual(self.child.spent_calls, 1)
        self.apply(records.ProgramClosed(CHILD, 'done'))
        self.assertEqual(self.parent.free_tokens, 880)

    def test_lost_attempt_counts_beside_the_next(self):
        """An attempt that a failed host left open stays reserved."""
        self.apply(
            dispatched(CHILD, 'k', 150),
            dispatched(CHILD, 'k', 150, attempt=2),
            answered(CHILD, 'k', 90),
        )
        self.assertEqual(self.child.free_tokens, 400 - 150 - 90)

    def test_failed_attempt(self):
        """A failed attempt spends its tokens but does not count as a call."""
        self.apply(
            dispatched(CHILD, 'k', 150),
            spending.AttemptFailed(CHILD, 'k', 1, 150),
            dispatched(CHILD, 'k', 150, attempt=2),
            answered(CHILD, 'k', 90),
        )
        self.assertEqual(self.child.spent_tokens, 240)
        self.assertEqual(self.child.spent_calls, 1)

    def test_intent_counts_until_withdrawn(self):
        """A call that may have run counts, while a withdrawn one does not."""
        self.apply(records.IntentRecorded(CHILD, 'k', '', 'orders'))
        self.assertEqual(self.child.free_calls, 3)
        self.apply(records.IntentWithdrawn(CHILD, 'k'))
        self.assertEqual(self.child.free_calls, 4)

    def test_time_never_goes_back(self):
        """Older records of time are ignored, and spent time refuses calls."""
        self.child.spent_time_ms = 5000
        self.apply(spending.TimeSpent({CHILD: 4000}))
        self.assertEqual(self.child.spent_time_ms, 5000)
        with self.assertRaises(exceptions.BudgetExceededError):
            self.child.reserve('x', budgets.Reservation(0))

    def test_keys_can_not_take_a_share_over(self):
        """A call key that looks like a share identifier does not replace it."""
        name = budgets.share_reservation_id(CHILD)
        self.apply(records.IntentRecorded(PARENT, name, '', 'orders'))
        self.assertEqual(self.parent.free_tokens, 600)
