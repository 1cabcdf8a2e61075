"""Test that what is wrong with one message does not end its link.

A link carries the requests of all callers of two hosts, so a message that is
too long or unknown has to fail alone.
"""

import attrs
import gevent
from gevent import queue

from carobfork.storage import messages
from tests import plain_calls, platform_hosts

LONG = messages.Turn('long', '', bytes(messages.MAX_FRAME_BYTES), b'')
LONG_TURNS = 4
"""Turns that exceed a frame together."""
TIMEOUT_MS = 10_000


@messages.register
@attrs.frozen
class FutureMessage(messages.Place):
    """A message of a later build."""


class MessageFaultsTest(platform_hosts.DeploymentCase):
    """Messages that can't be sent or understood."""

    def setUp(self):
        """Note when a link of the entry host last ended."""
        front = self.hosts.fronts['front-0']
        self.storage = front.storage
        self.links = front.links
        self.link = self.links.all()[0]
        self.before_ms = self.links.last_disconnect_ms

    def check_links(self):
        """Check that no link has ended and turns are served."""
        self.assertEqual(self.hosts.turn('p1').status, 200)
        self.assertEqual(self.links.last_disconnect_ms, self.before_ms)

    def test_long_request(self):
        """A request that exceeds a frame is refused where it arises."""
        with self.assertRaises(messages.MessageTooLongError):
            self.storage.finish(messages.Finish(None, LONG))
        self.check_links()

    def test_long_reply(self):
        """A reply that exceeds a frame becomes a refusal.

        Hosts of an earlier build ask for whole histories.
        """
        previous = ''
        for _ in range(LONG_TURNS):
            body = bytes(messages.MAX_FRAME_BYTES // (LONG_TURNS - 1))
            turn = messages.Turn(plain_calls.new_attempt(), previous, body, b'')
            self.storage.finish(messages.Finish(None, turn))
            previous = turn.attempt
            self.wait_until_held(previous)
        request = messages.Begin(None, previous=previous, wants_details=True)
        reply = self.link.request(request, TIMEOUT_MS)
        self.assertEqual(reply.reason, 'too_long')
        self.check_links()

    def wait_until_held(self, turn):
        """Wait until all members hold a turn."""
        keepers = self.hosts.keepers.values()
        platform_hosts.wait_until(
            lambda: all(
                keeper.replica.index.has_turn(turn) for keeper in keepers
            ),
            turn,
        )

    def test_unknown_request(self):
        """A request of a later build is refused."""
        messages.MESSAGE_TYPES.pop(FutureMessage.__name__)
        reply = self.link.request(FutureMessage('a', 'b'), TIMEOUT_MS)
        self.assertEqual(reply.reason, 'unknown_message')
        self.check_links()

    def test_unknown_reply(self):
        """A reply of a later build leaves its request without a reply."""
        inbox = queue.Queue()
        self.link.send_request(messages.Place('a', 'b'), inbox.put)
        done = messages.MESSAGE_TYPES.pop('Done')
        try:
            with gevent.Timeout(TIMEOUT_MS / 1000):
                self.assertIsNone(inbox.get())
        finally:
            messages.register(done)
        self.check_links()
