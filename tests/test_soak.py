"""Soak: its schedule, its proxy, its checks, and one short run."""

import contextlib
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

import attrs
import gevent
import msgspec
from gevent import server, socket

from tests import backends, configurations
from tests.soak import faults, fleets, proxies, records, runs, tenants

SEED = 1
SOUND_SEED = 8
SECONDS = 6
LIMIT_SECONDS = 300


class PortsTest(unittest.TestCase):
    """Ports of hosts that restart while other processes use the machine."""

    def test_no_connection_takes_a_port(self):
        """Ports are below those that the system gives to connections.

        Such a connection, or a host of another fleet, could take the port of
        a host while it restarts.
        """
        ports = [configurations.free_port() for _ in range(50)]
        self.assertEqual(len(set(ports)), len(ports))
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            self.assertLess(max(ports), probe.getsockname()[1])

    def test_no_other_test_process_takes_a_port(self):
        """Two processes get different ports while both run."""
        ports = {configurations.free_port() for _ in range(700)}
        found = subprocess.run(
            [
                sys.executable,
                '-c',
                'from tests import configurations;'
                'print(*[configurations.free_port() for _ in range(700)])',
            ],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertFalse(ports.intersection(map(int, found.stdout.split())))


class KeptLogsTest(unittest.TestCase):
    """What is left of a run that broke a promise."""

    def test_logs_and_settings_are_kept(self):
        """A failure that shows once can be traced afterwards."""
        with tempfile.TemporaryDirectory() as name:
            folder, kept = pathlib.Path(name, 'a'), pathlib.Path(name, 'b', 'c')
            folder.mkdir()
            for known in ('front-0.log', 'front-0.toml', 'other'):
                folder.joinpath(known).write_text('text')
            runs.keep_logs(folder, kept)
            self.assertEqual(
                sorted(path.name for path in kept.iterdir()),
                ['front-0.log', 'front-0.toml'],
            )


class LostDisksTest(unittest.TestCase):
    """When another disk may be lost."""

    def test_a_lost_disk_that_is_still_a_member(self):
        """The group is whole only with the disks that its hosts have.

        Otherwise a run loses two disks of three, which no fleet survives.
        """
        fleet = fleets.Fleet(self.folder())
        for number in range(fleets.STORES):
            folder = self.folder()
            identity = msgspec.msgpack.encode({'disk': f'd{number}'})
            (folder / 'identity').write_bytes(identity)
            fleet.stores[f'store-{number}'] = fleets.Host(None, None, folder)
        disks = ('d0', 'd1', 'lost')
        group = {'members': [{'disk': disk} for disk in disks], 'following': []}
        fleet.store.put('carobfork-storage', 'main', group)
        self.assertFalse(fleet.is_settled())
        group['members'][-1]['disk'] = 'd2'
        fleet.store.put('carobfork-storage', 'main', group)
        self.assertTrue(fleet.is_settled())

    def folder(self):
        """Return a new folder."""
        return pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))


class ScheduleTest(unittest.TestCase):
    """What a seed leads to."""

    def test_one_seed_is_one_schedule(self):
        """The same seed plans the same faults, another one others."""
        self.assertEqual(runs.plan(SEED, 30), runs.plan(SEED, 30))
        self.assertNotEqual(runs.plan(SEED, 30), runs.plan(SEED + 1, 30))

    def test_seeds_that_leave_all_sound(self):
        """They let servers pause and change time limits, and kill nothing."""
        kinds = {planned.kind for planned in runs.plan(SOUND_SEED, 30)}
        self.assertLessEqual({'backends_pause', 'change_timeouts'}, kinds)
        self.assertEqual(kinds, faults.SOUND)
        self.assertFalse(runs.is_sound(SEED))


class SoundSpansTest(unittest.TestCase):
    """What a fleet knows of the times at which it was sound."""

    def setUp(self):
        """Create a fleet that is not started."""
        self.fleet = fleets.Fleet(pathlib.Path())

    def test_a_disturbance(self):
        """A request under it or soon after it is not judged."""
        before = time.monotonic()
        with self.fleet.disturbed():
            during = time.monotonic()
        after = time.monotonic() + fleets.CONTACT_SECONDS
        self.assertTrue(self.fleet.is_sound(before - 2, before - 1))
        self.assertFalse(self.fleet.is_sound(before - 2, during))
        self.assertFalse(self.fleet.is_sound(during + 1, during + 2))
        self.assertTrue(self.fleet.is_sound(after + 1, after + 2))

    def test_time_limits(self):
        """Until a configuration is surely in force, the shorter limit holds."""
        self.fleet.configure(timeout_ms=1500)
        self.fleet.configure(timeout_ms=2600)
        self.fleet.configure()
        now = time.monotonic()
        later = now + fleets.CONFIG_SECONDS + 1
        self.assertEqual(self.fleet.time_limit_ms(now), 1500)
        self.assertEqual(self.fleet.time_limit_ms(later), 2600)


