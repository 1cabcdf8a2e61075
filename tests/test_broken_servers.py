"""Test answers of backend servers that are broken, late or without end.

Each case scripts one server's bytes; the other servers of the deployment are
gone. The tests guard against answers that reach the wrong caller, broken
answers that look complete, and bytes that a host takes without end.
"""

import contextlib
import unittest

import gevent
from gevent import socket

from carobfork.gateway import events, framing
from tests import plain_calls, platform_hosts, scripted_servers
from tests.scripted_servers import (
    EVENT,
    REFUSAL,
    REPORT,
    STREAM,
    WHOLE,
    send_stream,
)

SOON_SECONDS = 2
"""Half of the time that callers wait."""


class LateAnswersTest(scripted_servers.ScriptedCase):
    """Second copies of answers on connections in use again."""

    def setUp(self):
        """Remember what each request was answered before."""
        self.before = b''

    def test_a_late_second_copy(self):
        """The copy arrives with the next answer and reaches no caller."""

        def script(sock, attempt):
            answer = WHOLE % attempt
            sock.sendall(self.before + answer)
            self.before = answer.replace(b'whole', b'other')

        self.scripted.script = script
        for _ in range(5):
            answer = self.ask()
            self.assertEqual((answer.status, answer.body), (200, b'whole'))

    def test_informational_responses(self):
        """A few are skipped; the answer after them is the answer."""
        early = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
        self.scripted.script = lambda sock, attempt: sock.sendall(
            early * 2 + WHOLE % attempt
        )
        answer = self.ask()
        self.assertEqual((answer.status, answer.body), (200, b'whole'))


class EndlessAnswersTest(scripted_servers.ScriptedCase):
    """Bytes that are no answer, without end until the caller closes."""

    def assert_cut(self, start, piece, path='/order/1', most=2_000_000):
        """Check that a host stops taking the bytes long before the deadline.

        :param start: sent first; may contain the attempt.
        :param piece: sent again and again.
        :param most: bytes that may have been sent by then.
        """
        self.scripted.sent_bytes = 0

        def script(sock, attempt):
            sock.sendall(start.replace(b'%b', attempt))
            self.scripted.send_forever(sock, piece)

        self.scripted.script = script
        answer = self.ask(path)
        self.assertFalse(answer.status == 200 and answer.is_whole)
        self.assertLess(self.scripted.sent_bytes, most)
        return answer

    def test_garbage_instead_of_a_head(self):
        """Bytes without a line end are cut at the longest head."""
        self.assertEqual(self.assert_cut(b'', b'a' * 1000).status, 502)

    def test_endless_headers(self):
        """So are headers without an end."""
        self.assert_cut(b'HTTP/1.1 200 OK\r\n', b'X-A: %b\r\n' % (b'b' * 90))

    def test_endless_empty_lines(self):
        """Only a few empty lines may come before a head."""
        self.assert_cut(b'', b'\r\n' * 100)

    def test_endless_informational_responses(self):
        """Only a few may come before an answer."""
        self.assert_cut(b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 10)

    def test_a_body_without_end(self):
        """An answer that is kept until it is whole has a longest length."""
        head = (WHOLE % b'%b').partition(b'Content-Length')[0]
        self.assert_cut(b'%b\r\n' % head, b'a' * 1000, most=4_000_000)

    def test_an_event_without_end(self):
        """A stream's event has a longest length; the caller's stream breaks."""
        line = b'id: 1\ndata: '
        start = STREAM + framing.encode_chunk(line)
        piece = framing.encode_chunk(b'a' * 1000)
        self.assert_cut(start, piece, path='/chat/1')

    def test_a_stream_without_content(self):
        """Empty lines and comments, which are no events, don't go on."""
        for line in (b'\n' * 1000, b': a\n\n' * 200, b'event: b\n\n' * 100):
            with self.subTest(line[:10]):
                self.assert_cut(
                    STREAM, framing.encode_chunk(line), path='/chat/1'
                )

    def test_trailers_without_end(self):
        """An answer with endless trailers is not complete."""
        start = b''.join((STREAM, framing.encode_chunk(EVENT), b'0\r\n'))
        self.assert_cut(start, b'X-A: b\r\n' * 10, path='/chat/1')

    def test_a_chunk_size_without_end(self):
        """A chunk's size has a longest line."""
        self.assert_cut(STREAM, b'0' * 100, path='/chat/1')

    def test_a_length_that_is_no_number(self):
        """A length of thousands of digits is malformed, not a crash."""
        head = (WHOLE % b'%b').partition(b'Content-Length')[0]
        start = b'%bContent-Length: %b\r\n\r\n' % (head, b'1' * 5000)
        self.assertEqual(self.assert_cut(start, b'a').status, 502)


