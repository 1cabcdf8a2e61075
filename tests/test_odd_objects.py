"""Objects of the platform's store that another writer has left.

An entry that can't be read names no backend server; the others hold, and the
hosts follow all later changes.
"""

import json
import unittest

from gevent import server

from carobfork import exceptions
from carobfork.gateway import framing, message_readers
from carobfork.platform import objects, pages
from carobfork.roles import front as front_role
from tests import configurations, platform_hosts
from tests.platform_hosts import wait_until

SOUND = {  # noqa: WPS407
    'Service': configurations.TOOLS,
    'Address': '127.0.0.1:9',
    'Zone': 'a',
    'Slots': 4,
    'State': 'ready',
    'born': 1,
    'Version': 'v1',
    'Seq': 1,
}
DEEP = 5000
HUGE = '9' * 30
ODD_FIELDS = (
    ('State', '{}'),
    ('State', '["ready"]'),
    ('State', '"sleeping"'),
    ('Service', 'null'),
    ('Service', '[]'),
    ('Zone', '{}'),
    ('Slots', HUGE),
    ('Slots', '-1'),
    ('Slots', 'true'),
    ('Slots', '2.5'),
    ('Seq', HUGE),
    ('Seq', '1e999'),
    ('Seq', 'NaN'),
    ('Seq', '-Infinity'),
    ('Seq', '9' * 5000),
    ('born', HUGE),
    ('born', '"1"'),
    ('born', '{}'),
    ('other', HUGE),
    ('other', r'"\ud800"'),
    ('other', '"\xff\xfe"'),
    ('other', '[' * DEEP + ']' * DEEP),
    ('other', ''.join(('{"a":' * DEEP, '1', '}' * DEEP))),
    ('other', '[' * 100 + ']' * 100),
    ('Address', '"127.0.0.1:70000"'),
    ('Address', '"127.0.0.1:-1"'),
    ('Address', '"127.0.0.1:0"'),
    ('Address', '"server.example:80"'),
    ('Address', '[127, 0]'),
)


def encode(name, text):
    """Return an entry in which one field has a given encoding."""
    fields = {**SOUND, name: '@'}
    return json.dumps(fields).replace('"@"', text)


class OddEntriesTest(unittest.TestCase):
    """Entries of backend servers of another type, size or encoding."""

    def check_followed(self, hosts, slots):
        """Check that the next entry arrives, and that no odd one does."""
        hosts.register('t0', configurations.TOOLS, Slots=slots)
        table = hosts.fronts['front-0'].table
        wait_until(
            lambda: table.get('t0').entry.slots == slots,
            f'the entry with {slots} slots',
        )
        self.assertIsNone(table.get('odd'))

    def check_running(self, host):
        """Check that no greenlet of a host has ended."""
        self.assertFalse([task for task in host._greenlets if task.dead])

    def test_odd_fields(self):
        """After each odd entry the hosts learn of the next change."""
        with platform_hosts.Deployment() as hosts:
            for number, (name, text) in enumerate(ODD_FIELDS):
                with self.subTest(name, text=text[:20]):
                    hosts.store.put_encoded(
                        'servers', 'odd', encode(name, text)
                    )
                    self.check_followed(hosts, 10 + number)
            for host in hosts.keepers.values():
                self.check_running(host)
            self.assertTrue(hosts.fronts['front-0'].is_ready())

    def test_odd_listings(self):
        """A listing with odd entries names the others."""
        with platform_hosts.Deployment(stores=2) as hosts:
            for number, (name, text) in enumerate(ODD_FIELDS):
                hosts.store.put_encoded(
                    'servers', f'odd-{number}', encode(name, text)
                )
            hosts.store.compact()
            self.check_followed(hosts, 9)
            known = [
                worker.instance for worker in hosts.fronts['front-0'].table
            ]
            self.assertEqual(sorted(known), ['e0', 'e1', 't0', 't1'])

    def test_entry_hosts_without_store_hosts(self):
        """An entry host that follows the platform itself skips odd entries."""
        with platform_hosts.Deployment(stores=2) as hosts:
            hosts.stop_keeper('store-0')
            hosts.stop_keeper('store-1')
            front = hosts.fronts['front-0']
            wait_until(front.updates.needed.is_set, 'the end of the news')
            for number, (name, text) in enumerate(ODD_FIELDS):
                with self.subTest(name, text=text[:20]):
                    hosts.store.put_encoded(
                        'servers', 'odd', encode(name, text)
                    )
                    self.check_followed(hosts, 10 + number)

    def test_an_entry_that_becomes_odd(self):
        """A server whose entry can't be read any more gets no calls."""
        with platform_hosts.Deployment(stores=2) as hosts:
            hosts.store.put_encoded('servers', 't0', encode('Seq', 'NaN'))
            front = hosts.fronts['front-0']
            wait_until(
                lambda: (
                    front.table.get('t0') is None
                    or front.table.get('t0').unlisted_since_ms is not None
                ),
                'the entry to be dropped',
            )

    def test_odd_objects_of_other_kinds(self):
        """Configurations, groups and retirements that are odd are ignored."""
        with platform_hosts.Deployment() as hosts:
            front = hosts.fronts['front-0']
            for text in (HUGE, '[' * DEEP + ']' * DEEP, '{"Version": NaN}'):
                hosts.store.put_encoded('config', 'main', text)
                hosts.store.put_encoded('retirements', 'store-9', text)
                hosts.store.put_encoded('carobfork-storage', 'other', text)
            hosts.store.put('config', 'main', {'Version': 8, 'Services': [3]})
            hosts.store.put('config', 'main', configurations.configuration(9))
            wait_until(lambda: front.relay.routes.version == 9, 'version 9')
            for host in hosts.keepers.values():
                self.check_running(host)
            self.assertIsInstance(front, front_role.FrontRole)


