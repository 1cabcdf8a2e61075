"""Streams that have begun and break off, and answers without a length.

Guards against a server's failure that ends up inside the caller's stream, and
against streams and answers that look complete although they broke off.
"""

import struct

import gevent
from gevent import socket

from carobfork.gateway import framing
from tests import platform_hosts, scripted_servers
from tests.scripted_servers import EVENT, REFUSAL, STREAM

NEXT_EVENT = b'id: 2\ndata: b\n\n'
TEXT = b'failed\n\n'
EVENT_STREAM = b'Content-Type: text/event-stream'
RESET = struct.pack('ii', 1, 0)


def answer_of(status, content, *fields):
    """Return the bytes of an answer, without framing by default."""
    lines = (
        b'HTTP/1.1 %b' % status,
        b'X-Attempt-Id: %b',
        b'X-Response-Stamp: s',
        *fields,
        b'',
        content,
    )
    return b'\r\n'.join(lines)


def counted(status, content, *fields):
    """Return an answer with a length."""
    length = b'Content-Length: %d' % len(content)
    return answer_of(status, content, length, *fields)


def chunked(status, content, *fields):
    """Return an answer in chunks."""
    chunks = b''.join((framing.encode_chunk(content), framing.LAST_CHUNK))
    return answer_of(status, chunks, b'Transfer-Encoding: chunked', *fields)


UNNUMBERED = b'data: failed\n\n'
FAILURES = (
    counted(b'500 Error', TEXT),
    counted(b'500 Error', NEXT_EVENT, EVENT_STREAM),
    chunked(b'500 Error', NEXT_EVENT, EVENT_STREAM),
    answer_of(b'502 Bad', TEXT),
    counted(b'404 Not Found', TEXT),
    counted(b'302 Found', NEXT_EVENT, b'Location: /', EVENT_STREAM),
    counted(b'200 OK', TEXT),
    counted(b'200 OK', TEXT, b'Content-Type: text/plain'),
    chunked(b'200 OK', NEXT_EVENT, b'Content-Type: application/json'),
    counted(b'200 OK', UNNUMBERED, EVENT_STREAM),
    answer_of(b'204 No Content', b''),
    counted(b'429 Full', TEXT),
    REFUSAL,
    b'failed',
)
LATE_FAILURE = chunked(
    b'200 OK', b''.join((NEXT_EVENT, UNNUMBERED)), EVENT_STREAM
)
"""An answer that goes on with the stream, then has an error."""


