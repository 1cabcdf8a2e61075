"""Backends: leaving, failing and stalled servers get no new calls.

Guards against calls sent to a server that accepts connections but makes no
progress, that the platform's outdated list still shows as live, or that just
failed.
"""

import unittest

from carobfork import clock, exceptions
from carobfork.coordination import backends, monitored_backends, ports
from carobfork.state import bundles

WORKER = bundles.Worker('engine-1', bundles.Address('127.0.0.1', 1))
SERVERS = tuple(
    bundles.Server(f'service-{number}', bundles.Address('127.0.0.1', number))
    for number in range(1, 4)
)


class BackendHealthTest(unittest.TestCase):
    """Health of backend servers, with a manual clock."""

    def setUp(self):
        """Initialize with every server usable."""
        self.timer = clock.ManualClock()
        self.health = backends.BackendHealth(self.timer)

    def apply_list(self, **servers):
        """Apply the platform's list."""
        listed = {
            name.replace('_', '-'): backends.ServerState(state)
            for name, state in servers.items()
        }
        self.health.apply_list(backends.BackendList(listed))

    def test_list_and_answers_count_both(self):
        """A server that says it is leaving is unusable, whatever the list."""
        self.health.mark_leaving('service-1')
        self.apply_list(service_1='live', service_2='leaving')
        usable = [self.health.is_usable(server.name) for server in SERVERS]
        self.assertEqual([False, False, True], usable)

    def test_leaving_server_may_come_back(self):
        """A server is usable again ``LEAVING_TTL_MS`` after it said so."""
        self.health.mark_leaving('service-1')
        self.timer.advance(backends.LEAVING_TTL_MS)
        self.assertTrue(self.health.is_usable('service-1'))

    def test_failed_server_gets_one_trial(self):
        """After the retry delay one request tries the server, not many."""
        self.health.record_failure('service-1')
        self.assertFalse(self.health.is_usable('service-1'))
        self.timer.advance(backends.MIN_RETRY_DELAY_MS)
        self.assertTrue(self.health.is_usable('service-1'))
        self.health.begin_request('service-1')
        self.assertFalse(self.health.is_usable('service-1'))
        self.health.record_progress('service-1')
        self.assertTrue(self.health.is_usable('service-1'))

    def test_pause_grows_and_is_bounded(self):
        """Repeated failures double the retry delay up to a limit."""
        for _ in range(50):
            self.health.record_failure('service-1')
        self.timer.advance(backends.MAX_RETRY_DELAY_MS - 1)
        self.assertFalse(self.health.is_usable('service-1'))
        self.timer.advance(1)
        self.assertTrue(self.health.is_usable('service-1'))

    def test_connections_without_tokens_are_a_stall(self):
        """An engine that accepts requests but yields nothing is unusable."""
        self.health.begin_request('engine-1')
        self.timer.advance(backends.STALL_TIMEOUT_MS + 1)
        self.health.begin_request('engine-1')
        self.assertFalse(self.health.is_usable('engine-1'))
        self.health.record_progress('engine-1')
        self.assertTrue(self.health.is_usable('engine-1'))

    def test_order_puts_doubtful_servers_last(self):
        """Servers that failed are tried last, leaving ones are not tried."""
        self.health.record_failure('service-1')
        self.health.mark_leaving('service-2')
        ordered = backends.order_servers(SERVERS, self.health)
        names = [server.name for server in ordered]
        self.assertEqual(['service-3', 'service-1'], names)

    def test_all_leaving_is_not_run(self):
        """If all servers are leaving, the call is refused as not run."""
        for server in SERVERS:
            self.health.mark_leaving(server.name)
        with self.assertRaises(exceptions.NotRunError):
            backends.order_servers(SERVERS, self.health)

    def test_malformed_list_is_refused(self):
        """An unknown state in the list raises an error with a code."""
        with self.assertRaises(exceptions.SettingsError):
            backends.BackendList.parse(b'{"servers": {"engine-1": "gone"}}')


class ObservedModelsTest(unittest.TestCase):
    """Streams update the health of their engine."""

    def setUp(self):
        """Wrap this test case as an engine that fails with ``failure``."""
        self.health = backends.BackendHealth(clock.ManualClock())
        self.failure = None
        self.models = monitored_backends.MonitoredModels(self, self.health)

    def stream(self, worker, prompt):
        """Yield one event, then raise the failure if there is one."""
        yield b'data: 1'
        if self.failure is not None:
            raise self.failure

    def decode(self, events):
        """Do nothing; only streams are tested."""

    def turn(self, messages, answer):
        """Do nothing; only streams are tested."""

    def run_stream(self):
        """Read a whole stream and return the error it ended with."""
        prompt = ports.Prompt('talk', 'p', 'a', b'', b'', 'urgent')
        try:
            list(self.models.stream(WORKER, prompt))
        except exceptions.CarobforkError as error:
            return error

    def test_broken_stream_is_a_failure(self):
        """A stream that breaks off makes the engine unusable."""
        self.failure = exceptions.ConnectionFailedError('broken', sent=True)
        self.assertIs(self.failure, self.run_stream())
        self.assertEqual(['engine-1'], self.health.unusable())

    def test_refusal_of_leaving_engine_is_remembered(self):
        """An engine that refuses because it is leaving is marked so."""
        self.failure = exceptions.LeavingError('leaving')
        self.run_stream()
        self.assertTrue(self.health.is_leaving('engine-1'))

    def test_whole_stream_leaves_nothing(self):
        """After a complete answer the engine is idle and usable."""
        self.run_stream()
        self.assertEqual([], self.health.unusable())