class BrokenAnswersTest(scripted_servers.ScriptedCase):
    """Answers that break off."""

    def answer_and_close(self, content):
        """Let the server send bytes and close the connection."""

        def script(sock, attempt):
            sock.sendall(content.replace(b'%b', attempt))
            sock.shutdown(socket.SHUT_RDWR)

        self.scripted.script = script

    def test_a_body_that_breaks_off(self):
        """It reaches the caller as an unknown outcome, not as a success."""
        self.answer_and_close(WHOLE.replace(b'whole', b'wh'))
        self.assertEqual(self.ask().status, 502)

    def test_a_head_that_breaks_off(self):
        """It is never taken for the head of a whole answer, wherever it ends.

        A head without its last lines may lack the length of the body.
        """
        for path, whole in (('/order/1', WHOLE), ('/chat/1', STREAM)):
            head = whole[: whole.index(b'\r\n\r\n') + 3]
            ends = [head[:end] for end, _byte in enumerate(head)]
            for cut in (*ends[::7], *ends[-6:], head):
                self.answer_and_close(cut)
                with self.subTest(path, cut=cut):
                    answer = self.ask(path)
                    self.assertEqual(answer.status, 502)

    def test_a_refusal_after_a_run(self):
        """A call that has run is not told as not run, whoever refuses next."""
        begun = []

        def script(sock, _attempt):
            if begun:
                sock.sendall(REFUSAL)
            begun.append(sock)
            sock.shutdown(socket.SHUT_RDWR)

        for path in ('/look/1', '/ask/1'):
            begun.clear()
            self.scripted.script = script
            self.assertEqual(self.ask(path).status, 502)

    def test_a_stream_that_breaks_off(self):
        """Its end is missing at the caller, too."""
        self.answer_and_close(STREAM + framing.encode_chunk(EVENT))
        answer = self.ask('/chat/1')
        self.assertFalse(answer.is_whole)

    def test_a_stream_that_ends_inside_an_event(self):
        """A last chunk inside an event is no end of a stream."""
        inside = framing.encode_chunk(b'%bid: 2\ndata: b' % EVENT)
        self.answer_and_close(STREAM + inside + framing.LAST_CHUNK)
        self.assertFalse(self.ask('/chat/1').is_whole)


class ReportsTest(scripted_servers.ScriptedCase):
    """Reports that a host asks for before a resumable stream."""

    def ask_with(self, report):
        """Send a resumable stream to a server with a given report."""
        self.scripted.report = report
        self.scripted.script = send_stream
        before = self.scripted.runs
        answer = self.ask('/ask/1')
        return answer, self.scripted.runs - before

    def test_servers_that_close_after_their_report(self):
        """The stream is sent once, on a connection that does not end.

        A server without reports may close the connection after an error; it
        is trusted, since it does not tell when it started.
        """
        close = b'\r\nConnection: close\r\n\r\n'
        for report in (
            REPORT.replace(b'\r\n\r\n', close),
            b'HTTP/1.1 500 Error%b' % close,
            b'HTTP/1.1 404 Not Found%b' % close,
        ):
            with self.subTest(report):
                answer, runs = self.ask_with(report)
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.is_whole)
                self.assertEqual(runs, 1)

    def test_reports_that_are_broken(self):
        """A server that can't tell its process gets no such stream."""
        for report in (
            b'failed',
            b'HTTP/1.1 200 OK\r\nContent-Length: 9' * 9999,
        ):
            with self.subTest(report[:40]):
                answer, runs = self.ask_with(report)
                self.assertIn(answer.status, {429, 503})
                self.assertEqual(runs, 0)


