"""Refusals that a faulty backend server writes once more.

Guards against an earlier refusal that is taken for the answer to the next
request on a kept connection: its caller would be told that it has not run, or
it would run at a second server.
"""

import gevent

from tests import scripted_servers
from tests.scripted_servers import REFUSAL, WHOLE, send_whole

NAMED_REFUSAL = REFUSAL.replace(b'\r\n\r\n', b'\r\nX-Attempt-Id: old\r\n\r\n')
STRAY = WHOLE % b'old'
PAUSE_SECONDS = 0.05


class RepeatedRefusalsTest(scripted_servers.ScriptedCase):
    """Calls that run at most once, on a connection that was used before."""

    def setUp(self):
        """Forget the connections of the cases before."""
        self.socks = []
        relay = self.hosts.fronts['front-0'].relay
        relay.exchanger.pool.close()
        self.scripted.runs = 0

    def assert_answered(self, *pieces, after=b'', is_kept=True):
        """Check that a second request gets its own answer.

        :param pieces: what the server writes before that answer.
        :param after: what it writes after the first answer.
        :param is_kept: whether both requests come on one connection.
        """

        def script(sock, attempt):
            self.socks.append(sock)
            if len(self.socks) == 1:
                send_whole(sock, attempt)
                sock.sendall(after)
                return
            for piece in pieces:
                sock.sendall(piece)
                gevent.sleep(PAUSE_SECONDS)
            send_whole(sock, attempt)

        self.scripted.script = script
        self.assertEqual(self.ask().status, 200)
        gevent.sleep(PAUSE_SECONDS)
        answer = self.ask()
        self.assertEqual((answer.status, answer.body), (200, b'whole'))
        self.assertEqual(self.scripted.runs, 2)
        self.assertEqual(self.socks[0] is self.socks[1], is_kept)

    def test_on_an_idle_connection(self):
        """The connection is closed before anything is sent on it."""
        for copy in (REFUSAL, NAMED_REFUSAL, REFUSAL[:20]):
            with self.subTest(copy=copy):
                self.setUp()
                self.assert_answered(after=copy, is_kept=False)

    def test_before_the_answer(self):
        """The copy arrives after the connection was checked."""
        for copy in (REFUSAL, NAMED_REFUSAL):
            with self.subTest(copy=copy):
                self.setUp()
                self.assert_answered(copy)

    def test_in_parts(self):
        """A part of it arrives with the answer."""
        self.assert_answered(REFUSAL[:20], REFUSAL[20:])

    def test_after_a_stray_answer(self):
        """It follows another answer that belongs to no request."""
        self.assert_answered(STRAY, REFUSAL)

    def test_a_late_copy_of_a_refusal_without_a_name(self):
        """A connection on which the server refused a call is not used again."""
        refused = []

        def script(sock, attempt):
            if sock in refused:
                sock.sendall(REFUSAL + WHOLE % attempt)
            elif refused:
                send_whole(sock, attempt)
            else:
                refused.append(sock)
                sock.sendall(REFUSAL)

        self.scripted.script = script
        self.assertEqual(self.ask().status, 429)
        for _ in range(3):
            self.assertEqual(self.ask().status, 200)

    def test_a_refusal_without_a_name(self):
        """It says that a call has not run on a new connection only."""
        self.scripted.script = lambda sock, _attempt: sock.sendall(REFUSAL)
        self.assertEqual(self.ask().status, 429)
        self.scripted.script = send_whole
        self.assertEqual(self.ask().status, 200)
        self.scripted.script = lambda sock, _attempt: sock.sendall(REFUSAL)
        answer = self.ask(headers={'X-Deadline-Ms': '500'})
        self.assertEqual(answer.status, 504)
