"""Platform stand-in: sizes, rates, counts and waiting watches."""

import json
import unittest

import gevent
from werkzeug.test import Client

from carobfork.state import bundles
from carobfork_standins import platform

ADDRESS = bundles.Address('127.0.0.1', 7001)
CALLS = 30


class PlatformTest(unittest.TestCase):
    """One platform, called without sockets."""

    def start(self, **rates):
        """Start a platform and return its client."""
        settings = platform.PlatformSettings(ADDRESS, **rates)
        return Client(platform.PlatformApplication(settings))

    def put(self, client, key, body=b'x'):
        """Create an object and return the status."""
        headers = {'If-None-Match': '*'}
        path = f'/objects/{key}'
        return client.put(path, data=body, headers=headers).status_code

    def counts(self, client):
        """Return the calls counted."""
        return json.loads(client.get('/counts').get_data())

    def test_a_megabyte_is_the_limit(self):
        """A value of the limit is taken, one byte more is not."""
        client = self.start()
        whole = b'x' * platform.MAX_BODY_BYTES
        self.assertEqual(self.put(client, 'a', whole), 201)
        larger = bytes(platform.MAX_BODY_BYTES + 1)
        self.assertEqual(self.put(client, 'b', larger), 413)

    def test_rates_are_limited_and_all_calls_counted(self):
        """Of many writes at once some are refused, and counted as such."""
        client = self.start(writes_per_second=5)
        statuses = [self.put(client, f'k{number}') for number in range(CALLS)]
        self.assertIn(429, statuses)
        counts = self.counts(client)
        self.assertEqual(counts['writes'] + counts['refused'], CALLS)

    def test_a_waiting_watch_counts(self):
        """A watch is counted while it waits, and tells of a change."""
        client = self.start()
        path = '/watch?prefix=a&since=0'
        watch = gevent.spawn(lambda: client.get(path).get_data())
        with gevent.Timeout(30):
            while 'watches' not in self.counts(client):
                gevent.sleep(0)
        self.assertEqual(self.counts(client)['watches'], 1)
        self.assertFalse(watch.ready())
        self.put(client, 'a')
        told = json.loads(watch.get(timeout=30))
        self.assertEqual(told['changes'][0]['key'], 'a')

    def test_an_outage_refuses_and_counts(self):
        """Calls while the platform is down are refused and counted."""
        client = self.start()
        client.put('/faults', json={'down': True})
        self.assertEqual(self.put(client, 'a'), 503)
        self.assertEqual(self.counts(client)['refused'], 1)
