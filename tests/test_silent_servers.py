"""Sound backend servers that fall silent for a second or so and go on.

The tests guard against requests that are ended, refused or run twice though
their servers would have answered in time.
"""

import contextlib
import functools
import itertools
import time
import unittest
from unittest import mock

import gevent

from carobfork.tenancy import credit_stocks, quotas
from tests import (
    configurations,
    packet_filters,
    plain_calls,
    platform_hosts,
    scripted_servers,
)
from tests.soak import proxies

SHORT_PAUSE_SECONDS = 1.1
PAUSES_SECONDS = (SHORT_PAUSE_SECONDS, 1.5)
"""Longest times for which sound servers fall silent."""
SERVED = {'e': ('/ask/',), 't': ('/look/', '/order/')}  # noqa: WPS407
"""Paths by the first letter of the names of their servers."""
LEARNED = 20
CALLS = 6
SETTLE_SECONDS = 0.3
SHORT_MS = 400


def silence(context, seconds):
    """Hold a context open for some time, in the background."""

    def hold():
        with context:
            gevent.sleep(seconds)

    return gevent.spawn(hold)


def run_all(calls):
    """Call functions side by side and return what they returned."""
    started = [gevent.spawn(call) for call in calls]
    return [greenlet.get() for greenlet in started]


class DroppedPacketsTest(scripted_servers.ScriptedCase):
    """A server whose host drops all packets for a while."""

    def remember(self, sock, attempt):
        """Answer whole and keep the socket."""
        self.sock = sock
        scripted_servers.send_whole(sock, attempt)

    def test_a_call_that_was_not_acknowledged_in_time(self):
        """A call that runs once is answered once its bytes are sent again."""
        for seconds in PAUSES_SECONDS:
            with self.subTest(seconds=seconds):
                self.scripted.script = self.remember
                self.ask()
                runs = self.scripted.runs
                dropping = silence(
                    packet_filters.drop_packets(self.sock), seconds
                )
                gevent.sleep(0)
                answer = self.ask()
                dropping.join()
                self.assertEqual((answer.status, answer.body), (200, b'whole'))
                self.assertEqual(self.scripted.runs, runs + 1)


class UnreachableServersTest(scripted_servers.ScriptedCase):
    """The only server of a service, whose host drops all packets for a while.

    No connection is kept, so that another one is needed.
    """

    def check_call(self, method, seconds):
        """Check that a call waits until the server can be reached again."""
        front = self.hosts.fronts['front-0']
        front.relay.exchanger.pool.close()
        dropping = silence(
            packet_filters.drop_packets(self.scripted.listener), seconds
        )
        gevent.sleep(0)
        answer = self.ask(f'/{method}/1')
        dropping.join()
        self.assertEqual((answer.status, answer.body), (200, b'whole'))

    def test_a_call_that_may_be_repeated(self):
        """It is answered once the server is back."""
        for seconds in PAUSES_SECONDS:
            with self.subTest(seconds=seconds):
                self.check_call('look', seconds)

    def test_a_call_that_runs_once(self):
        """It is answered once the server is back, as nothing was sent."""
        for seconds in PAUSES_SECONDS:
            with self.subTest(seconds=seconds):
                self.check_call('order', seconds)


