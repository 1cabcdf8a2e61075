"""Invalid arguments or settings must not start a role.

Guards against processes that start partly, or that fail with a traceback.
"""

import os
import subprocess
import sys
import unittest


class RolesTest(unittest.TestCase):
    """Command line of the roles."""

    def run_role(self, *words, **variables):
        """Run the command line and return the completed process."""
        return subprocess.run(
            [sys.executable, '-m', 'carobfork.roles', *words],
            env={**os.environ, **variables},
            capture_output=True,
            text=True,
        )

    def test_wrong_words(self):
        """No role, an unknown one and too many arguments print the usage."""
        for words in ((), ('side',), ('front', 'store')):
            done = self.run_role(*words)
            self.assertEqual(done.returncode, 1)
            self.assertIn('usage', done.stderr)

    def test_wrong_settings(self):
        """Settings that can't be read are reported in one line."""
        done = self.run_role('store', CAROBFORK_SETTINGS='/no/such/file')
        self.assertEqual(done.returncode, 1)
        self.assertEqual(len(done.stderr.splitlines()), 1)
        self.assertIn('bad_settings', done.stderr)
