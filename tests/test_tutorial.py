"""The tutorial's blocks run as they stand."""

import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

import gevent

from carobfork_standins import layouts

ROOT = pathlib.Path(__file__).parent.parent
BLOCK = re.compile('```sh\n(.*?)```', re.DOTALL)
PATIENCE_SECONDS = 180
PAGE_NETWORK = '127.0.9.'


class TutorialTest(unittest.TestCase):
    """A newcomer pastes the page into a shell."""

    def test_blocks_run_in_order(self):
        """From keys to an explained refusal and a drained host."""
        # Other test runs on this machine use other loopback networks.
        network = f'{layouts.Layout().network}.'
        page = (ROOT / 'docs/TUTORIAL.md').read_text()
        blocks = BLOCK.findall(page.replace(PAGE_NETWORK, network))
        self.assertEqual(len(blocks), page.count('```sh'))
        with tempfile.TemporaryDirectory() as folder:
            self.prepare(pathlib.Path(folder), network)
            shell = subprocess.Popen(
                ['bash', '-e', '-c', '\n'.join(blocks)],
                cwd=folder,
                env={**os.environ, 'MAKEFLAGS': '--touch'},
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                start_new_session=True,
            )
            printed = self.finish(shell)
        self.assertEqual(shell.returncode, 0, printed)
        for expected in (
            'Version 1 is in force.',
            'not_run key_reuse',
            'call deposit-1 ended with key_reuse',
            'bundle.ranks[urgent].share: 0.6 -> 0.7',
            'exit code 4',
            'is draining',
            'done',
        ):
            self.assertIn(expected, printed)

    def prepare(self, folder, network):
        """Set up what a clone has, on another loopback network."""
        (folder / 'settings').mkdir()
        for example in (ROOT / 'settings').glob('*.jsonc'):
            text = example.read_text().replace(PAGE_NETWORK, network)
            (folder / 'settings' / example.name).write_text(text)
        binaries = pathlib.Path(sys.executable).parent
        (folder / '.venv').symlink_to(binaries.parent)
        (folder / 'Makefile').write_text('.venv/installed:\n')

    def finish(self, shell):
        """Wait for the shell; end what is left of it."""
        try:
            with gevent.Timeout(PATIENCE_SECONDS):
                return shell.communicate()[0]
        finally:
            if shell.poll() is None:
                os.killpg(shell.pid, 9)
