"""Test admission, placement, budgets and directories on a manual clock.

The tests guard against calls that overload a backend server, wait although a
slot is free, or go to servers that are gone or have just failed.
"""

import random
import unittest

from carobfork import clock
from carobfork.gateway import (
    budgets,
    calls,
    directories,
    placements,
    queued_calls,
    queues,
    routes,
    worker_tables,
    workers,
)
from carobfork.storage import messages

SERVICE = 'engines'


def entry(instance, slots=4, **fields):
    """Return a backend server's entry."""
    return workers.Entry(
        instance, SERVICE, '127.0.0.1', 1, 'a', slots, **fields
    )


def make_route(rank=0, kind=routes.Kind.safe):
    """Return a route to the service."""
    return routes.Route(
        'r', 'h', '/', kind, (routes.Backend(SERVICE, 1),), rank=rank
    )


class WorkersTest(unittest.TestCase):
    """Test which workers may get calls.

    The registry and the results of calls both decide. The tests guard against
    losing all workers in an outage of the registry, and against calls to
    workers that are gone.
    """

    def setUp(self):
        """Register two workers."""
        self.timer = clock.ManualClock()
        self.table = worker_tables.WorkerTable(self.timer)
        self.apply('a', 'b')

    def apply(self, *instances, was_unreachable=False):
        """Apply a listing of the registry."""
        self.table.apply([entry(name) for name in instances], was_unreachable)

    def usable(self):
        """Return the workers that may get calls."""
        return [worker.instance for worker in self.table.usable(SERVICE)]

    def test_a_server_that_is_gone(self):
        """A worker without an entry gets no calls while another has one."""
        self.apply('b')
        self.assertEqual(self.usable(), ['b'])

    def test_all_entries_lapse(self):
        """Workers whose entries all expire get calls for a limited time."""
        self.apply()
        self.assertEqual(self.usable(), ['a', 'b'])
        self.timer.advance(worker_tables.UNLISTED_TTL_MS + 1)
        self.assertEqual(self.usable(), [])

    def test_entries_come_back_after_an_outage(self):
        """Workers without an entry are kept for a while, then removed."""
        self.apply(was_unreachable=True)
        self.timer.advance(worker_tables.UNLISTED_TTL_MS + 1)
        self.assertEqual(self.usable(), ['a', 'b'])
        self.apply('a')
        self.assertEqual(self.usable(), ['a'])
        self.timer.advance(worker_tables.RELISTING_TIMEOUT_MS)
        self.apply('a')
        self.assertIsNone(self.table.get('b'))

    def test_a_draining_server(self):
        """A draining worker gets no new calls."""
        self.table.apply([entry('a', is_draining=True), entry('b')], False)
        self.assertEqual(self.usable(), ['b'])

    def test_a_restart_under_the_same_name(self):
        """A new process starts without its predecessor's failures and calls."""
        before = self.table.get('a')
        before.record_failure(self.timer.now_ms())
        before.in_flight = 3
        self.table.apply([entry('a', started_ms=5), entry('b')], False)
        after = self.table.get('a')
        self.assertEqual((after.consecutive_failures, after.in_flight), (0, 0))

    def test_another_version_under_the_same_name(self):
        """A worker with another version is a new one, whatever its start."""
        known = self.table.get('a')
        self.table.apply([entry('a', version='v2')], was_unreachable=False)
        self.assertTrue(known.is_replaced)
        self.assertEqual(self.table.get('a').entry.version, 'v2')
        self.assertFalse(self.table.get('a').is_replaced)

    def test_streams_go_on_at_one_version(self):
        """Workers of another or an unknown version don't go on with them."""
        self.table.apply(
            [entry('a', version='v1'), entry('b', version='v2'), entry('c')],
            was_unreachable=False,
        )
        for version, expected in (('v1', ['a']), ('v3', []), ('', [])):
            found = self.table.usable(SERVICE, version)
            names = [worker.instance for worker in found]
            self.assertEqual(names, expected)

    def test_a_version_that_is_avoided_is_still_the_only_one(self):
        """A failing worker of the version goes before sound ones of others."""
        self.table.apply(
            [entry('a', version='v1'), entry('b', version='v2')],
            was_unreachable=False,
        )
        self.table.get('a').record_failure(self.timer.now_ms())
        found = self.table.usable(SERVICE, 'v1')
        self.assertEqual([worker.instance for worker in found], ['a'])

    def test_failures_keep_calls_away(self):
        """The avoidance doubles; the only listed worker still gets calls."""
        failing = self.table.get('a')
        failing.record_failure(self.timer.now_ms())
        self.assertEqual(self.usable(), ['b'])
        self.timer.advance(workers.MIN_AVOID_MS)
        self.assertEqual(self.usable(), ['a', 'b'])
        failing.record_failure(self.timer.now_ms())
        self.timer.advance(workers.MIN_AVOID_MS)
        self.assertEqual(self.usable(), ['b'])
        self.apply('a')
        self.assertEqual(self.usable(), ['a'])

    def test_calls_that_fail_together(self):
        """They are one failure: a pause of the server may end them all."""
        failing = self.table.get('a')
        for _ in range(6):
            failing.record_failure(self.timer.now_ms())
            self.timer.advance(1)
        self.timer.advance(workers.MIN_AVOID_MS)
        self.assertEqual(self.usable(), ['a', 'b'])
        failing.record_failure(self.timer.now_ms())
        self.timer.advance(workers.MIN_AVOID_MS)
        self.assertEqual(self.usable(), ['b'])

    def test_a_server_that_fails_other_hosts(self):
        """Two suspecting hosts suffice, unless a call has just succeeded."""
        self.timer.advance(1000)
        self.table.update_suspects({'a': 1})
        self.assertEqual(self.usable(), ['a', 'b'])
        self.table.update_suspects({'a': 2})
        self.assertEqual(self.usable(), ['b'])
        self.table.get('a').record_success(5, self.timer.now_ms())
        self.assertEqual(self.usable(), ['a', 'b'])
        self.timer.advance(workers.OWN_SUCCESS_TTL_MS + 1)
        self.assertEqual(self.usable(), ['b'])
        self.table.update_suspects({})
        self.assertEqual(self.usable(), ['a', 'b'])

    def test_suspects_are_told(self):
        """A worker is reported as long as this host avoids it."""
        self.table.get('a').record_failure(self.timer.now_ms())
        self.assertEqual(self.table.suspects(), ['a'])
        self.timer.advance(workers.MIN_AVOID_MS)
        self.assertEqual(self.table.suspects(), [])

    def test_load_of_other_hosts(self):
        """Load reports of other hosts count until they are too old."""
        worker = self.table.get('a')
        worker.in_flight = 1
        self.table.update_remote_load({'a': 3}, {SERVICE: 3})
        self.assertEqual(self.table.remote_waiting(SERVICE), 3)
        self.assertEqual(worker.load(self.timer.now_ms()), 4)
        self.timer.advance(workers.REMOTE_LOAD_TTL_MS + 1)
        self.assertEqual(worker.load(self.timer.now_ms()), 1)
        self.assertEqual(self.table.remote_waiting(SERVICE), 0)


