"""Operators see, explain, abort and drain over the command line."""

import json
import pathlib
import re
import tempfile
import unittest

import gevent
from gevent import socket

from carobfork import exceptions
from carobfork.inspections import inspectors, metrics, state_dumps
from carobfork_standins import labs, layouts
from tests import test_commands

METRICS_PAGE = pathlib.Path(__file__).parent.parent / 'docs/METRICS.md'
DUMP_BYTES = 60_000
CROWD = 24
PATIENCE_SECONDS = 60


class InspectionTest(unittest.TestCase):
    """One deployment is looked at from all sides."""

    @classmethod
    def setUpClass(cls):
        """Start two entry hosts."""
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        layout = layouts.Layout(entries=2, engines=1)
        cls.lab = cls.enterClassContext(labs.Lab(folder.name, layout))
        cls.at = ','.join(
            str(layout.operator_address(name)) for name in layout.entry_names
        )
        cls.entries = cls.at.split(',')

    def command(self, *words):
        """Run a command for scripts; return its fields."""
        code, out, err = test_commands.run(*words, '--json')
        self.assertEqual(code, 0, err)
        return json.loads(out)

    def open(self, entry='entry-1'):
        """Open a program at an entry host and run two calls."""
        program = self.lab.session(entry, attempts=1).open('quote')
        program.ask(layouts.MODEL, 'Which rail?', key='k1', max_tokens=4)
        program.call(layouts.SERVICE, '/deposit', b'20', key='k2')
        return program

    def test_state_dump_has_all_sections(self):
        """Every process gives a dump; an entry host's has all sections."""
        self.open()
        state = self.command('state', 'dump', self.entries[0])
        self.assertLessEqual(set(state_dumps.SECTIONS), set(state))
        self.assertIn('bundle_version', state)
        for name in ('platform', 'engine-1', 'service-1'):
            address = str(self.lab.processes[name].address)
            self.assertTrue(self.command('state', 'dump', address))

    def test_state_is_readable_and_bounded_when_overloaded(self):
        """All callers' connections are taken, yet the dump comes."""
        address = self.lab.processes['entry-2'].address
        taken = [
            socket.create_connection((address.ip, address.port))
            for _ in range(420)
        ]
        for _ in range(state_dumps.MEMBERS_LIMIT + 20):
            self.lab.session('entry-1', attempts=1).open('quote')
        states = [
            self.command('state', 'dump', entry) for entry in self.entries
        ]
        for peer in taken:
            peer.close()
        self.assertGreaterEqual(states[1]['listener']['open_connections'], 400)
        for state in states:
            self.assertLess(len(json.dumps(state)), DUMP_BYTES)

    def test_explanation_of_a_refusal(self):
        """A refusal is explained by any operator who asks all hosts."""
        program = self.open('entry-2')
        with self.assertRaises(exceptions.KeyReuseError):
            program.call(layouts.SERVICE, '/deposit', b'30', key='k2')
        words = '\n'.join(
            self.command('explain', program.identifier, self.at)['sentences']
        )
        for expected in (
            'kind quote',
            'rank urgent',
            '2 of 200 calls',
            'waits for a slot of model talk',
            'got a slot on engine-1',
            'call k2 was answered by service-1 with status 200',
            'call k2 ended with key_reuse',
        ):
            self.assertIn(expected, words)
        self.assertNotIn(program.token, words)

    def test_explanation_of_a_wait(self):
        """A call that has no slot yet is said to wait for one."""
        session = self.lab.session('entry-1', attempts=1)
        opened = [session.open('quote') for _ in range(CROWD)]
        self.lab.freeze('engine-1')
        asking = [
            gevent.spawn(program.ask, layouts.MODEL, 'How wide?')
            for program in opened
        ]
        try:
            waiting = self.wait_for(lambda: self.find_waiting(opened))
        finally:
            self.lab.thaw('engine-1')
            gevent.joinall(asking, timeout=PATIENCE_SECONDS)
        self.assertIn('a slot of model talk in rank 0', waiting)

    def find_waiting(self, opened):
        """Return the last decision about a program that waits, if any."""
        for program in opened:
            found = self.command('explain', program.identifier, self.at)
            last = found['sentences'][-1]
            if 'waits for' in last:
                return last
        return ''

    def wait_for(self, find):
        """Return what is found once it is there."""
        with gevent.Timeout(PATIENCE_SECONDS):
            while not (found := find()):
                gevent.sleep(0.1)
        return found

    def test_foreign_caller_leaves_no_trace(self):
        """A caller with a wrong token does not fill another's log."""
        program = self.open()
        program.token = 'stolen'
        with self.assertRaises(exceptions.ForbiddenError):
            program.call(layouts.SERVICE, '/deposit', b'30', key='k9')
        with self.assertRaises(exceptions.BadRequestError):
            program.call(layouts.SERVICE, '/nothing', b'30', key='k9 x')
        found = self.command('explain', program.identifier, self.at)
        self.assertNotIn('k9', str(found))

    def test_abort(self):
        """An aborted program takes no calls; its caller is told why."""
        program = self.open()
        shown = self.command('program', 'show', program.identifier, self.at)
        self.assertEqual(shown['closed_reason'], '')
        self.assertEqual(shown['calls']['count'], 2)
        reason = 'stuck in a loop'
        self.command(
            'program', 'abort', program.identifier, self.at, '--reason', reason
        )
        with self.assertRaises(exceptions.ProgramClosedError) as caught:
            program.call(layouts.SERVICE, '/deposit', b'30', key='k3')
        self.assertIn(reason, caught.exception.message)
        found = self.command('explain', program.identifier, self.at)
        self.assertIn('was stopped: stuck in a loop', str(found))

    def test_unknown_program(self):
        """A program that no host knows is refused with a code."""
        code, _, err = test_commands.run('explain', 'entry-1.1.x', self.at)
        self.assertEqual(code, 5)
        self.assertIn('unknown_program', err)

    def test_bundle_status(self):
        """The version in force is told for the platform and each host."""
        platform = str(self.lab.processes['platform'].address)
        found = self.command('bundle', 'status', platform, self.at)
        self.assertTrue(found['everywhere'])
        self.assertEqual([host['version'] for host in found['hosts']], [1, 1])

    def test_metrics(self):
        """All metrics are served, and no label names a program."""
        program = self.open()
        body = self.read_metrics()
        for name in metrics.METRICS:
            self.assertIn(f'# TYPE {metrics.PREFIX}{name} ', body)
        self.assertIn('carobfork_requests_total{code="",outcome="done"}', body)
        self.assertNotIn(program.identifier, body)
        self.assertLess(body.count('\n'), 300)

    def read_metrics(self):
        """Return the metrics as the operators' endpoint serves them."""
        ip, port = self.entries[0].split(':')
        with socket.create_connection((ip, int(port))) as peer:
            peer.sendall(b'GET /metrics HTTP/1.0\r\n\r\n')
            with peer.makefile() as answer:
                return answer.read()


