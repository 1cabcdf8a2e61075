"""Test what hosts make of the figures that servers on shared machines report.

The tests replay a figure that flickers many times a second, after which calls
must not all go to the server that looked quickest last, and a machine that
stays slow, which must get less work.
"""

import collections
import random
import statistics
import unittest

from carobfork.gateway import calls, placements, slowdowns, workers

HOSTS = 12
SERVERS = 6
TICK_MS = 50
CALL_MS = 80


def make_tables():
    """Return the workers as each host sees them."""
    return [
        [
            workers.Worker(
                workers.Entry(
                    f's{number}', 'tools', '127.0.0.1', 1, 'z', slots=6
                ),
                mean_duration_ms=CALL_MS,
            )
            for number in range(SERVERS)
        ]
        for _host in range(HOSTS)
    ]


class SharedMachinesTest(unittest.TestCase):
    """Twelve hosts place calls on six servers for some seconds."""

    def setUp(self):
        """Create the hosts' views; all servers are idle."""
        random.seed(7)
        self.tables = make_tables()
        self.chosen = collections.Counter()

    def play(self, percent, from_ms=0, until_ms=4000):
        """Play ticks in which each host hears of all servers and places calls.

        :param percent: returns a server's figure at a time.
        :return: the mean of the largest share of a tick's calls on one server.
        """
        largest = []
        place = placements.PLACEMENTS['least_loaded']
        for now_ms in range(from_ms, until_ms, TICK_MS):
            tick = collections.Counter()
            figures = [percent(number, now_ms) for number in range(SERVERS)]
            for table in self.tables:
                for worker, figure in zip(table, figures, strict=True):
                    load = calls.ServerLoad(0, 0, 6, figure / 100)
                    worker.record_load(load, now_ms)
                for _ in range(4):
                    tick[place(calls.Call('x'), table, now_ms).instance] += 1
            self.chosen.update(tick)
            largest.append(max(tick.values()) / tick.total())
        return statistics.mean(largest)

    def test_a_flicker_draws_no_crowd(self):
        """Figures that change with each tick leave the calls spread.

        Hosts that followed the latest figures would send all calls of a tick
        to the few servers that look quickest.
        """
        largest = self.play(lambda _server, _now: random.choice((60, 100, 260)))
        self.assertLess(largest, 2 / SERVERS)
        even = self.chosen.total() / SERVERS
        for count in self.chosen.values():
            self.assertGreater(count, even / 2)
            self.assertLess(count, even * 2)

    def test_one_figure_is_no_reason_to_leave(self):
        """A single bad figure does not make a machine count as slow."""
        table = self.tables[0]
        table[0].record_load(calls.ServerLoad(0, 0, 6, 2.5), 0)
        self.assertLess(table[0].time_ratio(0), placements.SLOW_TIME_RATIO)

    def test_a_machine_that_stays_slow_gets_less_work(self):
        """After two seconds it gets less than a third of an even share."""

        def percent(server, _now):
            return 400 if server == 0 else 100

        self.play(percent, until_ms=2000)
        self.chosen.clear()
        self.play(percent, from_ms=2000)
        self.assertLess(self.chosen['s0'], self.chosen.total() / SERVERS / 3)

    def test_a_slow_home_is_left(self):
        """A program's turns leave the worker with its prompts if it is slow."""
        table = self.tables[0]
        call = calls.Call('x', program='p', prompt_tokens=9)
        place = placements.PLACEMENTS['home']
        home = place(call, table, 0)
        for now_ms in range(0, 2000, TICK_MS):
            home.record_load(calls.ServerLoad(0, 0, 6, 4), now_ms)
        self.assertIsNot(place(call, table, 2000), home)

    def test_old_figures_are_forgotten(self):
        """Without answers, a machine is believed to be as usual again."""
        slowdown = slowdowns.Slowdown()
        for now_ms in range(0, 2000, TICK_MS):
            slowdown.record(4, now_ms)
        self.assertGreater(slowdown.ratio(CALL_MS, 2000), 3)
        self.assertLess(slowdown.ratio(CALL_MS, 20_000), 1.1)
