"""Test requests to backend servers that hold them without an answer.

The tests guard against callers that wait until their deadline although another
server is free, and against a slow but sound server that is taken for a stalled
one.
"""

import time
import unittest
from unittest import mock

import gevent

from carobfork import clock
from carobfork.gateway import (
    calls,
    contexts,
    routes,
    stalls,
    standbys,
    workers,
)
from tests import plain_calls, platform_hosts

SERVICE = 'tools'
LEARNED = 20
PAUSE_SECONDS = 1.1
DEADLINE_MS = 1800
SEARCH_MS = 40
FULL_CALLS = 100
"""More calls than a server's slots and its own queue take."""


class LimitTest(unittest.TestCase):
    """Limits that follow from the answers of a service, on a manual clock."""

    def setUp(self):
        """Learn a service that answers within 100 ms, give or take 20."""
        self.timer = clock.ManualClock()
        self.detector = stalls.StallDetector(self.timer)
        self.worker = workers.Worker(
            workers.Entry('a', SERVICE, '127.0.0.1', 1, 'z', slots=2)
        )
        for number in range(LEARNED):
            self.detector.record_answer(self.context(), 80 + number % 3 * 20)

    def context(self, kind=routes.Kind.safe, left_ms=3000):
        """Return a request of the service."""
        route = routes.Route('r', 'h', '/', kind, (), max_attempts=2)
        return contexts.RequestContext(
            mock.Mock(),
            calls.Call('x'),
            route,
            SERVICE,
            self.timer.now_ms() + left_ms,
            b'',
        )

    def limit_ms(self, **options):
        """Return the limit of a request to the worker."""
        return self.detector.first_limit_ms(
            self.context(**options), self.worker
        )

    def test_a_sound_service(self):
        """The limit is far above usual answers and far below the deadline."""
        self.assertEqual(self.limit_ms(), stalls.MIN_LIMIT_MS)

    def test_a_service_that_is_slow_as_a_whole(self):
        """Where all answers take long, a long wait is no stall."""
        for _ in range(LEARNED * 5):
            self.detector.record_answer(self.context(), 900)
        self.assertGreater(self.limit_ms(), 900)

    def test_time_to_send_a_history(self):
        """An answer's time starts once the request was sent whole."""
        with self.detector.watch(self.context(), self.worker) as watch:
            watch.pause()
            self.timer.advance(LEARNED * 100)
            watch.restart()
            watch.record_progress()
        self.assertEqual(self.limit_ms(), stalls.MIN_LIMIT_MS)

    def test_no_limit_without_a_reason(self):
        """Unknown services, short deadlines and full servers have no limit."""
        unknown = self.context(kind=routes.Kind.unsafe)
        self.assertIsNone(self.detector.first_limit_ms(unknown, self.worker))
        self.assertIsNone(self.limit_ms(left_ms=900))
        self.worker.in_flight = 3
        self.assertIsNone(self.limit_ms())

    def test_retries_are_few(self):
        """If most requests stall, few of them are sent a second time."""
        allowed = [self.detector.may_retry(self.context()) for _ in range(100)]
        self.assertLess(allowed.count(True), LEARNED)

    def test_what_runs_once_is_not_retried(self):
        """A stalled call that must not run twice is left where it is."""
        context = self.context(kind=routes.Kind.unsafe)
        self.assertFalse(self.detector.may_retry(context))


class SearchTest(unittest.TestCase):
    """A search for another place while the server is silent."""

    def setUp(self):
        """Watch a request whose search returns what the test says."""
        self.detector = stalls.StallDetector(clock.WallClock())
        self.detector.find_standby = self.find
        self.found = []
        self.standbys = []
        self.context = contexts.RequestContext(
            mock.Mock(),
            calls.Call('x'),
            routes.Route('r', 'h', '/', routes.Kind.safe, (), max_attempts=2),
            SERVICE,
            clock.WallClock().now_ms() + 1000 * PAUSE_SECONDS,
            b'',
        )
        worker = workers.Worker(
            workers.Entry('a', SERVICE, '127.0.0.1', 1, 'z', slots=2)
        )
        self.watch = self.detector.watch(self.context, worker)
        self.enterContext(
            mock.patch.object(
                self.detector, 'first_limit_ms', return_value=SEARCH_MS
            )
        )

    def find(self, _context, _silent_since_ms):
        """Return the next place after a while."""
        gevent.sleep(SEARCH_MS / 1000)
        place = self.standbys.pop(0) if self.standbys else None
        self.found.append(place)
        return place

    def place(self):
        """Return a place, and count how often it is given back."""
        place = standbys.Standby(mock.Mock(), mock.Mock(), None, None, None)
        place.unused = mock.Mock()
        return place

    def test_progress_ends_the_search(self):
        """A server that goes on keeps its request."""
        self.standbys = [self.place()]
        with self.watch:
            gevent.sleep(SEARCH_MS * 1.5 / 1000)
            self.watch.record_progress()
            gevent.sleep(SEARCH_MS * 2 / 1000)
        self.assertIsNone(self.context.standby)
        self.assertEqual(self.found, [])

    def test_progress_in_the_same_moment(self):
        """A place that was found too late is given back."""
        place = self.place()
        search = mock.Mock(value=place)
        with self.watch:
            self.watch._end_search(search)
        self.assertIsNone(self.context.standby)
        place.unused.close.assert_called()

    def test_the_search_goes_on(self):
        """The exchange is left at the first place that is found."""
        place = self.place()
        self.standbys = [None, place]
        with self.assertRaises(stalls.StalledError), self.watch:
            gevent.sleep(PAUSE_SECONDS)
        self.assertIs(self.context.standby, place)
        self.assertEqual(self.found, [None, place])