class ProxyTest(unittest.TestCase):
    """A proxy before a server that sends back what it gets."""

    def setUp(self):
        """Start both."""
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        target = ('127.0.0.1', configurations.free_port())
        echo = server.StreamServer(target, self.echo)
        echo.start()
        stack.callback(echo.stop, 0)
        self.address = ('127.0.0.1', configurations.free_port())
        self.proxy = stack.enter_context(proxies.Proxy(self.address, target))
        self.heard = []
        self.sock = socket.create_connection(self.address, timeout=30)
        stack.callback(self.sock.close)

    def echo(self, sock, _address):
        """Send back what comes."""
        received = sock.recv(100)
        while received:
            self.heard.append(received)
            sock.sendall(received)
            received = sock.recv(100)

    def test_bytes_pass(self):
        """Both ways."""
        self.sock.sendall(b'x')
        self.assertEqual(self.sock.recv(1), b'x')

    def test_silence_is_one_way(self):
        """The server hears the caller, who hears nothing."""
        self.proxy.faults.is_silent = True
        self.sock.sendall(b'x')
        with gevent.Timeout(30):
            while not self.heard:
                gevent.sleep(0.01)
        self.proxy.reset()
        with contextlib.suppress(OSError):
            self.assertEqual(self.sock.recv(1), b'')

    def test_what_is_held(self):
        """Nothing passes while the server pauses, and all of it afterwards."""
        self.proxy.hold()
        self.sock.sendall(b'x')
        with contextlib.closing(
            socket.create_connection(self.address, timeout=30)
        ) as other:
            other.sendall(b'y')
            gevent.sleep(0.2)
            self.assertEqual(self.heard, [])
            self.proxy.go_on()
            self.assertEqual((self.sock.recv(1), other.recv(1)), (b'x', b'y'))

    def test_a_cut(self):
        """New connections end without a byte."""
        self.proxy.faults.is_cut = True
        with (
            contextlib.closing(
                socket.create_connection(self.address, timeout=30)
            ) as sock,
            contextlib.suppress(OSError),
        ):
            self.assertEqual(sock.recv(1), b'')


