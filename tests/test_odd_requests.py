"""Requests that a server could read as something else than an entry host.

Servers are as lenient as HTTP allows. What reaches one has to be the one
request that the caller sent.
"""

import contextlib

from gevent import socket

from carobfork.gateway import framing, message_readers
from tests import configurations, plain_calls, platform_hosts

HOST = f'Host: {configurations.HOST}'
HIDDEN = 'POST /order/hidden HTTP/1.1\r\nX-Attempt-Id: h\r\n\r\n'


def exchange(address, text):
    """Send bytes on a connection of its own and return the status, or 0."""
    with contextlib.closing(socket.create_connection(address)) as sock:
        sock.settimeout(plain_calls.WAIT_SECONDS)
        sock.sendall(text.encode('latin-1'))
        head = message_readers.Reader(sock).read_head(framing.MAX_HEAD_BYTES)
        return int(head.first[1]) if head else 0


class OddRequestsTest(platform_hosts.DeploymentCase):
    """Requests of callers that forge, or that write odd bytes."""

    def runs(self):
        """Return how many requests all servers have run."""
        return sum(
            sum(backend.runs.values())
            for backend in self.hosts.backends.values()
        )

    def assert_refused(self, text):
        """Check that a request is refused and reaches no server."""
        before = self.runs()
        address = self.hosts.address('front-0')
        with self.subTest(text):
            self.assertEqual(exchange(address, text), 400)
            self.assertEqual(self.runs(), before)

    def test_a_request_hidden_in_a_first_line(self):
        """A server that ends lines at a line feed runs no hidden request."""
        for end in ('\n', '\r'):
            self.assert_refused(
                f'GET /look/1 HTTP/1.1{end}{HOST}{end}{end}{HIDDEN}'
                f'GET /look/2 HTTP/1.1\r\n{HOST}\r\nX-Attempt-Id: a\r\n\r\n'
            )

    def test_first_lines(self):
        """Odd targets, methods and versions reach no server."""
        for first in (
            'GET /look/\t1 HTTP/1.1',
            'GET /look/\x7f HTTP/1.1',
            'GET /look/1\x0b HTTP/1.1',
            'GET /look/\xe9 HTTP/1.1',
            'G@T /look/1 HTTP/1.1',
            'GET /look/1 HTTP/9.9',
        ):
            self.assert_refused(f'{first}\r\n{HOST}\r\nX-Attempt-Id: a\r\n\r\n')

    def test_repeated_headers(self):
        """Headers of which host and server may take different values fail.

        With two attempts, the server's answer names the other one; the request
        would be sent to a second server.
        """
        for lines in (
            'X-Attempt-Id: a\r\nX-Attempt-Id: b',
            'X-Attempt-Id: a\r\nHost: other',
            'X-Attempt-Id: a\r\nX-Deadline-Ms: 1000\r\nX-Deadline-Ms: 1',
            'X-Attempt-Id: a\r\nLast-Event-Id: 1\r\nLast-Event-Id: 2',
        ):
            self.assert_refused(
                f'GET /look/1 HTTP/1.1\r\n{HOST}\r\n{lines}\r\n\r\n'
            )

    def test_control_characters_in_headers(self):
        """Header values with control characters reach no server."""
        for mark in '\x01\x0b\x7f\n\r':
            self.assert_refused(
                f'GET /look/1 HTTP/1.1\r\n{HOST}\r\nX-Attempt-Id: a\r\n'
                f'X-Other: b{mark}c\r\n\r\n'
            )

    def test_an_attempt_that_connection_names(self):
        """The attempt is passed on although Connection names its header."""
        attempt = plain_calls.new_attempt()
        answer = self.hosts.ask(
            '/look/1',
            attempt=attempt,
            headers={'Connection': 'close, X-Attempt-Id'},
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.hosts.runs(attempt), 1)

    def test_numbers_that_cannot_be_stored(self):
        """Numbers that are too long are left out, and the turn runs."""
        for number in ('9' * 5000, '9' * 30, 'nan', '1e999'):
            for name in (
                'X-Token-Budget',
                'X-Token-Count',
                'X-Finish-Ms',
                'X-Deadline-Ms',
            ):
                with self.subTest(name, number=number[:40]):
                    answer = self.hosts.turn('p', headers={name: number})
                    self.assertEqual(answer.status, 200)
