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
    groups,
    links,
    messages,
    single_requests,
)

LOST = ('127.0.0.1', 9)


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
