"""Test what callers get if a long history can't be read or sent."""

import itertools
import unittest
from unittest import mock

from carobfork import clock, exceptions
from carobfork.gateway import histories
from carobfork.storage import chain_messages, messages
from tests import configurations, plain_calls, platform_hosts
from tests.platform_hosts import wait_until

PAGE = bytes(chain_messages.PAGE_BYTES)
STORED = (messages.TurnLength('a', 3 * len(PAGE)),)


class RoomTest(unittest.TestCase):
    """The room of the pages of all histories."""

    def setUp(self):
        """Create a reader whose store has endless pages."""
        self.reader = histories.HistoryReader(
            lambda _stored: itertools.repeat(PAGE, 3), clock.SystemClock()
        )

    def test_room_is_held_while_pages_are_read(self):
        """It is released at the end, and if the reading is given up."""
        for is_whole in (True, False):
            pages = self.reader.iter_pages(histories.History(STORED, b'new'))
            next(pages)
            self.assertGreater(self.reader.room.reserved_bytes, len(PAGE))
            self.assertTrue(not is_whole or list(pages)[-1] == b'new')
            pages.close()
            self.assertEqual(self.reader.room.reserved_bytes, 0)

    def test_no_room(self):
        """Nothing is read without room; a short history needs none."""
        self.reader.bound_memory(len(PAGE))
        pages = self.reader.iter_pages(histories.History(STORED))
        with self.assertRaises(exceptions.NotRunError) as caught:
            next(pages)
        self.assertTrue(caught.exception.retry_after_ms)
        short = histories.History(recent=b'new')
        self.assertEqual(list(self.reader.iter_pages(short)), [b'new'])


class LostHistoryTest(platform_hosts.DeploymentCase):
    """Turns that continue a history of several pages."""

    def setUp(self):
        """Store a long turn."""
        spec = configurations.configuration(9, MaxBodyBytes=len(PAGE) * 4)
        self.hosts.store.put('config', 'main', spec)
        self.front = self.hosts.fronts['front-0']
        wait_until(lambda: self.front.relay.routes.version == 9, 'the limits')
        found = self.hosts.return_until_served('p1', body=PAGE * 3)
        self.previous = found[0]
        self.assertEqual(found[1].status, 200)
        self.attempt = plain_calls.new_attempt()

    def ask(self):
        """Continue the turn and return the answer's status."""
        headers = {'X-Previous-Turn': self.previous}
        answer = self.hosts.turn('p1', attempt=self.attempt, headers=headers)
        room = self.front.histories.room
        wait_until(lambda: not room.reserved_bytes, 'the end of the reading')
        return answer.status

    def lose(self, *pages):
        """Let the reading fail after some pages."""

        def read_pages(_turns):
            yield from pages
            raise exceptions.NotRunError('lost', step='test')

        return mock.patch.object(
            self.front.storage.chains, 'read_pages', read_pages
        )

    def test_unreadable_history(self):
        """A turn whose history can't be read is refused as not run."""
        with self.lose():
            self.assertEqual(self.ask(), 503)
        self.assertEqual(self.hosts.runs(self.attempt), 0)

    def test_history_lost_while_it_is_sent(self):
        """A turn that a server has a part of may have run.

        The server is not to blame, so others are still sent to it.
        """
        with self.lose(PAGE):
            self.assertEqual(self.ask(), 502)
        self.attempt = plain_calls.new_attempt()
        self.assertEqual(self.ask(), 200)

    def test_server_that_refuses(self):
        """The history is read again for another server."""
        engines = [self.hosts.backends[name] for name in ('e0', 'e1')]
        for full, free in (engines, reversed(engines)):
            full.faults.full = True
            free.faults.full = False
            self.attempt = plain_calls.new_attempt()
            self.assertEqual(self.ask(), 200)
            expected = b'%bword1\nword2\nword3\nword4\n' % (PAGE * 3)
            self.assertTrue(free.bodies[self.attempt].startswith(expected))
