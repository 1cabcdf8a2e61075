"""Sequencers: calls of one program run one at a time and in order.

Guards against calls that overlap or overtake each other when they arrive
concurrently, or before the call that they must run after.
"""

import unittest

import gevent

from carobfork import exceptions
from carobfork.coordination import sequencers
from carobfork.state import budgets, bundles, programs


def make_program():
    """Return a program without calls."""
    budget = bundles.Budget(tokens=100, calls=10, time_ms=1000)
    return programs.Program(
        identifier='entry-1.1.a',
        kind='quote',
        rank='urgent',
        ledger=budgets.Ledger(budget),
        token_digest='',
    )


class CallSequencerTest(unittest.TestCase):
    """Calls of one program in its queue."""

    def setUp(self):
        """Initialize a sequencer and a program without calls."""
        self.sequencer = sequencers.CallSequencer()
        self.program = make_program()
        self.ran = []

    def run_call(self, key, after=''):
        """Run a call that lasts until the event loop is idle and record it."""
        with self.sequencer.acquire(self.program, key, after):
            self.ran.append(key)
            gevent.idle()
            self.ran.append(f'{key} done')

    def test_order_of_arrival(self):
        """Calls run in order of arrival and never overlap."""
        keys = [str(number) for number in range(20)]
        gevent.joinall(
            [gevent.spawn(self.run_call, key) for key in keys],
            raise_error=True,
        )
        expected = [text for key in keys for text in (key, f'{key} done')]
        self.assertEqual(self.ran, expected)
        self.assertTrue(self.sequencer.is_idle(self.program.identifier))

    def test_predecessor_that_comes_later(self):
        """A call waits for a predecessor that arrives later."""
        late = gevent.spawn(self.run_call, 'b', after='a')
        gevent.idle()
        self.assertEqual(self.ran, [])
        early = gevent.spawn(self.run_call, 'a')
        gevent.joinall([late, early], raise_error=True)
        self.assertEqual(self.ran, ['a', 'a done', 'b', 'b done'])

    def test_cancelled_while_waiting(self):
        """A call that is killed in the queue does not block later calls."""
        greenlets = [gevent.spawn(self.run_call, key) for key in 'abc']
        gevent.sleep(0)
        greenlets[1].kill()
        gevent.joinall(greenlets, raise_error=True)
        self.assertEqual(self.ran, ['a', 'a done', 'c', 'c done'])

    def test_bounded(self):
        """Calls beyond ``MAX_QUEUED_CALLS`` are refused as not run."""
        waiting = [
            gevent.spawn(self.run_call, str(number))
            for number in range(sequencers.MAX_QUEUED_CALLS)
        ]
        gevent.sleep(0)
        with self.assertRaises(exceptions.OverloadedError):
            self.run_call('beyond')
        gevent.joinall(waiting, raise_error=True)
