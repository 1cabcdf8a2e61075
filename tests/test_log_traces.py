"""Test how a request is followed through the logs of several hosts."""

import json
import pathlib
import tempfile
import unittest

from tests import test_commands

START = '2026-12-04T15:00:0{}Z'


def line(seconds, event, **fields):
    """Return a line of a log."""
    stamp = START.format(seconds)
    return json.dumps({'event': event, 'timestamp': stamp, **fields})


class LogTraceTest(unittest.TestCase):
    """The command that follows a request, on logs of two hosts."""

    def setUp(self):
        """Write the logs."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.write(
            'front-1',
            line(2, 'request ended', request='r1', program='p', worker='w1'),
            'Traceback of the runtime',
            line(3, 'worker avoided', worker='w1'),
            line(3, 'worker avoided', worker='w9'),
            line(9, 'worker gone', worker='w1'),
        )
        self.write(
            'front-2',
            line(1, 'trying another worker', request='r1', worker='w2'),
            '{"cut off',
            line(1, 'link is down', peer='store-1'),
            line(2, 'request ended', request='r2', program='p'),
        )

    def write(self, host, *lines):
        """Write a host's log."""
        (self.folder / f'{host}.log').write_text('\n'.join(lines))

    def trace(self, identifier):
        """Return the hosts and events of a trace, and the exit code."""
        code, out, err = test_commands.run(
            'logs', 'trace', identifier, str(self.folder), '--json'
        )
        lines = json.loads(out)['lines'] if out else json.loads(err)
        return code, [(found['host'], found['event']) for found in lines]

    def test_a_request(self):
        """Its lines and those of its workers and hosts, by time."""
        code, found = self.trace('r1')
        self.assertEqual(code, 0)
        self.assertEqual(
            found,
            [
                ('front-2', 'trying another worker'),
                ('front-2', 'link is down'),
                ('front-1', 'request ended'),
                ('front-1', 'worker avoided'),
            ],
        )

    def test_a_program(self):
        """The requests of a program on all hosts."""
        _code, found = self.trace('p')
        self.assertEqual(found.count(('front-2', 'request ended')), 1)
        self.assertEqual(found.count(('front-1', 'request ended')), 1)

    def test_an_unknown_request(self):
        """It is a clear error, with an exit code."""
        code, out, err = test_commands.run(
            'logs', 'trace', 'r7', str(self.folder)
        )
        self.assertEqual((code, out), (5, ''))
        self.assertIn("'r7'", err)

    def test_a_folder_without_logs(self):
        """So is a folder that holds none."""
        code, _out, err = test_commands.run(
            'logs', 'trace', 'r1', str(self.folder / 'none')
        )
        self.assertEqual(code, 3)
        self.assertIn('.log', err)
