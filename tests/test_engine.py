"""Engine stand-in: caches moved, lagging reports, events with gaps, orders."""

import json
import unittest

from werkzeug.test import Client

from carobfork.state import bundles
from carobfork_standins import engine

ADDRESS = bundles.Address('127.0.0.1', 7201)
LONG_MS = 3_600_000
FAST = engine.batching.Pace(
    step_ms=1, step_per_sequence_ms=0, prefill_tokens_per_ms=1000
)


class EngineTest(unittest.TestCase):
    """One engine, called without sockets."""

    def start(self, **settings):
        """Start an engine and return its client."""
        described = engine.EngineSettings('e', ADDRESS, FAST, **settings)
        return Client(engine.EngineApplication(described))

    def chat(self, client, owner):
        """Run a call to its end."""
        text = f'{owner} asks for a rail of some width. ' * 20
        body = {
            'user': owner,
            'max_tokens': 3,
            'messages': [{'role': 'user', 'content': text}],
        }
        return client.post('/v1/chat/completions', json=body).get_data()

    def ask(self, client, path):
        """Return a JSON answer."""
        return json.loads(client.get(path).get_data())

    def order(self, client, fencing, target):
        """Give an order and return the answer's status."""
        fields = {'fencing': fencing, 'kind': 'load_model', 'target': target}
        return client.post('/orders', json=fields).status_code

    def test_cache_moves_to_another_engine(self):
        """What one engine exports, another finds in its cache."""
        first, second = self.start(), self.start()
        answer = self.chat(first, 'p')
        self.assertIn(b'"cached_tokens": 0', answer)
        exported = self.ask(first, '/cache/p')
        self.assertTrue(exported['blocks'])
        second.put('/cache/p', json=exported)
        self.assertNotIn(b'"cached_tokens": 0', self.chat(second, 'p'))

    def test_load_lags(self):
        """A report stays until its lag is over."""
        client = self.start()
        self.ask(client, '/load')
        client.put('/faults', json={'load_lag_ms': LONG_MS})
        self.chat(client, 'p')
        self.assertEqual(self.ask(client, '/load')['produced_tokens'], 0)
        client.put('/faults', json={})
        self.assertEqual(self.ask(client, '/load')['produced_tokens'], 3)

    def test_events_come_late(self):
        """An event is hidden until its lag is over."""
        client = self.start()
        client.put('/faults', json={'event_lag_ms': LONG_MS})
        self.chat(client, 'p')
        self.assertEqual(self.ask(client, '/events')['events'], [])

    def test_events_have_gaps(self):
        """Lost events show by their numbers."""
        client = self.start()
        client.put('/faults', json={'event_gap': 2})
        for owner in ('a', 'b', 'c', 'd'):
            self.chat(client, owner)
        events = self.ask(client, '/events')['events']
        numbers = [event['number'] for event in events]
        self.assertTrue(numbers)
        self.assertTrue(all(number % 2 for number in numbers))

    def test_checking_engine_refuses_old_orders(self):
        """An order with an older number changes nothing."""
        client = self.start(fencing=True)
        self.assertEqual(self.order(client, 2, 'new'), 200)
        self.assertEqual(self.order(client, 1, 'old'), 409)
        targets = [
            one['target'] for one in self.ask(client, '/orders')['orders']
        ]
        self.assertEqual(targets, ['new'])

    def test_other_engine_takes_old_orders(self):
        """An engine that does not check lets the older order win."""
        client = self.start(fencing=False)
        self.order(client, 2, 'new')
        self.assertEqual(self.order(client, 1, 'old'), 200)
        targets = [
            one['target'] for one in self.ask(client, '/orders')['orders']
        ]
        self.assertIn('old', targets)
