"""Retry budgets: a flood of refusals brings few retries."""

import unittest

from carobfork import exceptions, retry_budgets

CALLS = 1000


def count_retries(budget, error):
    """Refuse every attempt of many calls and count the retries."""
    retries = 0
    for _ in range(CALLS):
        budget.earn()
        try:
            budget.spend(error)
        except exceptions.NotRunError:
            continue
        retries += 1
    return retries


class RetryBudgetTest(unittest.TestCase):
    """The budget of one session."""

    def setUp(self):
        """Start with a fresh budget."""
        self.budget = retry_budgets.RetryBudget()

    def test_overload_brings_few_retries(self):
        """Retries stay at a tenth of the calls, and the first one."""
        retries = count_retries(self.budget, exceptions.OverloadedError('full'))
        self.assertLessEqual(retries, CALLS // 10 + 1)
        self.assertGreaterEqual(retries, CALLS // 10 - 1)

    def test_quiet_times_save_few_retries(self):
        """What is saved up is bounded."""
        for _ in range(CALLS):
            self.budget.earn()
        error = exceptions.OverloadedError('full')
        for _ in range(retry_budgets.MAX_SAVED_RETRIES):
            self.budget.spend(error)
        with self.assertRaises(exceptions.OverloadedError):
            self.budget.spend(error)

    def test_gone_host_is_retried(self):
        """A host that is gone is retried elsewhere, whatever the budget."""
        error = exceptions.StoppingError('gone')
        self.assertEqual(count_retries(self.budget, error), CALLS)