class ChecksTest(unittest.TestCase):
    """Each check finds what it is for."""

    def setUp(self):
        """Start with nothing seen."""
        self.found = records.Records()
        self.backend = backends.BackendApplication('e0')

    def broken(self):
        """Return the promises that were broken."""
        return [line.partition(':')[0] for line in self.found.broken]

    def test_what_ran(self):
        """Calls that ran twice, and refusals of calls that ran."""
        self.found.note(records.Seen('a', '/order/1', 200, is_whole=True))
        self.found.note(records.Seen('b', '/look/1', 503, is_whole=True))
        self.backend.runs.update({'a': 2, 'b': 1})
        self.found.check_runs([self.backend])
        self.assertEqual(self.broken(), ['at most once', 'not run'])

    def test_requests_that_were_ended(self):
        """Those of a sound fleet with time left, but for their callers."""
        for attempt, status, is_whole, fields in (
            ('whole', 200, True, {}),
            ('refused', 503, True, {}),
            ('broken', 200, False, {}),
            ('left', 200, False, {'has_left': True}),
            ('late', 504, True, {'took_seconds': 1.5}),
            ('ended', 502, True, {'took_seconds': 1.3}),
            ('unsound', 502, True, {'sent_seconds': 50}),
            ('unanswered', 0, False, {'took_seconds': 5}),
        ):
            seen = records.Seen(attempt, '/look/1', status, is_whole, **fields)
            self.found.note(seen)
        self.found.check_kept(lambda begin, end: begin < 50, lambda sent: 2000)
        self.assertEqual(set(self.broken()), {'kept'})
        self.assertEqual(len(self.found.broken), 3)
        for line, attempt in zip(
            self.found.broken, ('broken', 'ended', 'unanswered'), strict=True
        ):
            self.assertIn(attempt, line)

    def test_leaving_servers(self):
        """A request that comes late to the process that said so."""
        self.backend.reached['a'] = [1]
        self.found.note_leaving('front-0', self.backend, 'a')
        late = time.monotonic() + records.DRAIN_SECONDS + 1
        for attempt, host, start in (
            ('b', 'front-0', 1),
            ('c', 'front-1', 1),
            ('d', 'front-0', 2),
        ):
            self.backend.reached[attempt] = [start]
            seen = records.Seen(attempt, '/', 200, is_whole=True, host=host)
            self.found.note(attrs.evolve(seen, sent_seconds=late))
        self.found.check_leaving([self.backend], lambda *_span: True)
        self.assertEqual(self.broken(), [])
        self.found.check_leaving([self.backend], lambda *_span: False)
        self.assertEqual(self.broken(), ['leaving'])
        self.assertIn("attempt='b'", self.found.broken[0])

    def test_tenants(self):
        """Strangers, other tenants, keys told, and keys that are refused."""
        for attempt, tenant, status in (
            ('a', tenants.STRANGER, 200),
            ('b', tenants.KEPT, 200),
            ('c', tenants.KEPT, 401),
            ('d', tenants.REVOCABLE, 401),
        ):
            seen = records.Seen(attempt, '/look/1', status, True, tenant=tenant)
            self.found.note(seen)
        self.backend.runs.update('ab')
        self.backend.heads['b'] = {
            'X-Tenant': tenants.REVOCABLE,
            'X-Api-Key': tenants.key(tenants.KEPT),
        }
        self.found.check_tenants([self.backend])
        self.assertEqual(
            self.broken(), ['stranger', 'tenant', 'key', 'known key']
        )

    def test_quotas(self):
        """More than the rule allows in one window, not in two."""
        for number in range(42):
            self.found.note(
                records.Seen(
                    str(number),
                    '/look/1',
                    200,
                    is_whole=True,
                    tenant=tenants.LIMITED,
                    sent_seconds=number * 0.13,
                )
            )
            self.backend.run_moments[str(number)] = [number * 0.13]
        self.found.check_quota([self.backend])
        self.assertEqual(self.broken(), [])
        for moments in self.backend.run_moments.values():
            moments *= 2
        self.found.check_quota([self.backend])
        self.assertEqual(self.broken(), ['quota'])

    def test_large_answers(self):
        """A piece that looks whole."""
        seen = records.Seen('a', '/look/large', 200, is_whole=True)
        self.found.check_length(seen, backends.LARGE_BYTES - 1)
        self.assertEqual(self.broken(), ['length'])

    def test_budgets(self):
        """More than the budget and one turn."""
        program = records.Program('p', 100, tokens=141)
        self.found.check_budget(program, 40)
        self.assertEqual(self.broken(), ['budget'])

    def test_streams(self):
        """Events out of order, and an early end that looks whole."""
        seen = records.Seen('a', '/chat/1', 200, is_whole=True)
        self.found.check_stream(seen, b'id: 1\n\nid: 3\n\n')
        self.assertEqual(self.broken(), ['order', 'whole'])

    def test_versions(self):
        """Events of two software versions in one stream."""
        seen = records.Seen('a', '/ask/1', 200, is_whole=True)
        self.found.check_versions(seen, b': v1\nid: 1\n\n: v2\nid: 2\n\n')
        self.assertEqual(self.broken(), ['one version'])

    def test_chains(self):
        """Another history than the caller's."""
        self.backend.bodies['a'] = b'other'
        self.found.check_chain('a', b'own', [self.backend])
        self.assertEqual(self.broken(), ['chain'])


class RunTest(unittest.TestCase):
    """The real programs, disturbed for some seconds."""

    def test_a_short_run(self):
        """No promise is broken."""
        self.check_run(SEED)

    def test_a_stream_is_ended_as_its_server_falls_silent(self):
        """Nothing is ended while servers only pause."""
        self.check_run(SOUND_SEED)

    def check_run(self, seed):
        """Check that a seed breaks no promise."""
        words = (str(seed), '1', str(SECONDS))
        done = subprocess.run(
            [sys.executable, '-m', 'tests.soak', *words],
            capture_output=True,
            text=True,
            timeout=LIMIT_SECONDS,
        )
        self.assertEqual(done.returncode, 0, done.stdout)
        self.assertIn('0 promises broken', done.stdout)

    def test_wrong_words(self):
        """Nothing is started."""
        done = subprocess.run(
            [sys.executable, '-m', 'tests.soak', 'x'],
            capture_output=True,
            text=True,
        )
        self.assertEqual(done.returncode, 2)
        self.assertIn('usage', done.stderr)
