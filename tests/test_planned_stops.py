"""Test what callers of an entry host get while it stops as planned.

Guards against LOST: requests that came late in the grace were passed on and cut
at its end without an answer, among them those that may not be repeated.
"""

import contextlib
import pathlib
import signal
import tempfile
import time
import unittest

import gevent
from gevent import socket

from tests import plain_calls
from tests.platform_hosts import wait_until
from tests.soak import fleets, tenants

LEAVE_SECONDS = 1.52
"""How long a host takes new requests, with the grace of the settings."""
FINISH_SECONDS = 3.6
"""How long it waits for the requests that it took."""
LEARNED = 8
"""Requests from which a host knows how long they take."""
HEADERS = {  # noqa: WPS407
    'X-Api-Key': tenants.key(tenants.KEPT),
    'X-Deadline-Ms': '3900',
}


def ask(address, attempt):
    """Send a request that may not be repeated; return its answer, if any."""
    with contextlib.closing(socket.create_connection(address)) as sock:
        return ask_on(sock, attempt)


def ask_on(sock, attempt, **fields):
    """Send such a request on a connection; return its answer, if any."""
    sock.settimeout(plain_calls.WAIT_SECONDS)
    request = plain_calls.encode(
        '/order/1',
        method='POST',
        body=b'x',
        headers={**HEADERS, **fields},
        attempt=attempt,
    )
    with contextlib.suppress(OSError, AttributeError):
        sock.sendall(request)
        return plain_calls.read_answer(sock)
    return None


class PlannedStopsTest(unittest.TestCase):
    """Entry hosts of one fleet, each of which is stopped once."""

    @classmethod
    def setUpClass(cls):
        """Start a fleet."""
        cls.stack = contextlib.ExitStack()
        folder = cls.stack.enter_context(tempfile.TemporaryDirectory())
        cls.fleet = cls.stack.enter_context(
            fleets.Fleet(pathlib.Path(folder)),
        )
        cls.left = list(cls.fleet.fronts)

    @classmethod
    def tearDownClass(cls):
        """End the fleet."""
        cls.stack.close()

    def setUp(self):
        """Choose an entry host that serves."""
        self.name = self.left.pop()
        self.address = self.fleet.address(self.name)
        self.set_delay(0)
        wait_until(self.is_served, 'the host')

    def is_served(self):
        """Tell whether the host answers."""
        try:
            answer = ask(self.address, plain_calls.new_attempt())
        except OSError:
            return False
        return answer is not None and answer.status == 200

    def set_delay(self, delay_ms):
        """Let the backend servers take some time."""
        for backend in self.fleet.served():
            backend.faults.delay_ms = delay_ms

    def runs(self, attempt):
        """Return how often an attempt ran."""
        return sum(backend.runs[attempt] for backend in self.fleet.served())

    def stop(self):
        """Stop the host as planned."""
        self.stopped = time.monotonic()
        process = self.fleet.fronts[self.name].process
        process.send(signal.SIGTERM)

    def wait(self, seconds):
        """Wait until some time after the stop began."""
        gevent.sleep(max(0, self.stopped + seconds - time.monotonic()))

    def test_request_that_can_not_end(self):
        """What can't be over before the host ends is refused at once."""
        self.set_delay(2600)
        asking = [
            gevent.spawn(ask, self.address, plain_calls.new_attempt())
            for _ in range(LEARNED)
        ]
        gevent.joinall(asking)
        self.stop()
        self.wait(LEAVE_SECONDS - 0.4)
        attempt = plain_calls.new_attempt()
        answer = ask(self.address, attempt)
        self.assertEqual((answer and answer.status), 503)
        self.assertEqual(self.runs(attempt), 0)
        self.assertLess(time.monotonic(), self.stopped + FINISH_SECONDS)

    def test_request_still_running_at_the_end(self):
        """Its caller is told that the outcome is unknown."""
        self.set_delay(3850)
        attempt = plain_calls.new_attempt()
        asking = gevent.spawn(ask, self.address, attempt)
        gevent.sleep(0.1)
        self.stop()
        answer = asking.get(timeout=plain_calls.WAIT_SECONDS)
        self.assertEqual((answer and answer.status), 502)
        self.assertEqual(self.runs(attempt), 1)

    def test_request_on_a_kept_connection(self):
        """It is refused as not run once the host takes no more requests."""
        sock = self.enterContext(
            contextlib.closing(socket.create_connection(self.address))
        )
        keep = {'Connection': 'keep-alive'}
        first = ask_on(sock, plain_calls.new_attempt(), **keep)
        self.assertEqual(first.status, 200, f'before the stop: {first}')
        self.set_delay(3000)
        asking = gevent.spawn(ask, self.address, plain_calls.new_attempt())
        gevent.sleep(0.1)
        self.stop()
        self.wait(LEAVE_SECONDS + 0.5)
        attempt = plain_calls.new_attempt()
        answer = ask_on(sock, attempt, **keep)
        self.assertEqual((answer and answer.status), 503, f'late: {answer}')
        self.assertEqual(answer.head.get('connection'), 'close')
        self.assertEqual(self.runs(attempt), 0)
        running = asking.get()
        self.assertEqual((running and running.status), 200, f'run: {running}')