class PlacementTest(unittest.TestCase):
    """Test the placement policies.

    They guard against a program that loses its cached prompts, a worker that
    gets more calls than it has slots, and hosts that all choose the same one.
    """

    def setUp(self):
        """Create four idle workers."""
        self.candidates = [workers.Worker(entry(name)) for name in 'wxyz']
        self.place = placements.PLACEMENTS['home']

    def test_a_program_comes_home(self):
        """A program gets the same worker in any order of candidates."""
        call = calls.Call('a', program='p', prompt_tokens=9)
        first = self.place(call, self.candidates, 0)
        again = self.place(call, list(reversed(self.candidates)), 0)
        self.assertIs(first, again)

    def test_a_full_home_is_left(self):
        """A program leaves a full home for a free worker."""
        call = calls.Call('a', program='p', prompt_tokens=9)
        home = self.place(call, self.candidates, 0)
        home.in_flight = 4
        self.assertIsNot(self.place(call, self.candidates, 0), home)

    def test_homes_are_near(self):
        """Programs stay in a failure domain that has enough workers."""
        far = [workers.Worker(entry(name)) for name in 'abcd']
        for worker in self.candidates:
            worker.is_local = True
        for number in range(20):
            call = calls.Call('a', program=str(number), prompt_tokens=9)
            home = self.place(call, [*far, *self.candidates], 0)
            self.assertIn(home, self.candidates)

    def test_calls_go_where_a_connection_is_kept(self):
        """Calls without a prompt use a recent connection, not a stale one."""
        stale, fresh = self.candidates[0], self.candidates[3]
        stale.idle_connections = 1
        fresh.idle_connections = 1
        stale.last_kept_ms = 0
        fresh.last_kept_ms = placements.RECENT_CONNECTION_MS
        call = calls.Call('a', program='p')
        chosen = self.place(
            call, self.candidates, placements.RECENT_CONNECTION_MS + 1
        )
        self.assertIs(chosen, fresh)

    def test_repeatable_calls_use_older_connections(self):
        """A call that may be repeated goes where any connection is kept.

        Hosts that each send few calls to many servers would otherwise open a
        connection for nearly every call.
        """
        kept = self.candidates[2]
        kept.idle_connections = 1
        kept.last_kept_ms = 0
        now_ms = 10 * placements.RECENT_CONNECTION_MS
        for number in range(10):
            call = calls.Call(str(number), program='p')
            chosen = self.place(call, self.candidates, now_ms, float('inf'))
            self.assertIs(chosen, kept)

    def test_a_server_that_comes_back_in_a_burst(self):
        """Hosts with the same outdated load figures do not all choose it."""
        random.seed(1)
        busy = [workers.Worker(entry(f'b{number}')) for number in range(20)]
        for worker in busy:
            worker.update_load(3, 0)
        fresh = workers.Worker(entry('back'))
        chosen = [
            self.place(calls.Call('a'), [*busy, fresh], 0) for _ in range(100)
        ]
        self.assertLess(chosen.count(fresh), 20)

    def test_all_full(self):
        """No call is placed on a full worker."""
        for worker in self.candidates:
            worker.in_flight = 4
        self.assertIsNone(self.place(calls.Call('a'), self.candidates, 0))

    def test_overflow_takes_the_shortest_queue(self):
        """The least loaded worker takes overflow calls up to its limit."""
        for number, worker in enumerate(self.candidates):
            worker.in_flight = 7 - number % 2
        chosen = placements.place_overflow(self.candidates, 0)
        self.assertEqual(chosen.in_flight, 6)
        for worker in self.candidates:
            worker.in_flight = 8
        self.assertIsNone(placements.place_overflow(self.candidates, 0))


