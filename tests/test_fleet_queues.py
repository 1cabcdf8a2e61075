"""Replay a burst on many entry hosts that decide with old views.

171 hosts share 16 engines. Each orders its own queue and hears four times a
second what runs and waits at the others. The test guards against ranks that
hold within a host but not across the fleet.
"""

import collections
import random
import statistics
import unittest
from unittest import mock

import attrs

from carobfork import clock
from carobfork.gateway import (
    calls,
    placements,
    queued_calls,
    queues,
    ranks,
    routes,
    worker_tables,
    workers,
)

SERVICE = 'engines'
HOSTS = 171
ENGINES = 16
SLOTS = 6
HOLD_MS = 200
VIEW_MS = 250
TICK_MS = 10
WARM_UP_MS = 1000
UNTIL_MS = 3000
LOAD_RATIO = 1.5
"""Offered load relative to what the engines can serve."""
URGENT_RATIO = 0.4
"""Share of the calls with rank 0; the others have rank 1."""


@attrs.define(eq=False)
class Engine:
    """What really happens on an engine: a batch and a queue by arrival."""

    running: list = attrs.Factory(list)
    waiting: collections.deque = attrs.Factory(collections.deque)

    def step(self, now_ms):
        """End calls that are done, begin others; return the ended ones."""
        ended = [run for run in self.running if run.ends_ms <= now_ms]
        self.running = [run for run in self.running if run not in ended]
        while self.waiting and len(self.running) < SLOTS:
            run = self.waiting.popleft()
            run.began_ms = now_ms
            run.ends_ms = now_ms + HOLD_MS
            self.running.append(run)
        return ended


@attrs.define(eq=False)
class Run:
    """A call that was granted an engine."""

    host: 'Host'
    worker: workers.Worker
    rank: int
    arrived_ms: float
    began_ms: float = 0
    ends_ms: float = 0


class Host:
    """One entry host: its view and its queue.

    :param fleet: the fleet that it belongs to.
    """

    def __init__(self, fleet):
        """Create a host with an empty queue."""
        self.fleet = fleet
        self.table = worker_tables.WorkerTable(fleet.timer)
        entries = [
            workers.Entry(f'e{number}', SERVICE, '127.0.0.1', 1, 'z', SLOTS)
            for number in range(ENGINES)
        ]
        self.table.apply(entries, was_unreachable=False)
        self.queue = queues.CallQueue(
            SERVICE, self.table, fleet.timer, placements.PLACEMENTS['home']
        )

    def submit(self, number, rank):
        """Submit a call of a program of its own."""
        now_ms = self.fleet.timer.now_ms()

        def resolve(worker):
            if worker is None:
                self.fleet.refused[rank] += 1
            else:
                self.fleet.grant(Run(self, worker, rank, now_ms))

        call = calls.Call(str(number), program=str(number), prompt_tokens=9)
        route = routes.Route(
            'r', 'h', '/', routes.Kind.stream, (), rank=rank, is_resumable=True
        )
        self.table.update_open_turns(self.fleet.counts(), '')
        self.queue.submit(queued_calls.QueuedCall(call, route, 3000, resolve))

    def waiting_ranks(self):
        """Return the number of waiting calls by rank."""
        return collections.Counter(
            queued.route.rank for queued in self.queue.waiting
        )


class Fleet:
    """All hosts and engines on one manual clock."""

    def __init__(self):
        """Create an idle fleet."""
        self.timer = clock.ManualClock()
        self.engines = {f'e{number}': Engine() for number in range(ENGINES)}
        self.hosts = [Host(self) for _ in range(HOSTS)]
        self.refused = collections.Counter()
        self.waits = collections.defaultdict(list)
        self.busy = []

    def grant(self, run):
        """Send a call to its engine."""
        self.engines[run.worker.instance].waiting.append(run)

    def counts(self):
        """Return the calls on each engine, running and waiting."""
        return {
            name: len(engine.running) + len(engine.waiting)
            for name, engine in self.engines.items()
        }

    def play(self):
        """Play the burst."""
        per_tick = LOAD_RATIO * ENGINES * SLOTS * TICK_MS / HOLD_MS
        number = 0
        while self.timer.now_ms() < UNTIL_MS:
            for _ in range(round(per_tick)):
                number += 1
                rank = 0 if random.random() < URGENT_RATIO else 1
                random.choice(self.hosts).submit(number, rank)
            self.step()

    def step(self):
        """Move the clock by one tick."""
        self.timer.advance(TICK_MS)
        now_ms = self.timer.now_ms()
        for engine in self.engines.values():
            for run in engine.step(now_ms):
                self.note(run)
                run.host.queue.release(run.worker, HOLD_MS)
        turn = int(now_ms / TICK_MS) % (VIEW_MS // TICK_MS)
        for host in self.hosts[turn :: VIEW_MS // TICK_MS]:
            self.tell(host)
        for host in self.hosts:
            host.queue.process_waiting()
        self.busy.append(
            sum(len(engine.running) for engine in self.engines.values())
        )

    def note(self, run):
        """Note how long a call waited in all, once the burst is on."""
        if run.arrived_ms > WARM_UP_MS:
            self.waits[run.rank].append(run.began_ms - run.arrived_ms)

    def tell(self, host):
        """Tell a host what the others do."""
        waiting = collections.Counter()
        for other in self.hosts:
            if other is not host:
                waiting.update(other.waiting_ranks())
        in_flight = {
            name: count - host.table.get(name).in_flight
            for name, count in self.counts().items()
        }
        host.table.update_remote_load(
            in_flight,
            {SERVICE: waiting.total()},
            {rank: {SERVICE: count} for rank, count in waiting.items()},
        )


class BurstTest(unittest.TestCase):
    """A burst of both ranks, half as much again as can be served."""

    def play(self):
        """Play a burst and return the fleet."""
        random.seed(5)
        fleet = Fleet()
        fleet.play()
        return fleet

    def test_urgent_calls_go_first_in_the_fleet(self):
        """Rank 0 begins in its aim; the engines stay as busy as without."""
        with (
            mock.patch.object(
                queues.CallQueue, '_goes_first', return_value=False
            ),
            mock.patch.object(
                ranks.RankMemory, 'has_more_urgent', return_value=False
            ),
        ):
            local = self.play()
        fleet = self.play()
        urgent = statistics.quantiles(fleet.waits[0], n=10)[-1]
        self.assertLess(urgent, VIEW_MS)
        self.assertLess(
            statistics.mean(fleet.waits[0]),
            statistics.mean(local.waits[0]) / 2,
        )
        self.assertEqual(fleet.refused[0], 0)
        self.assertGreater(
            statistics.mean(fleet.busy), 0.97 * statistics.mean(local.busy)
        )
        self.assertGreater(len(fleet.waits[1]), len(local.waits[1]) / 2)
