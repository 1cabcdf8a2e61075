"""Service calls: at most one send and a truthful outcome.

Guards against a call that is not repeatable being sent twice, and against a
call being reported as not run after it was sent. Both can come about if the
connection breaks, an answer is late, the platform fails or another host takes
the program over between the intent, the dispatch and the record of the answer.
"""

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
    """A service that counts calls and answers when released."""

    def __init__(self):
        """Initialize to answer immediately."""
        self.sent = 0
        self.error = None
        self.released = event.Event()
        self.released.set()
        self.on_send = event.Event().set

    def send(self, server, request, timeout_ms):
        """Count a call, then answer it or raise the error that was set."""
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
    """Calls of one program on one of two hosts."""

    def setUp(self):
        """Start two hosts and open a program on the first one."""
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
        """Run a call and return its answer."""
        return self.caller.run(self.request(key, path, body))

    def request(self, key, path='/deposit', body=b'20'):
        """Build a call; only the path ``/stock`` is repeatable."""
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

    def error_type_of(self, *arguments, **options):
        """Return the class of the error that a call raises."""
        with self.assertRaises(exceptions.CarobforkError) as caught:
            self.call(*arguments, **options)
        return type(caught.exception)

    def short_timeouts(self):
        """Set the timeout of all operations to ``TIMEOUT_MS``."""
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
        """The next call runs meanwhile, and the late answer is recorded."""
        self.service.released.clear()
        with self.short_timeouts():
            unknown = exceptions.UnknownOutcomeError
            self.assertIs(self.error_type_of('d1'), unknown)
            self.service.on_send = self.service.released.set
            later = self.call_until_done('d2')
            first = self.call_until_done('d1')
        self.assertEqual(later.body, REPLY.body)
        self.assertEqual(first.body, REPLY.body)
        self.assertEqual(self.service.sent, 2)

    def test_a_refused_connection_did_not_run(self):
        """The call is reported as not run; a retry of its key runs once."""
        self.service.error = exceptions.ConnectionFailedError('no', sent=False)
        self.assertIs(self.error_type_of(), exceptions.NotRunError)
        self.service.error = None
        self.assertEqual(self.call_until_done().body, REPLY.body)
        self.assertEqual(self.service.sent, 1)

    def test_a_broken_connection_is_unknown(self):
        """The outcome is unknown, for a repeatable call too."""
        self.service.error = exceptions.ConnectionFailedError('no', sent=True)
        unknown = exceptions.UnknownOutcomeError
        self.assertIs(self.error_type_of('d1'), unknown)
        self.assertIs(self.error_type_of('d1'), unknown)
        self.assertIs(self.error_type_of('s1', '/stock'), unknown)
        self.assertEqual(self.service.sent, 2)

    def test_sealed_after_the_dispatch(self):
        """The call ran, so it is not reported as not run."""
        self.service.on_send = self.host.home.journal.seal
        unknown = exceptions.UnknownOutcomeError
        self.assertIs(self.error_type_of(), unknown)
        self.assertEqual(self.service.sent, 1)

    def test_taken_over_before_the_dispatch(self):
        """A takeover during a standstill prevents the dispatch.

        The process stands still after the commit of the intent, and another
        host takes its programs over.
        """
        record = intents.IntentRecorder.record

        def freeze(recorder, call):
            record(recorder, call)
            self.host.timer.advance(ownerships.MIN_STANDSTILL_MS + 1)
            self.other.takeovers.take(self.host.incarnation)

        with mock.patch.object(intents.IntentRecorder, 'record', freeze):
            self.assertIs(self.error_type_of(), exceptions.SealedError)
        self.assertEqual(self.service.sent, 0)
        taken = self.other.table.find(self.opened.program).calls['d1']
        self.assertIs(taken.phase, programs.CallPhase.intended)

    def test_refuses_while_the_platform_is_down(self):
        """Without a committed intent nothing is sent; a retry runs once."""
        self.store.down = True
        with mock.patch.object(intents, 'INTENT_TIMEOUT_MS', TIMEOUT_MS):
            self.assertIs(self.error_type_of(), exceptions.NotRunError)
        self.assertIs(self.error_type_of(), exceptions.NotRunError)
        self.assertEqual(self.service.sent, 0)
        self.store.down = False
        with gevent.Timeout(30):
            while self.host.home.journal.uncommitted():
                gevent.sleep(0)
        reply = self.call_until_done(retried=exceptions.NotRunError)
        self.assertEqual(reply.body, REPLY.body)
        self.assertEqual(self.service.sent, 1)

    def test_the_answer_waits_for_the_platform(self):
        """The outcome is unknown until the answer is recorded."""
        self.service.on_send = self.disconnect_platform
        with self.short_timeouts():
            unknown = exceptions.UnknownOutcomeError
            self.assertIs(self.error_type_of(), unknown)
            self.assertIs(self.error_type_of(), unknown)
            self.store.down = False
            self.assertEqual(self.call_until_done().body, REPLY.body)
        self.assertEqual(self.service.sent, 1)

    def test_a_turn_that_does_not_come(self):
        """A call that was reported as not run is not sent afterwards."""
        program = self.host.table.find(self.opened.program)
        first = self.request('d0')
        with self.short_timeouts(), self.host.home.in_sequence(program, first):
            self.assertIs(self.error_type_of(), exceptions.NotRunError)
        # The next call runs only after the first one would have run.
        self.call('d2')
        self.assertEqual(self.service.sent, 1)

    def test_bounds_the_calls_under_way(self):
        """Calls beyond ``MAX_RUNNING_CALLS`` are refused as not run."""
        with mock.patch.object(service_calls, 'MAX_RUNNING_CALLS', 0):
            self.assertIs(self.error_type_of(), exceptions.OverloadedError)

    def disconnect_platform(self):
        """Make the platform stop answering."""
        self.store.down = True

    def call_until_done(self, key='d1', retried=exceptions.CarobforkError):
        """Retry a call until it raises no error of the given class."""
        with gevent.Timeout(30):
            while True:
                try:
                    return self.call(key)
                except retried:
                    gevent.sleep(0)


SERVERS = (bundles.Server('service-1', stores.ADDRESS),)