class DirectoryTest(unittest.TestCase):
    """Test which entry hosts are returned to callers of a failure domain.

    The tests guard against callers that are sent to hosts that are not ready
    or cut off, and against depending on too few hosts.
    """

    def setUp(self):
        """Create the directory of a host in failure domain a."""
        self.timer = clock.ManualClock()
        self.directory = directories.Directory('a0', 'a', 'a0:1', self.timer)

    def tell(self, is_leaving=False, **domains):
        """Apply a report with the given number of hosts per domain."""
        hosts = {
            f'{zone}{number}': (f'{zone}{number}:1', zone, is_leaving)
            for zone, count in domains.items()
            for number in range(count)
        }
        news = messages.News(None, {}, is_fresh=True)
        self.directory.update(messages.Hosts(7, hosts, {}, {}, news))

    def test_large_domains_serve_themselves(self):
        """Callers get only hosts of their own failure domain."""
        self.tell(a=8, b=9)
        self.assertTrue(self.directory.has_enough_local_hosts)
        for zone, count in (('a', 8), ('b', 9)):
            found = self.directory.addresses(zone, is_self_ready=True)
            self.assertEqual(len(found), count)
            self.assertTrue(all(name.startswith(zone) for name in found))

    def test_hosts_that_start_together(self):
        """A large domain uses near servers before its hosts are ready."""
        self.tell(a=8, is_leaving=True)
        self.assertTrue(self.directory.has_enough_local_hosts)
        self.assertEqual(self.directory.addresses('a', False), [])

    def test_small_domains_share_all_hosts(self):
        """Callers get all hosts if their own domain has too few."""
        self.tell(a=2, b=9)
        self.assertFalse(self.directory.has_enough_local_hosts)
        found = self.directory.addresses('a', is_self_ready=True)
        self.assertEqual(len(found), 11)

    def test_a_host_that_is_not_ready(self):
        """A host that is not ready returns the others without itself."""
        self.tell(a=7)
        found = self.directory.addresses('a', is_self_ready=False)
        self.assertNotIn('a0:1', found)
        self.tell(a=1)
        found = self.directory.addresses('a', is_self_ready=False)
        self.assertEqual(found, [])

    def test_a_host_that_is_cut_off(self):
        """Without a recent report no host is returned.

        The hosts that it knows may be cut off as well.
        """
        self.tell(a=2, b=9)
        self.timer.advance(directories.HOSTS_TTL_MS + 1)
        found = self.directory.addresses('a', is_self_ready=False)
        self.assertEqual(found, [])