class StalledServersTest(platform_hosts.DeploymentCase):
    """Deployments in which one backend server holds its requests."""

    def setUp(self):
        """Let the entry host learn how long answers take."""
        for number in range(LEARNED):
            for path in ('/ask/', '/look/', '/order/'):
                self.ask(f'{path}{number}')

    def ask(self, path, **options):
        """Send a request and return its attempt and answer."""
        attempt = plain_calls.new_attempt()
        headers = {}
        if path.startswith('/ask/'):
            headers['Accept'] = 'text/event-stream'
        answer = self.hosts.ask(
            path, attempt=attempt, headers=headers, **options
        )
        return attempt, answer

    def hold(self, prefix, **faults):
        """Let the first server of a service hold what it gets."""
        for name, setting in faults.items():
            setattr(self.hosts.backends[f'{prefix}0'].faults, name, setting)

    def test_a_server_that_holds_requests(self):
        """Repeatable requests are answered by another server in time."""
        for path, prefix in (('/ask/', 'e'), ('/look/', 't')):
            self.hold(prefix, hangs=True)
            for number in range(8):
                _attempt, answer = self.ask(f'{path}{number}')
                self.assertEqual(answer.status, 200)

    def test_a_stream_that_stops(self):
        """A resumable stream goes on at another server, without a gap."""
        self.hold('e', hang_after=2)
        for number in range(8):
            _attempt, answer = self.ask(f'/ask/{number}')
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.body.count(b'id:'), 4)

    def test_what_runs_once_keeps_away(self):
        """Calls that run at most once are not repeated and soon keep away."""
        self.hold('t', hangs=True)
        statuses = []
        for number in range(12):
            attempt, answer = self.ask(f'/order/{number}', method='POST')
            statuses.append(answer.status)
            self.assertLessEqual(self.hosts.runs(attempt), 1)
        self.assertLessEqual(statuses.count(504), 2)
        self.assertEqual(set(statuses) - {200, 504}, set())


class PausedServersTest(platform_hosts.DeploymentCase):
    """Sound servers that fall silent for a second and then go on.

    Guards against requests that are taken from them before another server has
    a place (LOST).
    """

    def setUp(self):
        """Let the entry host learn, and fill all servers but the first."""
        self.table = self.hosts.fronts['front-0'].table
        for number in range(LEARNED):
            for path in ('/ask/', '/look/'):
                self.ask(f'{path}{number}')
        for instance in ('e1', 't1'):
            self.table.get(instance).in_flight += FULL_CALLS

    def tearDown(self):
        """Free the other servers."""
        for instance in ('e1', 't1'):
            self.table.get(instance).in_flight -= FULL_CALLS
        for worker in self.table:
            worker.avoided_until_ms = 0
        super().tearDown()

    def ask(self, path, deadline_ms=DEADLINE_MS):
        """Send a request and return its attempt and answer."""
        attempt = plain_calls.new_attempt()
        headers = {'X-Deadline-Ms': str(deadline_ms)}
        if path.startswith('/ask/'):
            headers['Accept'] = 'text/event-stream'
        answer = self.hosts.ask(path, attempt=attempt, headers=headers)
        return attempt, answer

    def faults(self, instance):
        """Return what is wrong with a server."""
        return self.hosts.backends[instance].faults

    def pause(self, instance):
        """Let a server fall silent at once."""
        self.faults(instance).silent_until = time.monotonic() + PAUSE_SECONDS

    def ask_and_pause(self, path, instance, delay_ms):
        """Pause a server in the middle of its answer; return the latter."""
        self.faults(instance).delay_ms = delay_ms
        asking = gevent.spawn(self.ask, path)
        gevent.sleep(delay_ms * 2.5 / 1000)
        self.pause(instance)
        return asking.get()

    def test_a_stream_without_another_place_goes_on(self):
        """It ends whole at the server that began it."""
        attempt, answer = self.ask_and_pause('/ask/1', 'e0', delay_ms=50)
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body.count(b'id:'), 4)
        self.assertEqual(self.hosts.runs(attempt), 1)

    def test_an_answer_without_another_place_arrives(self):
        """A request that may be repeated is answered by its first server."""
        self.pause('t0')
        attempt, answer = self.ask('/look/1')
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.hosts.runs(attempt), 1)

    def test_a_place_that_comes_later_is_used(self):
        """A server that stays silent gives way once another one has room."""
        self.faults('e0').hang_after = 1
        asking = gevent.spawn(self.ask, '/ask/1')
        gevent.sleep(1.2)
        self.table.get('e1').in_flight -= FULL_CALLS
        _attempt, answer = asking.get()
        self.table.get('e1').in_flight += FULL_CALLS
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body.count(b'id:'), 4)

    def test_a_standby_that_refuses(self):
        """A request that left its server waits for the next place."""
        self.faults('e0').hang_after = 1
        self.faults('e1').full = True
        asking = gevent.spawn(self.ask, '/ask/1', deadline_ms=3000)
        gevent.sleep(0.3)
        self.table.get('e1').in_flight -= FULL_CALLS
        gevent.sleep(1.2)
        self.faults('e1').full = False
        _attempt, answer = asking.get()
        self.table.get('e1').in_flight += FULL_CALLS
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body.count(b'id:'), 4)