class BegunStreamsTest(scripted_servers.ScriptedCase):
    """Streams that go on at the next server, which fails."""

    def script_after_event(self, content):
        """Break off after one event, then answer with some bytes."""
        begun = []

        def script(sock, attempt):
            if begun:
                sock.sendall(content.replace(b'%b', attempt))
            else:
                begun.append(attempt)
                sock.sendall(STREAM % attempt + framing.encode_chunk(EVENT))
            sock.shutdown(socket.SHUT_RDWR)

        self.scripted.script = script

    def test_the_next_server_fails(self):
        """Nothing of its answer is passed on, and the stream breaks off."""
        for content in FAILURES:
            with self.subTest(content=content):
                self.script_after_event(content)
                answer = self.ask('/ask/1')
                self.assertFalse(answer.is_whole)
                self.assertEqual(answer.body, EVENT)

    def test_the_next_server_fails_later(self):
        """Its sound events are passed on, and what follows is not."""
        self.script_after_event(LATE_FAILURE)
        answer = self.ask('/ask/1')
        self.assertFalse(answer.is_whole)
        self.assertEqual(answer.body, b''.join((EVENT, NEXT_EVENT)))

    def test_an_event_is_missing(self):
        """The events before it are passed on, and the next server goes on."""
        rest = b'id: 3\ndata: c\n\n'
        parts = iter(
            (
                b''.join((EVENT, b'id: 3\ndata: x\n\n')),
                b''.join((NEXT_EVENT, rest)),
            )
        )
        self.scripted.script = lambda sock, attempt: sock.sendall(
            chunked(b'200 OK', next(parts), EVENT_STREAM) % attempt
        )
        answer = self.ask('/ask/1')
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body, b''.join((EVENT, NEXT_EVENT, rest)))

    def test_the_next_server_does_not_answer(self):
        """The deadline passes; the stream breaks off."""
        begun = []

        def script(sock, attempt):
            if begun:
                gevent.sleep(1)
            else:
                begun.append(attempt)
                sock.sendall(STREAM % attempt + framing.encode_chunk(EVENT))
                sock.shutdown(socket.SHUT_RDWR)

        self.scripted.script = script
        answer = self.ask('/ask/1', headers={'X-Deadline-Ms': '400'})
        self.assertFalse(answer.is_whole)
        self.assertEqual(answer.body, EVENT)

    def test_a_stream_that_is_taken_up_at_a_server_that_fails(self):
        """The caller gets no success, as it adds what comes to its stream.

        A stream is refused as not run until store hosts have recorded its
        version, which its first event waits for, but not for a slow disk.
        """
        attempt = 'f' * 16
        self.script_after_event(FAILURES[0])
        self.ask('/ask/1', attempt=attempt)
        headers = {'Last-Event-Id': '1', 'Resumes': attempt}
        self.answer_and_close(LATE_FAILURE)
        platform_hosts.wait_until(
            lambda: (
                self.ask('/ask/1', headers=headers).status
                != platform_hosts.NOT_RUN
            ),
            'the record of the version',
        )
        for content in FAILURES:
            with self.subTest(content=content):
                self.answer_and_close(content)
                answer = self.ask('/ask/1', headers=headers)
                self.assertNotEqual(answer.status, 200)
        self.answer_and_close(LATE_FAILURE)
        answer = self.ask('/ask/1', headers=headers)
        self.assertEqual(answer.body, NEXT_EVENT)
        self.assertFalse(answer.is_whole)

    def answer_and_close(self, content):
        """Let the server answer each request so and close the connection."""

        def script(sock, attempt):
            sock.sendall(content.replace(b'%b', attempt))
            sock.shutdown(socket.SHUT_RDWR)

        self.scripted.script = script


class UnframedAnswersTest(scripted_servers.ScriptedCase):
    """Answers without length and chunks, which end with the connection."""

    def answer(self, content, path, is_reset=False):
        """Return what the caller gets of such an answer."""

        def script(sock, attempt):
            sock.sendall(content.replace(b'%b', attempt))
            gevent.sleep(0.05)
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.close()
            else:
                sock.shutdown(socket.SHUT_RDWR)

        self.scripted.script = script
        return self.ask(path)

    def test_an_answer(self):
        """It is whole where the connection ends, and a failure if it resets."""
        content = answer_of(b'200 OK', b'whole')
        answer = self.answer(content, '/order/1')
        self.assertEqual((answer.status, answer.body), (200, b'whole'))
        answer = self.answer(content, '/order/1', is_reset=True)
        self.assertEqual(answer.status, 502)

    def test_a_stream(self):
        """It is whole where the connection ends after an event."""
        both = b''.join((EVENT, NEXT_EVENT))
        content = answer_of(b'200 OK', both, EVENT_STREAM)
        answer = self.answer(content, '/chat/1')
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body, both)

    def test_a_stream_that_breaks_off(self):
        """It is not whole if the connection resets or an event is cut."""
        begun = answer_of(b'200 OK', EVENT, EVENT_STREAM)
        for content, is_reset in (
            (begun, True),
            (b''.join((begun, NEXT_EVENT[:-1])), False),
            (b''.join((begun, NEXT_EVENT[:4])), False),
        ):
            with self.subTest(content=content, is_reset=is_reset):
                answer = self.answer(content, '/chat/1', is_reset)
                self.assertFalse(answer.is_whole)
                self.assertEqual(answer.body, EVENT)