class CallQueueTest(unittest.TestCase):
    """Test the queue of a service with two workers of two slots each.

    The tests guard against urgent calls that wait behind routine ones, and
    against calls that wait only to be refused.
    """

    def setUp(self):
        """Create a queue with idle workers."""
        self.timer = clock.ManualClock()
        self.table = worker_tables.WorkerTable(self.timer)
        self.table.apply([entry('a', 2), entry('b', 2)], False)
        self.queue = queues.CallQueue(
            SERVICE, self.table, self.timer, placements.PLACEMENTS['home']
        )
        self.granted = []
        self.refused = []

    def submit(self, name, rank=0, finish_ms=None, version=None):
        """Submit a call and record how it is resolved."""

        def resolve(worker):
            chosen = self.refused if worker is None else self.granted
            chosen.append((name, worker))

        call = calls.Call(name, program_deadline_ms=finish_ms)
        queued = queued_calls.QueuedCall(
            call, make_route(rank), 3000, resolve, version=version
        )
        self.queue.submit(queued)
        return queued

    def names(self):
        """Return the names of the granted calls in order."""
        return [name for name, _worker in self.granted]

    def fill(self):
        """Occupy all slots."""
        for number in range(4):
            self.submit(f'first-{number}')
        self.granted.clear()

    def test_idle_servers_take_calls_at_once(self):
        """No call waits while a slot is free."""
        self.fill()
        self.assertEqual(self.queue.waiting, [])
        self.assertFalse(self.refused)

    def test_urgent_calls_go_first(self):
        """An urgent call overtakes waiting routine calls."""
        self.fill()
        for number in range(3):
            self.submit(f'routine-{number}', rank=2)
        self.submit('urgent', rank=0)
        self.queue.release(self.table.get('a'), 100)
        self.assertEqual(self.names(), ['urgent'])

    def test_within_a_rank_the_tightest_program_goes_first(self):
        """The program that is due first gets the next slot."""
        self.fill()
        self.submit('later', finish_ms=9000)
        self.submit('sooner', finish_ms=1000)
        self.queue.release(self.table.get('a'), 100)
        self.assertEqual(self.names(), ['sooner'])

    def test_late_programs_go_behind(self):
        """A program that can be in time goes before a late one."""
        self.fill()
        self.submit('late', finish_ms=0)
        self.submit('in time', finish_ms=5000)
        self.queue.release(self.table.get('a'), 100)
        self.assertEqual(self.names(), ['in time'])

    def test_calls_that_run_once_test_no_server(self):
        """A call that runs at most once avoids a worker with a recent failure.

        It goes there only if no other worker has a free slot.
        """
        failed = self.table.get('a')
        failed.record_failure(self.timer.now_ms())
        self.timer.advance(workers.MIN_AVOID_MS)
        unsafe = make_route(kind=routes.Kind.unsafe)
        chosen = []
        for number in range(3):
            call = calls.Call(str(number))
            self.queue.submit(
                queued_calls.QueuedCall(call, unsafe, 3000, chosen.append)
            )
        names = [worker.instance for worker in chosen]
        self.assertEqual(names, ['b', 'b', 'a'])
        self.assertTrue(failed.has_recent_failure(self.timer.now_ms()))
        self.timer.advance(workers.RECENT_FAILURE_MS)
        self.assertFalse(failed.has_recent_failure(self.timer.now_ms()))

    def test_queues_of_other_hosts_count(self):
        """Calls that wait at other hosts add to the expected wait."""
        self.fill()
        self.table.update_remote_load({}, {SERVICE: 99})
        self.submit('new')
        self.assertEqual([name for name, _ in self.refused], ['new'])

    def test_long_waits_overflow_to_the_servers(self):
        """An overdue call goes to the least loaded worker's own queue."""
        self.fill()
        self.submit('waiting')
        self.timer.advance(queued_calls.MAX_WAIT_MS + 200)
        self.queue.process_waiting()
        self.assertEqual(self.names(), ['waiting'])

    def test_urgent_calls_pass_those_of_other_hosts(self):
        """An urgent call goes to a worker's queue past waiting routine ones.

        Without routine calls elsewhere it waits here as usual.
        """
        self.fill()
        self.submit('alone')
        self.assertEqual(self.names(), [])
        ranks = {2: {SERVICE: 5}}
        self.table.update_remote_load({}, {SERVICE: 5}, ranks)
        self.submit('urgent')
        self.assertEqual(self.names(), ['urgent'])

    def test_routine_calls_leave_room_in_the_servers_queues(self):
        """Overdue routine calls fill them less far if urgent calls are made."""
        self.fill()
        for number in range(4):
            self.submit(f'routine-{number}', rank=2)
        self.timer.advance(queued_calls.MAX_WAIT_MS + 200)
        self.queue.process_waiting()
        self.assertEqual(len(self.granted), 2)
        self.assertEqual(len(self.refused), 2)

    def test_what_cannot_be_served_is_refused_at_once(self):
        """Calls beyond the possible throughput are refused on arrival."""
        self.fill()
        for number in range(80):
            self.submit(f'flood-{number}')
        self.assertTrue(self.refused)
        self.assertEqual(self.timer.now_ms(), 0)
        waiting = len(self.queue.waiting)
        self.assertLess(waiting * queues.INITIAL_HOLD_MS / 4, 1000)

    def test_returns_are_spread(self):
        """Retry delays are spread and at most a third of the time left."""
        self.fill()
        pauses = {
            self.queue.retry_after_ms(3000, spread / 10) for spread in range(10)
        }
        self.assertEqual(len(pauses), 10)
        self.assertLessEqual(max(pauses), 1000)
        self.assertLessEqual(self.queue.retry_after_ms(30, 1), 10)

    def test_callers_that_leave(self):
        """A cancelled call gets no slot."""
        self.fill()
        queued = self.submit('gone')
        self.queue.cancel(queued)
        self.queue.release(self.table.get('a'), 100)
        self.assertEqual(self.names(), [])

    def test_calls_that_any_server_may_run_share_all(self):
        """A stream that goes on at one worker waits for that one only.

        The calls before it are spread over both workers. Counted at its own
        one, they would have it refused although it gets a slot in time.
        """
        self.table.apply(
            [entry('a', 2, version='v1'), entry('b', 2, version='v2')], False
        )
        self.fill()
        for number in range(3):
            self.submit(f'any-{number}')
        bound = self.submit('bound', version='v1')
        hold_ms = queues.INITIAL_HOLD_MS
        self.assertAlmostEqual(
            self.queue.expected_wait_ms(bound), 4 * hold_ms / 4 + hold_ms / 2
        )

    def test_the_last_server_of_a_version_leaves(self):
        """A stream that waits for it is refused at once."""
        self.table.apply(
            [entry('a', 2, version='v1'), entry('b', 2, version='v2')], False
        )
        self.fill()
        self.submit('bound', version='v1')
        self.table.apply([entry('a', 2, version='v1', is_draining=True)], False)
        self.queue.process_waiting()
        self.assertEqual(self.refused, [('bound', None)])

    def test_no_servers(self):
        """A call is refused at once if there is no worker."""
        self.table.apply([], False)
        self.timer.advance(worker_tables.UNLISTED_TTL_MS + 1)
        self.submit('vain')
        self.assertEqual(len(self.refused), 1)


class BudgetTest(unittest.TestCase):
    """Test when a program's budget covers another turn.

    The tests guard against concurrent turns that exceed the budget together.
    """

    def covers(self, charges, budget=100, most=40):
        """Return whether the budget covers one more turn."""
        call = calls.Call('me', budget_tokens=budget, output_tokens=most)
        return budgets.covers(call, charges)

    def test_unsettled_turns_count_with_their_most(self):
        """Turns that have not ended are charged with their maximum."""
        self.assertTrue(self.covers({'a': (60, False)}))
        self.assertFalse(self.covers({'a': (61, False)}))

    def test_the_own_reservation_counts_once(self):
        """The reservation of the turn itself is not counted twice."""
        self.assertTrue(self.covers({'me': (40, False), 'a': (60, True)}))

    def test_no_budget(self):
        """A call without a budget is always covered."""
        self.assertTrue(self.covers({'a': (900, True)}, budget=None))
