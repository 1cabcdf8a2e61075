"""Test the counts of open turns at store hosts and their use in placement.

The tests guard against bursts that overload a backend server: load reports
are too old to show the calls that other entry hosts have just placed.
"""

import unittest

from carobfork import clock
from carobfork.gateway import calls, placements, worker_tables, workers
from carobfork.storage import turn_counters


class BoardTest(unittest.TestCase):
    """Test the counter of open turns on a manual clock."""

    def setUp(self):
        """Create a counter without turns."""
        self.timer = clock.ManualClock()
        self.counter = turn_counters.TurnCounter(self.timer)

    def test_turns_begin_and_end(self):
        """A turn counts once, on the worker that was assigned last."""
        self.counter.assign('t1', 'a')
        self.counter.assign('t2', 'a')
        self.counter.assign('t2', 'b')
        self.assertEqual(self.counter.counts(), {'a': 1, 'b': 1})
        self.counter.remove('t1')
        self.counter.remove('t1')
        self.counter.remove('never')
        self.assertEqual(self.counter.counts(), {'b': 1})

    def test_turns_of_a_lost_host(self):
        """Turns that never finish expire after the longest possible turn."""
        self.counter.assign('t1', 'a')
        self.timer.advance(turn_counters.OPEN_TURN_TTL_MS + 1)
        self.counter.assign('t2', 'b')
        self.assertEqual(self.counter.counts(), {'b': 1})


class BurstTest(unittest.TestCase):
    """Test entry hosts that place the turns of a burst at the same time.

    Each placement uses the counts of open turns from the store hosts.
    """

    servers = 4
    slots = 6
    hosts = 24

    def setUp(self):
        """Create idle workers and one worker table per entry host."""
        self.timer = clock.ManualClock()
        self.counter = turn_counters.TurnCounter(self.timer)
        entries = [
            workers.Entry(f's{number}', 'e', '127.0.0.1', 1, 'z', self.slots)
            for number in range(self.servers)
        ]
        self.tables = [
            worker_tables.WorkerTable(self.timer) for _ in range(self.hosts)
        ]
        for table in self.tables:
            table.apply(entries, was_unreachable=False)

    def place(self, table, number):
        """Place a turn by the counts of open turns, as the relay does."""
        call = calls.Call(f't{number}', program=f'p{number}', prompt_tokens=9)
        choose = placements.PLACEMENTS['home']
        first = choose(call, table.usable('e'), self.timer.now_ms())
        announced = first.instance if first else ''
        self.counter.assign(call.attempt, announced)
        table.update_open_turns(self.counter.counts(), announced)
        worker = choose(call, table.usable('e'), self.timer.now_ms())
        if worker is None:
            self.counter.remove(call.attempt)
            return
        worker.in_flight += 1
        self.counter.assign(call.attempt, worker.instance)

    def test_no_server_gets_more_than_its_slots(self):
        """The turns of a burst fill all slots and exceed none."""
        for number in range(60):
            self.place(self.tables[number % self.hosts], number)
        counts = self.counter.counts()
        self.assertEqual(sum(counts.values()), self.servers * self.slots)
        self.assertEqual(set(counts.values()), {self.slots})

    def test_sums_do_not_hide_a_count(self):
        """A count of turns outweighs load reports for one heartbeat."""
        table = self.tables[0]
        table.update_open_turns({'s0': 5}, '')
        table.update_remote_load({}, {})
        self.assertEqual(table.get('s0').load(self.timer.now_ms()), 5)
        self.timer.advance(worker_tables.OPEN_TURNS_TTL_MS + 1)
        table.update_remote_load({}, {})
        self.assertEqual(table.get('s0').load(self.timer.now_ms()), 0)
