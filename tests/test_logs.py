"""Logs name the call they concern and never what a program says."""

import json
import tempfile
import unittest

from carobfork import exceptions, logs
from carobfork_standins import labs, layouts

SAID = 'velvet-4711'
SERVED = 'clasp-8152'


class LogTest(unittest.TestCase):
    """A program is run and refused; then the logs are read."""

    def test_logs_of_a_program(self):
        """Lines are JSON with part and call; no text, token or key."""
        with tempfile.TemporaryDirectory() as directory:
            layout = layouts.Layout(entries=1, engines=1)
            with labs.Lab(directory, layout) as lab:
                program = self.run_program(lab)
            entry_log = lab.processes['entry-1'].log_path.read_text()
            written = ''.join(
                process.log_path.read_text()
                for process in lab.processes.values()
            )
            secrets = [
                json.loads((lab.directory / 'peers.key').read_text())['secret'],
                (lab.directory / 'operators.key').read_text().split('\n')[1],
                program.token,
                SAID,
                SERVED,
            ]
        for secret in secrets:
            self.assertNotIn(secret, written)
        self.check_lines(entry_log.splitlines(), program)

    def run_program(self, lab):
        """Run calls that succeed and calls that fail."""
        program = lab.session('entry-1', attempts=1, stream_attempts=1).open(
            'quote'
        )
        program.ask(layouts.MODEL, SAID, max_tokens=4)
        program.call(layouts.SERVICE, '/deposit', SERVED.encode())
        lab.stop('service-1')
        with self.assertRaises(exceptions.CarobforkError):
            program.call(layouts.SERVICE, '/cut', SERVED.encode(), key='cut-1')
        lab.stop('engine-1')
        with self.assertRaises(exceptions.CarobforkError):
            program.ask(layouts.MODEL, SAID, key='chat-2')
        program.close()
        return program

    def check_lines(self, lines, program):
        """Each line has the fixed fields, failures those of their call."""
        events = [json.loads(line) for line in lines]
        for event in events:
            self.assertLessEqual(
                {'timestamp', 'level', 'part', 'event'}, set(event)
            )
        failed = {
            event['call']: event
            for event in events
            if event['event'] == 'A request was refused.'
        }
        self.assertLessEqual({'cut-1', 'chat-2'}, set(failed))
        for event in failed.values():
            self.assertEqual(event['program'], program.identifier)
            self.assertEqual(event['peer'], '127.0.0.1')

    def test_secret_fields_are_replaced(self):
        """Even a line that names a secret field does not show it."""
        event = {'event': 'x', 'token': 't', 'part': 'y', 'body': b'z'}
        shown = logs.redact_secrets(None, 'info', event)
        self.assertEqual(shown['token'], logs.REDACTED)
        self.assertEqual(shown['body'], logs.REDACTED)
        self.assertEqual(shown['part'], 'y')
