"""Service calls: sent at most once, and told truthfully."""

import unittest
from unittest import mock

import gevent
from gevent import event

from carobfork import exceptions
from carobfork.coordination import (
    appenders,
    backends,
    calls,
    intents,
    journals,
    ownerships,
    ports,
    service_calls,
)
from carobfork.state import bundles, programs
from tests import recording_hosts, stores

REPLY = ports.ServiceReply(200, b'ok', 'text/plain')
TIMEOUT_MS = 1000


class ManualService:
    """Count what is sent, and answer when told."""

    def __init__(self):
        """Answer at once."""
        self.sent = 0
        self.error = None
        self.released = event.Event()
        self.released.set()
        self.on_send = event.Event().set

    def send(self, server, request, timeout_ms):
        """Run a call."""
        if self.error and not self.error.sent:
            raise self.error
        self.sent += 1
        self.on_send()
        self.released.wait()
        if self.error:
            raise self.error
        return REPLY


@mock.patch.object(appenders, 'RETRY_DELAY_MS', 0)
@mock.patch.object(journals, 'COMMIT_INTERVAL_MS', 0)
class ServiceCallTest(unittest.TestCase):
    """One program's calls at one host."""

    def setUp(self):
        """Open a program."""
        self.store = stores.ManualStore()
        self.host = recording_hosts.Host('entry-1', self.store)
        self.other = recording_hosts.Host('entry-2', self.store)
        self.service = ManualService()
        self.caller = service_calls.ServiceCaller(
            self.host.home,
            self.service,
            backends.BackendHealth(self.host.timer),
        )
        self.opened = self.host.home.open_program('quote')

    def tearDown(self):
        """Stop the hosts."""
        self.store.down = False
        self.service.released.set()
        self.host.die()
        self.other.die()

    def call(self, key='d1', path='/deposit', body=b'20'):
        """Make a call."""
        return self.caller.run(self.request(key, path, body))

    def request(self, key, path='/deposit', body=b'20'):
        """Return a call."""
        return calls.ServiceCall(
            program=self.opened.program,
            token=self.opened.token,
            key=key,
            service='orders',
            method='GET' if path == '/stock' else 'POST',
            path=path,
            body=body,
            content_type='text/plain',
        )

    def code_of(self, *arguments, **options):
        """Return the class of the error that a call raises."""
        with self.assertRaises(exceptions.CarobforkError) as caught:
            self.call(*arguments, **options)
        return type(caught.exception)

    def hasten(self):
        """Let operations time out at once."""
        operations = [
            bundles.Operation(name, method, f'/{name}', repeatable, TIMEOUT_MS)
            for name, method, repeatable in (
                ('deposit', 'POST', False),
                ('stock', 'GET', True),
            )
        ]
        bundle = self.host.home.bundle
        quick = mock.Mock(wraps=bundle)
        quick.services = [bundles.Service('orders', SERVERS, operations)]
        return mock.patch.object(
            type(self.host.home),
            'bundle',
            new_callable=mock.PropertyMock,
            return_value=quick,
        )

    def test_a_late_answer_becomes_known(self):
        """The turn is free meanwhile, and the answer is recorded."""
        self.service.released.clear()
        with self.hasten():
            unknown = exceptions.UnknownOutcomeError
            self.assertIs(self.code_of('d1'), unknown)
            self.service.on_send = self.service.released.set
            later = self.until_done('d2')
            first = self.until_done('d1')
        self.assertEqual(later.body, REPLY.body)
        self.assertEqual(first.body, REPLY.body)
        self.assertEqual(self.service.sent, 2)

    def test_a_refused_connection_did_not_run(self):
        """The key stays usable, and runs once."""
        self.service.error = exceptions.ConnectionFailedError('no', sent=False)
        self.assertIs(self.code_of(), exceptions.NotRunError)
        self.service.error = None
        self.assertEqual(self.until_done().body, REPLY.body)
        self.assertEqual(self.service.sent, 1)

    def test_a_broken_connection_is_unknown(self):
        """Also for a call that may be repeated."""
        self.service.error = exceptions.ConnectionFailedError('no', sent=True)
        unknown = exceptions.UnknownOutcomeError
        self.assertIs(self.code_of('d1'), unknown)
        self.assertIs(self.code_of('d1'), unknown)
        self.assertIs(self.code_of('s1', '/stock'), unknown)
        self.assertEqual(self.service.sent, 2)

    def test_sealed_after_the_dispatch(self):
        """The call ran, so it is never told as not run."""
        self.service.on_send = self.host.home.journal.seal
        unknown = exceptions.UnknownOutcomeError
        self.assertIs(self.code_of(), unknown)
        self.assertEqual(self.service.sent, 1)

    def test_taken_over_before_the_dispatch(self):
        """A standstill after the intent's commit is noticed."""
        record = intents.IntentRecorder.record

        def freeze(recorder, call):
            record(recorder, call)
            self.host.timer.advance(ownerships.MIN_STANDSTILL_MS + 1)
            self.other.takeovers.take(self.host.incarnation)

        with mock.patch.object(intents.IntentRecorder, 'record', freeze):
            self.assertIs(self.code_of(), exceptions.SealedError)
        self.assertEqual(self.service.sent, 0)
        taken = self.other.table.find(self.opened.program).calls['d1']
        self.assertIs(taken.phase, programs.CallPhase.intended)

    def test_refuses_while_the_platform_is_down(self):
        """The intent cannot be committed; later the key runs once."""
        self.store.down = True
        with mock.patch.object(intents, 'INTENT_TIMEOUT_MS', TIMEOUT_MS):
            self.assertIs(self.code_of(), exceptions.NotRunError)
        self.assertIs(self.code_of(), exceptions.NotRunError)
        self.assertEqual(self.service.sent, 0)
        self.store.down = False
        with gevent.Timeout(30):
            while self.host.home.journal.uncommitted():
                gevent.sleep(0)
        reply = self.until_done(repeated=exceptions.NotRunError)
        self.assertEqual(reply.body, REPLY.body)
        self.assertEqual(self.service.sent, 1)

    def test_the_answer_waits_for_the_platform(self):
        """Unknown until it is recorded, and then as it was."""
        self.service.on_send = self.take_platform_down
        with self.hasten():
            unknown = exceptions.UnknownOutcomeError
            self.assertIs(self.code_of(), unknown)
            self.assertIs(self.code_of(), unknown)
            self.store.down = False
            self.assertEqual(self.until_done().body, REPLY.body)
        self.assertEqual(self.service.sent, 1)

    def test_a_turn_that_does_not_come(self):
        """Whoever is told not run is never sent afterwards."""
        program = self.host.table.find(self.opened.program)
        first = self.request('d0')
        with self.hasten(), self.host.home.turn(program, first):
            self.assertIs(self.code_of(), exceptions.NotRunError)
        # The next call's turn comes only after the first would have run.
        self.call('d2')
        self.assertEqual(self.service.sent, 1)

    def test_bounds_the_calls_under_way(self):
        """Beyond the limit calls are refused as not run."""
        with mock.patch.object(service_calls, 'RUNNING_LIMIT', 0):
            self.assertIs(self.code_of(), exceptions.OverloadedError)

    def take_platform_down(self):
        """Let the platform answer nothing."""
        self.store.down = True

    def until_done(self, key='d1', repeated=exceptions.CarobforkError):
        """Repeat a call while it meets an error."""
        with gevent.Timeout(30):
            while True:
                try:
                    return self.call(key)
                except repeated:
                    gevent.sleep(0)


SERVERS = (bundles.Server('service-1', stores.ADDRESS),)
