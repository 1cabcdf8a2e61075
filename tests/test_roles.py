"""Invalid arguments or settings must not start a role.

Guards against processes that start partly, or that fail with a traceback.
"""

import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

SETTINGS = """
NodeName = "host-1"
Ip = "127.0.0.1"
Zone = "a"
Region = "r"
PortRange = [{port}, {port}]
Seeds = ["127.0.0.1:9"]
DataDir = "{folder}"
[Listen]
Front = "127.0.0.1:{port}"
Ready = "127.0.0.1:{port}"
Control = "127.0.0.1:{port}"
Directory = "127.0.0.1:{port}"
[Tolerate]
Machines = 1
[Bounds]
GraceS = 4
[Provider]
Address = "127.0.0.1:9"
"""


class RolesTest(unittest.TestCase):
    """Command line of the roles."""

    def setUp(self):
        """Create a folder."""
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

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

    def test_an_address_that_is_taken(self):
        """The line names the role and the address, without a traceback."""
        with socket.create_server(('127.0.0.1', 0)) as taken:
            address = taken.getsockname()
            text = SETTINGS.format(port=address[1], folder=self.folder)
            path = pathlib.Path(self.folder, 'settings.toml')
            path.write_text(text)
            for role in ('front', 'store'):
                done = self.run_role(role, CAROBFORK_SETTINGS=str(path))
                with self.subTest(role):
                    self.assertEqual(done.returncode, 1)
                    self.assertEqual(len(done.stderr.splitlines()), 1)
                    self.assertIn('not_started', done.stderr)
                    self.assertIn(role, done.stderr)
                    self.assertIn(str(address[1]), done.stderr)

    def test_wrong_settings(self):
        """Settings that can't be read are reported in one line."""
        done = self.run_role('store', CAROBFORK_SETTINGS='/no/such/file')
        self.assertEqual(done.returncode, 1)
        self.assertEqual(len(done.stderr.splitlines()), 1)
        self.assertIn('bad_settings', done.stderr)