class DrainTest(unittest.TestCase):
    """A drained host stops by itself."""

    def test_drain(self):
        """The process ends with exit code 0 and the other one serves on."""
        layout = layouts.Layout(entries=2, engines=1)
        with tempfile.TemporaryDirectory() as folder:
            with labs.Lab(folder, layout) as lab:
                address = str(layout.operator_address('entry-1'))
                code, _, err = test_commands.run('host', 'drain', address)
                self.assertEqual(code, 0, err)
                self.assertEqual(lab.processes['entry-1'].wait(), 0)
                lab.session('entry-2').open('quote').close()


class TakeoverTest(unittest.TestCase):
    """A program that moved is explained by the host that has it."""

    def test_moved_program(self):
        """After its host died, another one says that it took over."""
        layout = layouts.Layout(entries=3, engines=1)
        with tempfile.TemporaryDirectory() as folder:
            with labs.Lab(folder, layout) as lab:
                program = lab.session('entry-1').open('quote')
                lab.kill('entry-1')
                at = ','.join(
                    str(layout.operator_address(name))
                    for name in layout.entry_names
                )
                out = self.await_explanation(program.identifier, at)
        self.assertIn('was opened at entry-1.1, which this host took over', out)

    def await_explanation(self, program, at):
        """Ask until a host knows the program."""
        with gevent.Timeout(PATIENCE_SECONDS):
            while True:
                code, out, _ = test_commands.run('explain', program, at)
                if not code:
                    return out
                gevent.sleep(0.2)


class MetricsPageTest(unittest.TestCase):
    """The page lists what is served."""

    def test_page_lists_each_metric(self):
        """No metric is missing from the page, none is listed in vain."""
        self.assertTrue(inspectors.HostInspector)
        listed = re.findall(
            '^. `carobfork_([a-z_]+)', METRICS_PAGE.read_text(), re.M
        )
        self.assertEqual(sorted(listed), sorted(metrics.METRICS))

    def test_names_follow_the_conventions(self):
        """Counters end in _total; units are base units."""
        for name, metric in metrics.METRICS.items():
            is_counter = metric.kind.__name__ == 'Counter'
            self.assertEqual(name.endswith('_total'), is_counter, name)
            self.assertNotRegex(name, '_(ms|kb|mb|minutes)(_|$)')