class AnswersTest(unittest.TestCase):
    """Answers of the store that are no pages."""

    def setUp(self):
        """Start a store that answers with some bytes."""
        self.content = b''
        self.listener = server.StreamServer(('127.0.0.1', 0), self.answer)
        self.listener.start()
        self.addCleanup(self.listener.stop, 0)
        self.store = objects.ObjectStore(
            f'127.0.0.1:{self.listener.server_port}'
        )

    def answer(self, sock, _peer):
        """Answer one request."""
        message_readers.Reader(sock).read_head(framing.MAX_HEAD_BYTES)
        length = len(self.content)
        sock.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'
            % (length, self.content)
        )
        sock.close()

    def test_answers_that_are_no_pages(self):
        """They count as a failure of the store, which followers survive."""
        for content in (
            b'',
            b'3',
            b'[]',
            b'{}',
            b'{"CurrentRev": "3", "items": [], "events": []}',
            b'{"CurrentRev": 3, "items": {}, "events": {}}',
            b'{"CurrentRev": 3, "items": 4, "events": 4}',
            b'{"CurrentRev": 3, "items": [',
        ):
            self.content = content
            with self.subTest(content):
                with self.assertRaises(exceptions.PlatformError):
                    self.store.list('servers')
                with self.assertRaises(exceptions.PlatformError):
                    self.store.watch('servers', 1)

    def test_events_that_cannot_be_read(self):
        """The follower lists again, since the object is unknown."""
        for content in (b'null', b'{}', b'{"Object": 3}', b'[NaN]'):
            self.content = b'{"CurrentRev": 3, "events": [%b]}' % content
            with (
                self.subTest(content),
                self.assertRaises(objects.HistoryGoneError),
            ):
                self.store.watch('servers', 1)


class PagesTest(unittest.TestCase):
    """Pages that are decoded part by part."""

    def test_unreadable_parts(self):
        """Only the parts that can't be read are missing."""
        page = json.dumps(
            {'items': [{'a': [1, '],']}, {'a': float('nan')}, {'b': '"'}]}
        ).encode()
        self.assertEqual(
            pages.decode_page(page, 2),
            {'items': [{'a': [1, '],']}, None, {'b': '"'}]},
        )
        self.assertIsNone(pages.decode_page(page, 0))

    def test_pages_that_are_cut_short(self):
        """A page that is cut anywhere is an error, not a shorter page."""
        page = b'{"items": [{"a": "b,c"}, {"a": [NaN]}], "n": 1}'
        cuts = [page[:end] for end, _byte in enumerate(page) if end]
        for cut in cuts:
            with self.subTest(cut), self.assertRaises(ValueError):
                pages.decode_page(cut, 3)
