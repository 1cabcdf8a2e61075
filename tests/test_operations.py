"""Operations page: from a failed request's identifier to its cause."""

import contextlib
import unittest

from structlog import testing

from carobfork_standins import configurations, plain_calls
from tests import platform_hosts
from tests.platform_hosts import wait_until


class OperationsTest(unittest.TestCase):
    """Three kinds of failed request, each explained by its own lines."""

    @classmethod
    def setUpClass(cls):
        """Start a deployment."""
        cls.stack = contextlib.ExitStack()
        cls.hosts = cls.stack.enter_context(platform_hosts.Deployment())

    @classmethod
    def tearDownClass(cls):
        """Stop the deployment."""
        cls.stack.close()

    def tearDown(self):
        """Mend the backends."""
        for backend in self.hosts.backends.values():
            backend.faults = type(backend.faults)()

    def ended(self, attempt, ask):
        """Send a request and return its closing line."""
        with testing.capture_logs() as lines:
            ask(attempt)
            wait_until(
                lambda: [
                    line
                    for line in lines
                    if line.get('request') == attempt
                    and line['event'] == 'request ended'
                ],
                'the closing line',
            )
        return next(
            line
            for line in lines
            if line.get('request') == attempt
            and line['event'] == 'request ended'
        )

    def test_refused_under_load(self):
        """The line says that nothing ran, and what the servers said."""
        for backend in self.hosts.backends.values():
            backend.faults.full = True
        line = self.ended(
            plain_calls.new_attempt(),
            lambda attempt: self.hosts.ask(
                '/order/1', method='POST', attempt=attempt
            ),
        )
        self.assertEqual((line['outcome'], line['runs']), ('not_run', 0))
        self.assertIn('overloaded', line['reason'])
        self.assertIn(configurations.TOOLS, line['reason'])

    def test_answered_with_bad_gateway(self):
        """The line names the worker and what broke."""
        for backend in self.hosts.backends.values():
            backend.faults.drop_answer = True
        line = self.ended(
            plain_calls.new_attempt(),
            lambda attempt: self.hosts.ask(
                '/order/1', method='POST', attempt=attempt
            ),
        )
        self.assertEqual(line['outcome'], 'unknown')
        self.assertIn('broken_answer', line['reason'])
        self.assertIn(line['worker'], line['reason'])

    def test_a_turn_without_its_history(self):
        """The line tells an unknown turn from store hosts out of reach."""
        headers = {'X-Previous-Turn': 'never'}
        line = self.ended(
            plain_calls.new_attempt(),
            lambda attempt: self.hosts.turn(
                'p1', headers=headers, attempt=attempt
            ),
        )
        self.assertIn('no such turn', line['reason'])
        self.assertEqual(line['worker'], '')