class PausedServersTest(unittest.TestCase):
    """Servers behind proxies that hold all bytes for a while."""

    @classmethod
    def setUpClass(cls):
        """Start a deployment and put a proxy before each server."""
        stack = contextlib.ExitStack()
        cls.addClassCleanup(stack.close)
        cls.hosts = stack.enter_context(platform_hosts.Deployment())
        cls.links = {}
        for instance, backend in cls.hosts.backends.items():
            ip, _colon, port = backend.address.rpartition(':')
            near = (ip, configurations.free_port())
            cls.links[instance] = stack.enter_context(
                proxies.Proxy(near, (ip, int(port)))
            )
            backend.address = '{}:{}'.format(*near)
            service = configurations.TOOLS
            if instance.startswith('e'):
                service = configurations.ENGINES
            cls.hosts.register(instance, service)
        cls.front = cls.hosts.fronts['front-0']
        cls.pool = cls.front.relay.exchanger.pool
        platform_hosts.wait_until(
            lambda: all(
                worker.entry.port == cls.links[worker.instance].address[1]
                for worker in cls.front.table
            ),
            'the proxies',
        )

    def setUp(self):
        """Let the host learn how long answers take, and keep connections."""
        for number in range(LEARNED):
            for path in ('/look/', '/order/', '/ask/'):
                self.ask(f'{path}{number}')

    def tearDown(self):
        """Mend the servers."""
        for link in self.links.values():
            link.go_on()
        for backend in self.hosts.backends.values():
            backend.faults = type(backend.faults)()
        self.configure()
        for worker in self.front.table:
            worker.avoided_until_ms = 0

    def configure(self, **fields):
        """Write a configuration, with other fields of all its routes."""
        spec = configurations.configuration(time.monotonic_ns())
        for route in spec['Routes']:
            route.update(fields)
        self.hosts.store.put('config', 'main', spec)
        platform_hosts.wait_until(
            lambda: self.front.relay.routes.version == spec['Version'],
            'the configuration',
        )

    def ask(self, path, **options):
        """Send a request and return its attempt and answer."""
        attempt = plain_calls.new_attempt()
        headers = {}
        if path.startswith('/ask/'):
            headers['Accept'] = 'text/event-stream'
        return attempt, self.hosts.ask(
            path, attempt=attempt, headers=headers, method='POST', **options
        )

    def delay(self, delay_ms):
        """Let servers take longer for answers and events."""
        for backend in self.hosts.backends.values():
            backend.faults.delay_ms = delay_ms

    def pause(self, prefix, seconds=SHORT_PAUSE_SECONDS):
        """Let all servers of a service fall silent and go on."""
        links = [
            link
            for instance, link in self.links.items()
            if instance.startswith(prefix)
        ]
        for held in links:
            held.hold()
        for moving in links:
            gevent.spawn_later(seconds, moving.go_on)

    def ask_all(self, *paths):
        """Send requests side by side; return their attempts and answers."""
        return run_all(
            functools.partial(self.ask, f'{path}{number}')
            for number in range(CALLS)
            for path in paths
        )

    @contextlib.contextmanager
    def pause_is_noticed(self):
        """Check that the requests in a block last as long as a pause."""
        began = time.monotonic()
        yield
        self.assertGreater(time.monotonic() - began, 1)

    def check_once(self, found):
        """Check that calls were answered whole and ran once."""
        for attempt, answer in found:
            self.assertEqual((answer.status, answer.is_whole), (200, True))
            self.assertEqual(self.hosts.runs(attempt), 1)

    def test_calls_that_run_once(self):
        """They are answered whole whenever the pause begins."""
        for delay_ms in (0, 200):
            with self.subTest(delay_ms=delay_ms):
                self.delay(delay_ms)
                gevent.spawn_later(delay_ms / 2000, self.pause, 't', 1.2)
                with self.pause_is_noticed():
                    self.check_once(self.ask_all('/order/'))

    def test_turns_that_are_kept(self):
        """They are whole whenever the pause begins, and the next one runs."""
        for delay_ms in (0, 80):
            with self.subTest(delay_ms=delay_ms):
                self.delay(delay_ms)
                gevent.spawn_later(delay_ms / 250, self.pause, 'e', 1.2)
                with self.pause_is_noticed():
                    found = run_all(self.take_turn for _ in range(CALLS))
                self.check_once(found)
                for attempt, answer in found:
                    self.assertEqual(answer.body.count(b'id:'), 4)
                    headers = {'X-Previous-Turn': attempt}
                    answer = self.hosts.turn(f'p{attempt}', headers=headers)
                    self.assertEqual(answer.status, 200)

    def take_turn(self):
        """Send the first turn of a program."""
        attempt = plain_calls.new_attempt()
        answer = self.hosts.turn(f'p{attempt}', attempt=attempt, body=b'x')
        return attempt, answer

    def test_requests_on_new_connections(self):
        """They wait for silent servers, and are not refused before."""
        for seconds in PAUSES_SECONDS:
            for prefix, paths in SERVED.items():
                with self.subTest(seconds=seconds, paths=paths):
                    self.pool.close()
                    self.pause(prefix, seconds)
                    self.check_whole(self.ask_all(*paths))

    def check_whole(self, found):
        """Check that all requests were answered whole."""
        answers = [answer for _attempt, answer in found]
        self.assertEqual(
            [(answer.status, answer.is_whole) for answer in answers],
            [(200, True) for _ in answers],
            [answer.body for answer in answers if answer.status != 200],
        )

    def test_a_tenant_without_another_credit(self):
        """Its call stays where it is, as it can't be sent once more."""
        credit = credit_stocks.Credit('red', float('inf'))
        over = quotas.OverQuotaError('no credit is left', step='quota')
        quota = mock.Mock()
        quota.take.side_effect = itertools.chain(
            [credit], itertools.repeat(over)
        )
        with mock.patch.object(self.front.relay, 'quota', quota):
            self.pause('t')
            self.check_whole([self.ask('/look/1')])

    def test_requests_after_a_pause(self):
        """Soon after a pause of all servers requests are served again."""
        for prefix, paths in SERVED.items():
            with self.subTest(prefix=prefix):
                self.delay(80)
                before = gevent.spawn(self.ask_all, *paths)
                gevent.sleep(0.2)
                self.pause(prefix)
                gevent.sleep(SHORT_PAUSE_SECONDS + SETTLE_SECONDS)
                self.delay(0)
                for path in paths:
                    self.check_whole(self.ask_all(path))
                before.join()

    def test_a_server_that_paused_alone(self):
        """Soon after its pause its slots are used again."""
        self.delay(80)
        before = gevent.spawn(self.ask_all, '/ask/')
        gevent.sleep(0.2)
        self.pause('e0')
        gevent.sleep(SHORT_PAUSE_SECONDS + SETTLE_SECONDS)
        found = self.ask_all('/ask/')
        self.check_whole(found)
        runs = self.hosts.backends['e0'].runs
        self.assertTrue(any(attempt in runs for attempt, _answer in found))
        before.join()

    def test_a_time_limit_that_gets_shorter(self):
        """Requests that run or wait for a slot keep the longer one."""
        self.delay(150)
        paths = ('/order/', '/look/', '/ask/', '/ask/')
        begun = gevent.spawn(self.ask_all, *paths)
        gevent.sleep(0.05)
        self.configure(TimeoutMs=SHORT_MS)
        self.check_whole(begun.get())
        _attempt, later = self.ask('/ask/1')
        self.assertFalse(later.is_whole)

    def test_a_time_limit_that_gets_longer(self):
        """A request that runs keeps the shorter one, the next has the other."""
        self.configure(TimeoutMs=SHORT_MS)
        self.delay(150)
        begun = gevent.spawn(self.ask, '/ask/1')
        gevent.sleep(0.05)
        self.configure(TimeoutMs=configurations.TIMEOUT_MS)
        self.assertFalse(begun.get()[1].is_whole)
        self.check_whole([self.ask('/ask/2')])
