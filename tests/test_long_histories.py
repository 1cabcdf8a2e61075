"""Test that conversations go on however long their histories are."""

import unittest

from tests import configurations, platform_hosts
from tests.platform_hosts import wait_until

BODY_BYTES = 4_194_304
"""Longest legal body, in the configuration."""
TURN_BYTES = 3_400_000
TURNS = 5
"""Together they are longer than a message between hosts may be."""
OUTPUT = b'word1\nword2\nword3\nword4\n'
LONG_CHAIN_BYTES = 2 * (TURN_BYTES + len(OUTPUT))


class LongHistoriesTest(unittest.TestCase):
    """Conversations whose turns have long requests."""

    def setUp(self):
        """Start a deployment that accepts long bodies."""
        self.hosts = self.enterContext(platform_hosts.Deployment())
        spec = configurations.configuration(9, MaxBodyBytes=BODY_BYTES)
        self.hosts.store.put('config', 'main', spec)
        front = self.hosts.fronts['front-0']
        wait_until(lambda: front.relay.routes.version == 9, 'the limits')

    def run_turn(self, previous='', body=b'input'):
        """Run a turn and return its attempt."""
        headers = {'X-Previous-Turn': previous} if previous else {}
        attempt, answer = self.hosts.return_until_served(
            'p1', body=body, headers=headers
        )
        self.assertEqual(answer.status, 200)
        return attempt

    def run_long_turns(self):
        """Run long turns; return the last one's attempt and the history."""
        previous = ''
        history = b''
        for number in range(TURNS):
            body = bytes([ord('A') + number]) * TURN_BYTES
            previous = self.run_turn(previous, body)
            history += body + OUTPUT
        return previous, history

    def received(self, attempt):
        """Return what the backend server that ran an attempt got."""
        return next(
            backend.bodies[attempt]
            for backend in self.hosts.backends.values()
            if attempt in backend.bodies
        )

    def test_history_longer_than_a_frame(self):
        """A history that exceeds a frame neither ends a conversation nor links.

        Guards against LOST: such a turn reached no server in any number of
        tries, and each try closed the entry host's links.
        """
        previous, history = self.run_long_turns()
        links = self.hosts.fronts['front-0'].links
        disconnected_ms = links.last_disconnect_ms
        attempt = self.run_turn(previous)
        self.assertTrue(self.received(attempt) == b'%binput' % history)
        self.assertEqual(links.last_disconnect_ms, disconnected_ms)

    def test_history_in_parts_at_several_members(self):
        """The parts of a long history come from the members that hold them."""
        self.hosts.stop_keeper('store-2')
        first = self.run_turn(body=b'A' * TURN_BYTES)
        self.start_keeper('store-2')
        self.hosts.stop_keeper('store-1')
        second = self.run_turn(first, body=b'B' * TURN_BYTES)
        self.start_keeper('store-1')
        self.hosts.stop_keeper('store-0')
        storage = self.hosts.fronts['front-0'].storage
        self.assertEqual(len(storage.read_chain(second)), LONG_CHAIN_BYTES)
        third = self.run_turn(second)
        turns = b'%b%b%b%binput'
        expected = turns % (
            b'A' * TURN_BYTES,
            OUTPUT,
            b'B' * TURN_BYTES,
            OUTPUT,
        )
        self.assertTrue(self.received(third) == expected)

    def start_keeper(self, name):
        """Start a store host again and wait until it is connected."""
        self.hosts.start_keeper(name)
        wait_until(self.hosts.is_settled, f'{name} linked')
