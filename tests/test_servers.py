"""Servers: a stop cuts no request, and waits for no idle connection."""

import unittest

import gevent
from gevent import event, socket

from carobfork.state import bundles
from carobfork.transport import connections, servers

WAIT_SECONDS = 30


class StreamingApplication:
    """Answer with two pieces, the second on a sign."""

    def __init__(self):
        """Start without the sign."""
        self.second_piece = event.Event()

    def __call__(self, environ, start_response):
        """Answer one request."""
        start_response('200 OK', [('Content-Type', 'text/plain')])
        return self._pieces()

    def _pieces(self):
        yield b'first '
        self.second_piece.wait()
        yield b'second'


class ServerStopTest(unittest.TestCase):
    """One server on a free loopback port."""

    def setUp(self):
        """Start the server."""
        self.application = StreamingApplication()
        probe = socket.socket()
        probe.bind(('127.0.0.1', 0))
        self.address = bundles.Address('127.0.0.1', probe.getsockname()[1])
        probe.close()
        self.server = servers.HttpServer(self.address, self.application)
        self.server.__enter__()

    def read(self, on_first):
        """Read one whole answer."""
        request = connections.HttpRequest('GET', '/')
        with connections.Exchange(self.address, request) as exchange:
            on_first.set()
            return exchange.read()

    def test_stream_in_progress_is_finished(self):
        """A stop waits for the stream; the idle connection doesn't matter."""
        idle = socket.create_connection((self.address.ip, self.address.port))
        first = event.Event()
        reader = gevent.spawn(self.read, first)
        self.assertTrue(first.wait(timeout=WAIT_SECONDS))
        stop = gevent.spawn(self.server.__exit__, None, None, None)
        gevent.idle()
        self.assertFalse(stop.ready())
        self.application.second_piece.set()
        self.assertEqual(b'first second', reader.get(timeout=WAIT_SECONDS))
        stop.get(timeout=WAIT_SECONDS)
        idle.close()

    def test_accepted_connection_is_served(self):
        """A request in the kernel's queue when the listener closes runs."""
        request = connections.HttpRequest('GET', '/').encode(self.address)
        waiting = socket.create_connection((self.address.ip, self.address.port))
        waiting.sendall(request)
        self.application.second_piece.set()
        self.server.drain()
        self.assertIn(b'200 OK', waiting.recv(1000))

    def test_closed_listener_refuses(self):
        """After the stop a connection is refused, so nothing was sent."""
        self.server.drain()
        with self.assertRaises(
            connections.exceptions.ConnectionFailedError
        ) as caught:
            self.read(event.Event())
        self.assertFalse(caught.exception.sent)
