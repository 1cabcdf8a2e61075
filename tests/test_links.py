"""Test requests on connections of their own, and links at a start.

The tests guard against hosts that wait for a peer that is not there, or that
sends bytes without end.
"""

import contextlib
import unittest
from unittest import mock

import gevent
from gevent import server, socket

from carobfork import clock, exceptions
from carobfork.gateway import relays
from carobfork.roles import front
from carobfork.storage import (
    clients,
    connections,
    groups,
    links,
    messages,
    single_requests,
)

LOST = ('127.0.0.1', 9)
UNREAD_REQUESTS = 12


def drip(sock, _address):
    """Send a byte of a frame that never ends, now and then."""
    with contextlib.suppress(OSError):
        sock.sendall(b'\x00\x01\x00\x00')
        while True:
            sock.sendall(b'a')
            gevent.sleep(0.02)


class RequestOnceTest(unittest.TestCase):
    """Requests to seeds and peers that misbehave."""

    def test_a_reply_that_never_ends(self):
        """A peer that drips bytes holds a request for a bounded time."""
        listener = server.StreamServer(('127.0.0.1', 0), drip)
        listener.start()
        self.addCleanup(listener.stop)
        address = listener.server_host, listener.server_port
        with gevent.Timeout(30), self.assertRaises(TimeoutError):
            single_requests.request_once(address, messages.Recall())

    def test_a_start_beside_hosts_that_are_still_down(self):
        """A lost first packet costs less than half of what callers wait.

        After a loss of all power, entry hosts ask before the store hosts
        listen; the packet is lost and nothing answers.
        """
        timeouts = []

        def lose_packet(_address, timeout):
            timeouts.append(timeout * 1000)
            raise TimeoutError

        with (
            mock.patch.object(socket, 'create_connection', lose_packet),
            self.assertRaises(TimeoutError),
        ):
            single_requests.request_once(LOST, messages.Recall())
        delay_ms = timeouts[0] + front.RECALL_INTERVAL_MS
        self.assertLess(delay_ms, relays.STARTUP_TIMEOUT_MS / 2)


class PausedHostTest(unittest.TestCase):
    """A host whose process stood still, as beside load or when frozen.

    Its timeouts end first then, before replies that have arrived are read.
    """

    def read(self, timeouts):
        """Read from a socket after some timeouts; return their sum."""
        sock = mock.Mock()
        sock.recv.side_effect = [*(TimeoutError for _ in range(timeouts)), b'']
        with mock.patch.object(
            connections.gevent, 'Timeout', wraps=gevent.Timeout
        ) as timeout:
            connections.Connection(sock).read(lambda: 900, mock.Mock())
        sock.settimeout.assert_called_once_with(0.9)
        return sum(call[0][0] for call in timeout.call_args_list)

    def test_a_pause_is_not_the_peers_silence(self):
        """One late timeout costs a step, and what has arrived is read.

        A write that begins in one of the later steps has the whole time.
        """
        seconds = self.read(len(connections.SILENCE_STEPS) - 1)
        self.assertAlmostEqual(seconds, 0.9)

    def test_silence_ends_a_connection(self):
        """All steps together take as long as silence is tolerated."""
        with self.assertRaises(TimeoutError):
            self.read(len(connections.SILENCE_STEPS))

    def test_peers_in_calm(self):
        """The first step outlasts the pause between two heartbeats."""
        for interval_ms in (
            links.HEARTBEAT_INTERVAL_MS,
            links.IDLE_HEARTBEAT_INTERVAL_MS,
        ):
            silence_ms = interval_ms + links.SILENCE_TIMEOUT_MS
            first_ms = silence_ms * connections.SILENCE_STEPS[0]
            self.assertGreater(first_ms, interval_ms)

    def test_a_pause_after_a_probe(self):
        """A probe's answer is read before the peer counts as silent."""
        timer = clock.ManualClock()

        def sleep(_seconds):
            if timer.now_ms():
                self.link.last_received_ms = timer.now_ms()
            else:
                timer.advance(links.PROBE_TIMEOUT_MS)

        self.assertFalse(self.is_closed(timer, sleep))

    def test_a_probe_that_is_answered_at_once(self):
        """Also if nothing follows, and the host looks a little late."""
        timer = clock.ManualClock()

        def sleep(seconds):
            if not timer.now_ms():
                timer.advance(1)
                self.link.last_received_ms = timer.now_ms()
            timer.advance(seconds * 1000 + 1)

        self.assertFalse(self.is_closed(timer, sleep))

    def test_a_probe_that_is_not_answered(self):
        """The connection is closed."""
        timer = clock.ManualClock(1)

        def sleep(seconds):
            timer.advance(seconds * 1000)

        self.assertTrue(self.is_closed(timer, sleep))

    def is_closed(self, timer, sleep):
        """Return whether a link closes its connection after a probe.

        The last reply before the probe came at the time 0.
        """
        self.link = links.Link(mock.Mock(), timer, mock.Mock(), mock.Mock())
        self.link.last_received_ms = 0
        connection = mock.Mock()
        with mock.patch.object(connections.gevent, 'sleep', sleep):
            self.link._close_if_silent(connection, timer.now_ms())
        return connection.close.called


