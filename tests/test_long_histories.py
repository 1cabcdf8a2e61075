"""Test that conversations go on however long their histories are."""

import itertools
import unittest

from carobfork.storage import memberships, messages
from tests import configurations, platform_hosts
from tests.platform_hosts import wait_until

BODY_BYTES = 4_194_304
"""Longest legal body, in the configuration."""
TURN_BYTES = 3_400_000
TURNS = 5
"""Together they are longer than a message between hosts may be."""
OUTPUT = b'word1\nword2\nword3\nword4\n'
LONG_CHAIN_BYTES = 2 * (TURN_BYTES + len(OUTPUT))


class BatchesTest(unittest.TestCase):
    """Batches of records that are given to another host."""

    def test_long_records_go_alone(self):
        """A batch of several records is bounded, in bytes and in number."""
        short, long = b'', bytes(messages.MAX_GIVE_BYTES)
        rest = itertools.repeat(short, messages.MAX_GIVE_RECORDS)
        records = [short, long, long, *rest]
        batches = list(memberships.batch_records(records))
        self.assertEqual([len(batch) for batch in batches], [2, 64, 1])
        self.assertEqual(list(itertools.chain(*batches)), records)


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

    def test_host_with_long_turns_is_emptied(self):
        """A host gives its records away, however long they are together.

        Guards against a retirement that never ended, with all links to the
        leaving host broken again and again.
        """
        previous, history = self.run_long_turns()
        self.hosts.store.put('retirements', 'store-0', {'DurationS': 10})
        wait_until(self.is_emptied, 'the retirement')
        self.hosts.stop_keeper('store-0')
        attempt = self.run_turn(previous)
        self.assertTrue(self.received(attempt) == b'%binput' % history)

    def is_emptied(self):
        """Tell whether the retirement of the first store host is complete."""
        status = self.hosts.store.get('retirements', 'store-0')['Status']
        return (status or {}).get('State') == 'completed'

    def start_keeper(self, name):
        """Start a store host again and wait until it is connected."""
        self.hosts.start_keeper(name)
        wait_until(self.hosts.is_settled, f'{name} linked')
