"""A deployment whose backend servers answer with bytes of a script."""

import contextlib
import socket as sockets
import unittest

import gevent
from gevent import server

from carobfork.gateway import framing, message_readers
from tests import configurations, platform_hosts

WHOLE = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Stamp: s\r\n'
    b'Content-Length: 5\r\n\r\nwhole'
)
STREAM = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
REFUSAL = b'HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"born":1}'
HEALTH = b'HTTP/1.1 200 OK\r\nX-Instance-Id: w\r\nContent-Length: 0\r\n\r\n'
EVENT = b'id: 1\ndata: a\n\n'
SEND_BUFFER_BYTES = 65_536


def send_whole(sock, attempt):
    """Send a whole answer."""
    sock.sendall(WHOLE % attempt)


def send_stream(sock, attempt):
    """Send a stream of one event."""
    sock.sendall(STREAM % attempt)
    sock.sendall(framing.encode_chunk(EVENT) + framing.LAST_CHUNK)


class ScriptedServer:
    """Answer each request with bytes of a script, as a context manager."""

    def __init__(self):
        """Create a server that answers whole."""
        self.script = send_whole
        self.report = REPORT
        self.health = HEALTH
        self.health_checks = 0
        self.reports = 0
        self.runs = 0
        self.sent_bytes = 0
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)

    def __enter__(self):
        """Listen."""
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'
        return self

    def __exit__(self, *failure):
        """Stop listening."""
        self._server.stop(timeout=0)

    @property
    def listener(self):
        """The socket on which connections arrive."""
        return self._server.socket

    def send_forever(self, sock, piece):
        """Send bytes until the peer closes."""
        while True:
            sock.sendall(piece)
            self.sent_bytes += len(piece)
            gevent.sleep(0)

    def _serve(self, sock, _address):
        # Bytes in this side's buffer were not taken by the host, and would
        # count as sent to it.
        sock.setsockopt(
            sockets.SOL_SOCKET, sockets.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        reader = message_readers.Reader(sock)
        with contextlib.suppress(OSError), contextlib.closing(sock):
            head = reader.read_head(framing.MAX_HEAD_BYTES)
            while head is not None and self._answer(sock, reader, head):
                head = reader.read_head(framing.MAX_HEAD_BYTES)

    def _answer(self, sock, reader, head):
        """Answer a request and return whether the connection stays open."""
        reader.read_body(framing.request_shape(head), 10_000)
        if head.first[1] == '/report':
            self.reports += 1
            sock.sendall(self.report)
            return b'Connection: close' not in self.report
        if head.first[1] == '/health':
            self.health_checks += 1
            sock.sendall(self.health)
            return True
        self.runs += 1
        self.script(sock, head.get('x-attempt-id').encode())
        return True


class ScriptedCase(unittest.TestCase):
    """Cases with one scripted server for each service."""

    @classmethod
    def setUpClass(cls):
        """Start a deployment and replace its servers."""
        cls.stack = contextlib.ExitStack()
        cls.hosts = cls.stack.enter_context(platform_hosts.Deployment())
        cls.scripted = cls.stack.enter_context(ScriptedServer())
        for instance in list(cls.hosts.backends):
            cls.hosts.store.remove('servers', instance)
        for number, service in enumerate(
            (configurations.TOOLS, configurations.ENGINES)
        ):
            entry = {
                'Service': service,
                'Address': cls.scripted.address,
                'Zone': 'a',
                'Slots': 4,
                'State': 'ready',
                'born': 1,
                'Version': 'v1',
            }
            cls.hosts.store.put('servers', f's{number}', entry)
        front = cls.hosts.fronts['front-0']
        platform_hosts.wait_until(
            lambda: front.table.get('s0') and front.table.get('s1'),
            'the servers',
        )

    @classmethod
    def tearDownClass(cls):
        """Stop the deployment."""
        cls.stack.close()

    def ask(self, path='/order/1', **options):
        """Send a request and return the answer."""
        answer = self.hosts.ask(path, method='POST', body=b'x', **options)
        for worker in self.hosts.fronts['front-0'].table:
            worker.avoided_until_ms = 0
        return answer