class SilentMembersTest(unittest.TestCase):
    """Operations of an entry host that is cut off from the store hosts."""

    def setUp(self):
        """Create a client whose members take requests and never reply."""
        self.links = mock.Mock()
        self.links.connected_disks.return_value = {'a', 'b', 'c'}
        self.links.last_disconnect_ms = 0
        members = tuple(
            groups.Member(f'store-{disk}', disk, '127.0.0.1', 1)
            for disk in 'abc'
        )
        self.links.all.return_value = [
            mock.Mock(is_connected=True, member=member) for member in members
        ]
        self.client = clients.Client(
            self.links, 1, 'front', 'z', clock.SystemClock()
        )
        self.client.apply(groups.Group(1, members))

    def test_silent_members_are_probed_early(self):
        """A turn without replies probes the members before a heartbeat would.

        Its caller is then told that it has not run, and uses another host.
        """
        with self.assertRaises(exceptions.NotRunError):
            self.client.begin(messages.Begin(None))
        self.links.probe_silent.assert_called_with(clients.SLOW_REPLY_MS)
        self.assertLess(
            clients.SLOW_REPLY_MS + links.PROBE_TIMEOUT_MS,
            links.HEARTBEAT_INTERVAL_MS + links.SILENCE_TIMEOUT_MS,
        )


class UnreadRequestsTest(unittest.TestCase):
    """A peer that reads nothing, as if it were frozen."""

    def setUp(self):
        """Connect to a peer that never reads."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        sock = socket.create_connection(listener.getsockname())
        self.connection = self.enterContext(connections.Connection(sock))
        self.replies = []

    def send(self, length):
        """Send a message with so many bytes."""
        turn = messages.Turn('a', '', bytes(length), b'')
        finish = messages.Finish(None, turn)
        self.connection.send(1, finish, self.replies.append)
        gevent.sleep(0)

    def test_long_requests(self):
        """Long messages to a peer that reads nothing are given up at once.

        Guards against entry hosts that ended by their memory while a store
        host was frozen and long turns were stored at the others.
        """
        for _ in range(UNREAD_REQUESTS):
            self.send(connections.MAX_UNSENT_BYTES // 2)
        self.assertLessEqual(
            self.connection.unsent_bytes, 2 * connections.MAX_UNSENT_BYTES
        )
        self.assertIn(None, self.replies)
        self.assertLess(len(self.replies), UNREAD_REQUESTS)

    def test_short_requests(self):
        """Short messages wait as long as the connection stands."""
        self.send(connections.MAX_UNSENT_BYTES // 2)
        self.send(connections.MAX_UNSENT_BYTES * 3 // 4)
        self.send(1)
        self.assertEqual(self.replies, [None])

    def test_longest_request(self):
        """A message of any length is sent if nothing waits before it."""
        self.send(connections.MAX_UNSENT_BYTES - 1000)
        self.assertEqual(self.replies, [])
