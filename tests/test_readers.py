"""Listeners read requests in bounded time and memory."""

import contextlib
import json
import unittest

import gevent
from gevent import socket

from carobfork.state import bundles
from carobfork.transport import readers

PATIENCE_SECONDS = 30
LIMITS = readers.Limits(
    connections=3,
    body_bytes=1000,
    reading_bytes=1500,
    idle_ms=300,
    head_ms=300,
    body_ms=300,
)
CHUNK = b'ff\r\n%b\r\n' % (b'x' * 255)


def post(header, body=b''):
    """Return a request's bytes."""
    head = b'POST / HTTP/1.1\r\nHost: x\r\n%b\r\n\r\n'
    return head % header + body


def count_body(environ, start_response):
    """Answer with the length of the body."""
    body = environ['wsgi.input'].read()
    start_response('200 OK', [('Content-Length', '4')])
    return [b'%4d' % len(body)]


class ReaderTest(unittest.TestCase):
    """Each bad sender is answered and let go; the server goes on."""

    def setUp(self):
        """Serve on a free loopback port."""
        self.server = readers.BoundedServer(
            bundles.Address('127.0.0.1', 1), count_body, LIMITS
        )
        self.server.set_listener(('127.0.0.1', 0))
        self.server.start()
        self.addCleanup(self.server.stop)

    @contextlib.contextmanager
    def connect(self):
        """Connect to the server."""
        address = ('127.0.0.1', self.server.server_port)
        with socket.create_connection(address, PATIENCE_SECONDS) as peer:
            yield peer

    def exchange(self, *pieces):
        """Send pieces and return all that comes until the end."""
        with self.connect() as peer:
            for piece in pieces:
                peer.sendall(piece)
            return read_all(peer)

    def assert_refused(self, answer, status, code):
        """Check that an answer is a whole coded error."""
        head, _, body = answer.partition(b'\r\n\r\n')
        self.assertIn(str(status).encode(), head.split(b'\r\n')[0], answer)
        error = json.loads(body)['error']
        self.assertEqual(error['code'], code)
        self.assertEqual(error['outcome'], 'not_run')
        self.assertTrue(error['step'])
        self.assertTrue(error['peer'].startswith('caller 127.0.0.1:'))

    def tearDown(self):
        """A good request is served after whatever came before."""
        self.wait_until(lambda: not self.server.open_connections)
        self.assertEqual(self.server.reading_bytes, 0)
        answer = self.exchange(
            post(b'Connection: close\r\nContent-Length: 3', b'abc')
        )
        self.assertTrue(answer.endswith(b'   3'), answer)

    def wait_until(self, condition):
        """Wait for a condition with a generous limit."""
        with gevent.Timeout(PATIENCE_SECONDS):
            while not condition():
                gevent.sleep(0.01)

    def test_malformed_heads(self):
        """What is no HTTP request is a bad request."""
        for raw in (
            b'nonsense\r\n\r\n',
            b'\x16\x03\x01\x02\x00\r\n\r\n',
            b'GET / HTTP/9.9\r\n\r\n',
            post(b'Content-Length: x'),
            post(b'Content-Length: -4'),
            post(b'Transfer-Encoding: gzip'),
            post(b'Transfer-Encoding: chunked', b'zz\r\n'),
            b'GET /%b HTTP/1.1\r\n\r\n' % (b'x' * 9000),
        ):
            with self.subTest(raw=raw[:60]):
                self.assert_refused(self.exchange(raw), 400, 'bad_request')

    def test_huge_bodies(self):
        """A body that is too large is refused before it is read."""
        for raw in (
            post(b'Content-Length: 99999999999', b'abc'),
            post(b'Transfer-Encoding: chunked', CHUNK * 8),
        ):
            with self.subTest(raw=raw[:60]):
                self.assert_refused(self.exchange(raw), 413, 'too_large')

    def test_slow_senders(self):
        """A sender that never ends its head or body is let go."""
        for raw in (
            b'POST / HTTP/1.1\r\nHost:',
            post(b'Content-Length: 9', b'abc'),
            post(b'Transfer-Encoding: chunked', b'3\r\nabc\r\n'),
        ):
            with self.subTest(raw=raw[:60]):
                answer = self.exchange(raw)
                self.assert_refused(answer, 408, 'request_timeout')

    def test_dripping_sender(self):
        """Sending a byte now and then does not extend the time."""
        with self.connect() as peer:
            peer.sendall(post(b'Content-Length: 900'))
            dripping = gevent.spawn(drip, peer)
            answer = read_all(peer)
            dripping.kill()
        self.assert_refused(answer, 408, 'request_timeout')

    def test_idle_connection_is_closed(self):
        """A connection without requests is closed without an answer."""
        self.assertEqual(self.exchange(), b'')

    def test_bodies_being_read_are_bounded(self):
        """Several large bodies at a time are refused as overload."""
        with self.connect() as first, self.connect() as second:
            first.sendall(post(b'Content-Length: 900'))
            self.wait_until(lambda: self.server.reading_bytes)
            second.sendall(post(b'Content-Length: 900'))
            self.assert_refused(read_all(second), 429, 'overloaded')

    def test_too_many_connections(self):
        """One connection too many is refused at once, with a hint."""
        with contextlib.ExitStack() as opened:
            for _ in range(LIMITS.connections):
                opened.enter_context(self.connect())
            self.wait_until(
                lambda: self.server.open_connections == LIMITS.connections
            )
            answer = self.exchange()
        self.assert_refused(answer, 429, 'overloaded')
        self.assertIn(b'Retry-After: 1', answer)


def read_all(peer):
    """Read until the server closes."""
    answer = bytearray()
    while piece := peer.recv(4096):
        answer.extend(piece)
    return bytes(answer)


def drip(peer):
    """Send a byte now and then."""
    while True:
        peer.sendall(b'x')
        gevent.sleep(0.05)