class SlowStreamsTest(scripted_servers.ScriptedCase):
    """Streams that are slow but sound, and streams that only drip."""

    def test_a_slow_stream_is_not_cut(self):
        """It is passed on whole as long as its caller waits."""

        def script(sock, attempt):
            sock.sendall(STREAM % attempt)
            for number in range(1, 5):
                gevent.sleep(0.5)
                event = b'id: %d\ndata: a\n\n' % number
                sock.sendall(framing.encode_chunk(event))
            sock.sendall(framing.LAST_CHUNK)

        self.scripted.script = script
        answer = self.ask('/chat/1')
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body.count(b'id:'), 4)

    def test_a_dripping_stream_ends(self):
        """One that sends a byte now and then ends with the deadline."""

        def script(sock, attempt):
            sock.sendall(STREAM % attempt + framing.encode_chunk(EVENT))
            while True:
                gevent.sleep(0.05)
                sock.sendall(framing.encode_chunk(b':'))

        self.scripted.script = script
        answer = self.ask('/chat/1', headers={'X-Deadline-Ms': '1000'})
        self.assertFalse(answer.is_whole)
        self.assertLess(len(answer.body), events.MAX_EVENT_BYTES)


class PlannedStopTest(unittest.TestCase):
    """Requests that arrive while an entry host stops."""

    def test_a_request_that_has_just_arrived(self):
        """It is answered although its connection counted as idle."""
        with platform_hosts.Deployment() as hosts:
            sock = socket.create_connection(hosts.address('front-0'))
            with contextlib.closing(sock):
                sock.settimeout(plain_calls.WAIT_SECONDS)
                gevent.sleep(0.1)
                sock.sendall(plain_calls.encode('/look/1'))
                hosts.fronts['front-0'].server.stop_accepting()
                answer = plain_calls.read_answer(sock)
                self.assertEqual((answer.status, answer.is_whole), (200, True))
                self.assertEqual(sock.recv(1), b'')

    def test_idle_connections(self):
        """A connection without a request is closed at once."""
        with platform_hosts.Deployment() as hosts:
            sock = socket.create_connection(hosts.address('front-0'))
            with contextlib.closing(sock):
                sock.settimeout(plain_calls.WAIT_SECONDS)
                gevent.sleep(0.1)
                hosts.fronts['front-0'].server.stop_accepting()
                self.assertEqual(sock.recv(1), b'')


class StatusTest(scripted_servers.ScriptedCase):
    """Answers whose status is none of HTTP.

    Guards against MIXED: a worker in trouble answered with status 000, which a
    caller got as an answer, or waited for until its deadline.
    """

    def send_status(self, code):
        """Let the server answer with a status."""
        answer = WHOLE.replace(b'200 OK', b'%b Odd' % code)
        self.scripted.script = lambda sock, attempt: sock.sendall(
            answer % attempt
        )

    def test_unknown_codes(self):
        """The answer is malformed, which is known at once."""
        for code in (b'000', b'001', b'099', b'101', b'600', b'666', b'999'):
            with self.subTest(code=code), gevent.Timeout(SOON_SECONDS):
                self.send_status(code)
                self.assertEqual(self.ask().status, 502)

    def test_codes_of_http(self):
        """Codes that HTTP leaves open are passed on."""
        for code in (b'299', b'418', b'499'):
            with self.subTest(code=code):
                self.send_status(code)
                answer = self.ask()
                self.assertEqual(answer.status, int(code))
                self.assertEqual(answer.body, b'whole')

    def test_repeatable_call(self):
        """A call that may be repeated is sent to another server."""
        self.scripted.runs = 0
        self.send_status(b'000')
        with gevent.Timeout(SOON_SECONDS):
            self.assertNotEqual(self.ask('/look/1').status, 504)
        self.assertEqual(self.scripted.runs, 2)
