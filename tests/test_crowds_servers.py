"""Crowds of answers without end from a backend server in trouble.

Guards against LOST: a faulty server sent bytes that were no answer until the
host that had called it ran out of memory, with the requests of all callers.
"""

import gevent
from gevent import socket

from carobfork.gateway import framing
from tests import configurations, plain_calls, scripted_servers, test_crowds
from tests.scripted_servers import STREAM, WHOLE

CALLERS = 24
PIECE = b'a' * 16_384
HEAD = WHOLE.partition(b'Content-Length')[0]
EVENT = b'data: a\n\n'
STREAM_PATH = '/ask/1'
RESUMABLE = {'Accept': 'text/event-stream'}  # noqa: WPS407
CHUNKED = b''.join((HEAD, b'Transfer-Encoding: chunked\r\n\r\n'))
LONG = b''.join((HEAD, b'Content-Length: 99999999999\r\n\r\n'))
OPEN = b''.join((HEAD, b'\r\n'))
FORMS = (
    ('a status line', b'', PIECE),
    ('a header', b'HTTP/1.1 200 OK\r\nX-A: ', PIECE),
    ('headers', b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n' * 1000),
    ('empty lines', b'', b'\r\n' * 1000),
    ('informational', b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 100),
    ('a body', OPEN, PIECE),
    ('chunks', CHUNKED, b'1\r\na\r\n' * 999),
    ('a chunk size', CHUNKED, b'0' * 9999),
    ('a huge length', LONG, PIECE),
)
STREAMS = (
    ('an event', b''.join((STREAM, framing.encode_chunk(b'data: '))), PIECE),
    ('comments', STREAM, b': a\n\n' * 1000),
    ('events', STREAM, EVENT * 1000),
)


class EndlessServerTest(test_crowds.CrowdCase):
    """One entry host, whose servers send without end."""

    def setUp(self):
        """Replace the servers by one that follows a script."""
        super().setUp()
        self.scripted = self.enterContext(scripted_servers.ScriptedServer())
        for number, service in enumerate(
            (configurations.TOOLS, configurations.ENGINES)
        ):
            entry = {
                **self.host.store.get('servers', 't0')['Spec'],
                'Service': service,
                'Address': self.scripted.address,
                'Slots': 512,
                'born': 1,
            }
            self.host.store.put('servers', f's{number}', entry)
        self.host.store.remove('servers', 't0')
        self.wait_for_answer('/look/1')

    def wait_for_answer(self, path):
        """Wait until the host answers a request with a server's answer."""
        with gevent.Timeout(plain_calls.WAIT_SECONDS):
            while self.send(path).status != 200:
                gevent.sleep(0.1)

    def send(self, path, **options):
        """Send one request."""
        return plain_calls.ask(
            self.host.address, path, method='POST', body=b'x', **options
        )

    def check_forms(self, forms, path, encode=bytes, **options):
        """Let many callers ask a server that sends without end."""
        for name, start, piece in forms:
            with self.subTest(form=name):
                self.scripted.sent_bytes = 0
                self.scripted.script = self.make_script(start, encode(piece))
                asking = [
                    gevent.spawn(self.send, path, **options)
                    for _ in range(CALLERS)
                ]
                gevent.joinall(asking, timeout=plain_calls.WAIT_SECONDS)
                gevent.killall(asking)
                self.assertTrue(self.scripted.sent_bytes)
                self.scripted.script = scripted_servers.send_whole
                self.wait_for_answer('/look/1')
                self.check_host()

    def make_script(self, start, piece):
        """Return a script that sends bytes without end after others."""

        def script(sock, attempt):
            sock.sendall(start.replace(b'%b', attempt))
            self.scripted.send_forever(sock, piece)

        return script

    def test_answers(self):
        """Bytes without end in a head or a body."""
        self.check_forms(FORMS, '/look/1')

    def test_streams(self):
        """Bytes without end in a stream."""
        self.check_forms(
            STREAMS, '/chat/1', encode=framing.encode_chunk, headers=RESUMABLE
        )

    def test_reports(self):
        """Bytes without end where a server tells of itself."""
        self.scripted.report = b''.join((LONG, PIECE * 1000))
        asking = [
            gevent.spawn(self.send, STREAM_PATH, headers=RESUMABLE)
            for _ in range(CALLERS)
        ]
        gevent.joinall(asking, timeout=plain_calls.WAIT_SECONDS)
        gevent.killall(asking)
        self.assertTrue(self.scripted.reports)
        self.assertEqual(self.send('/look/1').status, 200)
        self.check_host()

    def test_callers_that_read_nothing(self):
        """A stream without end to callers that don't read it."""
        events = framing.encode_chunk(EVENT * 1000)
        self.scripted.script = self.make_script(STREAM, events)
        request = plain_calls.encode(
            '/chat/1', method='POST', body=b'x', headers=RESUMABLE
        )
        socks = []
        for _ in range(CALLERS):
            sock = socket.create_connection(self.host.address)
            self.addCleanup(sock.close)
            sock.sendall(request)
            socks.append(sock)
        gevent.sleep(test_crowds.SETTLE_SECONDS)
        self.assertEqual(self.send('/look/2').is_whole, True)
        self.check_host()
