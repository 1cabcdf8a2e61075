"""Stop sending a request that crashes the servers that run it.

Guards against a request that ends server after server, because neither retries
within a host nor a caller's attempts at other hosts know of those before.
"""

import itertools
import pathlib
import tempfile
import unittest
from unittest import mock

import attrs
import gevent

from carobfork import clock
from carobfork.gateway import (
    calls,
    fingerprints,
    framing,
    request_guards,
    unanswered_calls,
    workers,
)
from carobfork.storage import (
    crash_histories,
    crash_reporters,
    disks,
    messages,
    request_blocks,
)
from tests import configurations, plain_calls, platform_hosts

FRONTS = 3
DEADLY = b'deadly'
LEARNING_SECONDS = 1
"""Time until all hosts know of a crash; the platform allows some seconds."""
MOST_RETRIES = 3
"""The platform's bound on what reaches servers after that, once the request
has crashed three."""
CRASHES = 3
CALLS = 12
PAUSE_SECONDS = 0.4


class CrashesTest(unittest.TestCase):
    """Requests that crash servers, at three entry hosts."""

    def setUp(self):
        """Start a deployment with servers that such a request crashes."""
        self.hosts = platform_hosts.Deployment(fronts=FRONTS)
        self.enterContext(self.hosts)
        for number in range(2, 5):
            self.hosts.add_backend(f't{number}', configurations.TOOLS)
        for backend in self.hosts.backends.values():
            backend.faults.crashes_on = DEADLY
        platform_hosts.wait_until(self.knows_servers, 'the servers')

    def knows_servers(self):
        """Tell whether all entry hosts know all servers."""
        return all(
            len(list(front.table)) == len(self.hosts.backends)
            for front in self.hosts.fronts.values()
        )

    def crashes(self):
        """Return when servers crashed."""
        return sorted(
            moment
            for backend in self.hosts.backends.values()
            for moment in backend.crashes
        )

    def repeat(self, path, count=CALLS):
        """Send the deadly request to the entry hosts in turn."""
        answers = []
        fronts = itertools.cycle(list(self.hosts.fronts))
        for front in itertools.islice(fronts, count):
            answers.append(
                self.hosts.ask(path, front=front, method='POST', body=DEADLY)
            )
            gevent.sleep(PAUSE_SECONDS)
        return answers

    def assert_stopped(self):
        """Check the platform's bound."""
        crashes = self.crashes()
        self.assertGreaterEqual(len(crashes), CRASHES)
        until = crashes[CRASHES - 1] + LEARNING_SECONDS
        retries = sum(moment > until for moment in crashes)
        self.assertLessEqual(retries, MOST_RETRIES)

    def test_a_deadly_request_is_stopped_at_all_hosts(self):
        """It is refused as not run, while other requests are served."""
        answers = self.repeat('/look/7')
        self.assert_stopped()
        self.assertEqual(answers[-1].status, 503)
        for front in self.hosts.fronts:
            self.assertEqual(self.hosts.ask('/look/7', front=front).status, 200)

    def test_a_deadly_path_with_other_bodies(self):
        """Turns of several programs end servers under the same path."""
        for number in range(2, 5):
            self.hosts.add_backend(f'e{number}', configurations.ENGINES)
        for backend in self.hosts.backends.values():
            backend.faults.crashes_on = DEADLY
        platform_hosts.wait_until(self.knows_servers, 'the servers')
        fronts = itertools.cycle(list(self.hosts.fronts))
        for number, front in enumerate(itertools.islice(fronts, CALLS)):
            answer = self.hosts.turn(
                f'p{number}', front=front, path='/chat/7', body=DEADLY
            )
            gevent.sleep(PAUSE_SECONDS)
        self.assert_stopped()
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.hosts.turn('q', path='/chat/8').status, 200)

    def test_a_restart_below_a_block_forgets_nothing(self):
        """Store hosts keep the crashes of requests that aren't blocked yet."""
        self.repeat('/look/7', count=1)
        before = len(self.crashes())
        self.assertLess(before, CRASHES)
        self.hosts.restart_all()
        platform_hosts.wait_until(self.knows_servers, 'the servers')
        gevent.sleep(LEARNING_SECONDS)
        self.repeat('/look/7')
        self.assert_stopped()
        self.assertLess(len(self.crashes()), before + CRASHES)

    def test_a_restart_of_all_hosts_unblocks_nothing(self):
        """Store hosts keep blocked requests on their disks."""
        self.repeat('/look/7')
        before = len(self.crashes())
        self.hosts.restart_all()
        platform_hosts.wait_until(self.knows_servers, 'the servers')
        gevent.sleep(LEARNING_SECONDS)
        self.repeat('/look/7')
        self.assertEqual(len(self.crashes()), before)


KEYS = fingerprints.Fingerprints('request', 'path')
OTHER_KEYS = fingerprints.Fingerprints('other', 'path')


class FingerprintsTest(unittest.TestCase):
    """Which requests count as the same one."""

    def fingerprint(self, previous_turn):
        """Return the digest of a turn that continues another one."""
        call = calls.Call(
            attempt=plain_calls.new_attempt(),
            program='p',
            session='s',
            previous_turn=previous_turn,
        )
        head = framing.parse_head(b'POST /chat/7 HTTP/1.1\r\nHost: h')
        keys = fingerprints.compute_fingerprints(head, call, b'continue')
        return keys.request

    def test_turns_with_the_same_input_are_told_apart(self):
        """One that goes on from elsewhere has not crashed any server."""
        self.assertEqual(self.fingerprint('t1'), self.fingerprint('t1'))
        self.assertNotEqual(self.fingerprint('t1'), self.fingerprint('t2'))


class GuardTest(unittest.TestCase):
    """One host's decisions, on a manual clock."""

    def setUp(self):
        """Create a guard whose reports are kept."""
        self.timer = clock.ManualClock()
        self.reports = []
        self.guard = request_guards.RequestGuard(
            self.timer, self.reports.append
        )

    def crash(self, server, keys=KEYS, has_output=False):
        """Record the crash of a server under a request."""
        entry = workers.Entry(server, 'tools', '127.0.0.1', 1, 'z', 4)
        call = unanswered_calls.UnansweredCall(
            keys, 'x', has_output, self.timer.now_ms()
        )
        self.guard.record_crash(call, workers.Worker(entry))

    def test_a_server_counts_once(self):
        """Retries on one server process do not add up."""
        for _ in range(CRASHES):
            self.crash('t0')
        self.assertFalse(self.guard.left_ms(KEYS))

    def test_a_server_that_the_registry_tells_of_late(self):
        """A process of the same entry that crashes later is another one."""
        for _ in range(CRASHES):
            self.assertFalse(self.guard.left_ms(KEYS))
            self.crash('t0')
            self.timer.advance(crash_histories.SAME_CRASH_MS)
        self.assertTrue(self.guard.left_ms(KEYS))

    def test_a_crash_that_several_hosts_report(self):
        """Reports that arrive late count as the crash that they tell of."""
        late_ms = 2 * crash_histories.SAME_CRASH_MS
        history = crash_histories.CrashHistory(self.timer)
        history.add('f', 't0', has_output=False)
        self.timer.advance(late_ms)
        history.add('f', 't0', has_output=False, age_ms=late_ms)
        self.assertEqual(
            history.weight('f'), crash_histories.SILENT_CRASH_WEIGHT
        )

    def test_calls_that_had_begun_count_less(self):
        """A call whose answer had begun was probably there by chance."""
        for number in range(CRASHES + 1):
            self.assertFalse(self.guard.left_ms(KEYS))
            self.crash(f't{number}', has_output=True)
        self.assertTrue(self.guard.left_ms(KEYS))

    def test_one_request_blocks_no_path(self):
        """Others to its path are served at hosts that had no answer on it."""
        for number in range(CRASHES):
            self.crash(f't{number}')
        self.assertTrue(self.guard.left_ms(KEYS))
        self.assertFalse(self.guard.left_ms(OTHER_KEYS))

    def test_the_first_crash_under_another_request(self):
        """Programs that come one after the other don't crash three each."""
        for number in range(CRASHES):
            self.crash(f't{number}')
        self.crash('t9', OTHER_KEYS)
        self.assertTrue(
            self.guard.left_ms(fingerprints.Fingerprints('third', 'path'))
        )

    def test_requests_beside_a_deadly_one(self):
        """Crashes that one request explains say nothing about others."""
        for number in range(CRASHES):
            self.crash(f't{number}')
            beside = fingerprints.Fingerprints(f'beside-{number}', 'path')
            self.crash(f't{number}', beside)
        self.assertTrue(self.guard.left_ms(KEYS))
        self.assertFalse(
            self.guard.left_ms(fingerprints.Fingerprints('third', 'path'))
        )

    def test_several_requests_block_a_path(self):
        """Programs that ask the same have different bodies."""
        for number in range(CRASHES):
            self.crash(
                f't{number}', fingerprints.Fingerprints(f'r{number}', 'path')
            )
        self.assertTrue(self.guard.left_ms(OTHER_KEYS))

    def test_a_path_that_is_answered_is_not_blocked(self):
        """Other requests to a path in use go on; the deadly one does not."""
        self.guard.record_answer(OTHER_KEYS)
        for number in range(CRASHES):
            self.crash(f't{number}')
        self.assertTrue(self.guard.left_ms(KEYS))
        self.assertFalse(self.guard.left_ms(OTHER_KEYS))

    def test_weights_of_a_path_that_is_answered(self):
        """What other hosts count is not kept for a path in use."""
        self.guard.record_answer(OTHER_KEYS)
        self.guard.learn({'path': crash_histories.BLOCKED_WEIGHT})
        self.timer.advance(request_guards.ANSWERED_TTL_MS + 1)
        self.assertFalse(self.guard.left_ms(KEYS))
        self.guard.learn({'path': crash_histories.BLOCKED_WEIGHT})
        self.assertTrue(self.guard.left_ms(KEYS))

    def test_a_block_ends(self):
        """A request may run again long after its last crash."""
        for number in range(CRASHES):
            self.crash(f't{number}')
        self.timer.advance(crash_histories.BLOCK_MS + 1)
        self.assertFalse(self.guard.left_ms(KEYS))

    def test_blocks_of_other_hosts(self):
        """Requests are blocked and released as the store hosts say."""
        news = messages.News(None, {}, is_fresh=True)
        empty = messages.Hosts(1, None, {}, {}, news)
        self.guard.apply_blocked(
            attrs.evolve(empty, blocked_version=4, blocked={'path': 1000})
        )
        self.assertTrue(self.guard.left_ms(OTHER_KEYS))
        self.assertEqual(self.guard.blocked_version, 4)
        self.guard.apply_blocked(empty)
        self.assertTrue(self.guard.left_ms(OTHER_KEYS))
        self.guard.apply_blocked(
            attrs.evolve(empty, blocked_version=5, blocked={})
        )
        self.assertFalse(self.guard.left_ms(OTHER_KEYS))

    def test_a_wrong_block_is_cleared(self):
        """A host that got answers on a path clears it at all hosts."""
        self.guard.record_answer(KEYS)
        news = messages.News(None, {}, is_fresh=True)
        self.guard.apply_blocked(
            messages.Hosts(1, None, {}, {}, news, blocked={'path': 1000})
        )
        self.assertFalse(self.guard.left_ms(KEYS))
        self.assertEqual(self.reports, [messages.CrashCleared('path')])


class BlocksTest(unittest.TestCase):
    """What store hosts keep and tell each other."""

    def setUp(self):
        """Create the blocks of two store hosts."""
        self.timer = clock.ManualClock()
        self.blocks = [
            request_blocks.RequestBlocks(self.open_disk(), self.timer)
            for _ in range(2)
        ]

    def open_disk(self, folder=None):
        """Return a disk in a folder, or in a new one."""
        self.folder = folder or self.enterContext(tempfile.TemporaryDirectory())
        disk = disks.Disk(pathlib.Path(self.folder), clock.WallClock())
        self.addCleanup(disk.close)
        return disk

    def crash(self, count):
        """Report crashes of several servers to the last store host."""
        for number in range(count):
            self.blocks[-1].add(messages.Crash('f', f't{number}', False))

    def test_blocks_reach_other_store_hosts_and_the_disk(self):
        """A store host that missed the reports learns of the block."""
        versions = [blocks.version for blocks in self.blocks]
        self.crash(CRASHES - 1)
        self.assertEqual(self.blocks[-1].blocked(), {})
        self.crash(CRASHES)
        self.blocks[0].merge(self.blocks[-1].blocked())
        for blocks, version in zip(self.blocks, versions, strict=True):
            self.assertEqual(list(blocks.blocked()), ['f'])
            self.assertNotEqual(blocks.version, version)
        reopened = request_blocks.RequestBlocks(
            self.open_disk(self.folder), self.timer
        )
        self.assertEqual(list(reopened.blocked()), ['f'])

    def test_crashes_below_a_block_outlast_a_restart(self):
        """A restart of all store hosts lets it crash no more servers."""
        running = gevent.spawn(self.blocks[-1].run)
        self.addCleanup(running.kill)
        self.crash(CRASHES - 1)
        gevent.sleep(LEARNING_SECONDS)
        reopened = request_blocks.RequestBlocks(
            self.open_disk(self.folder), self.timer
        )
        reopened.add(messages.Crash('f', 't0', has_output=False))
        self.assertEqual(reopened.blocked(), {})
        reopened.add(messages.Crash('f', 't9', has_output=False))
        self.assertEqual(list(reopened.blocked()), ['f'])

    def test_a_file_that_can_not_be_read(self):
        """A store host starts without the crashes, but with its records."""
        disk = self.open_disk()
        pathlib.Path(self.folder, 'crashes').write_bytes(b'\xc1')
        blocks = request_blocks.RequestBlocks(disk, self.timer)
        self.assertEqual(blocks.weights(['f']), {})

    def test_a_cleared_request_stays_cleared(self):
        """Peers that have not heard of it do not block it again."""
        self.crash(CRASHES)
        stale = self.blocks[-1].blocked()
        self.blocks[-1].clear(messages.CrashCleared('f'))
        self.blocks[-1].merge(stale)
        self.assertEqual(self.blocks[-1].blocked(), {})

    def test_memory_is_bounded(self):
        """Many suspects push out those whose last crash is oldest."""
        history = crash_histories.CrashHistory(self.timer)
        for number in range(crash_histories.MAX_REQUESTS + 1):
            history.block(str(number), 1000)
        blocked = sum(
            bool(history.left_ms(str(number)))
            for number in range(crash_histories.MAX_REQUESTS + 1)
        )
        self.assertEqual(blocked, crash_histories.MAX_REQUESTS)
        self.assertFalse(history.left_ms('0'))


class ReporterTest(unittest.TestCase):
    """Which store hosts get reports."""

    def test_reports_go_to_store_hosts_that_keep_them(self):
        """Others would not know the message."""
        links = {disk: mock.Mock() for disk in ('old', 'new')}
        reporter = crash_reporters.CrashReporter(links, clock.ManualClock())
        reporter.set_keeper('new', keeps_crashes=True)
        crash = messages.Crash('f', 't0', has_output=False)
        reporter.report(crash)
        links['old'].send_request.assert_not_called()
        links['new'].send_request.assert_called_once_with(crash, mock.ANY)

    def test_a_lost_report_is_sent_again(self):
        """A store host that restarts gets the report a little later."""
        link = mock.Mock()
        link.send_request.side_effect = [None, None]
        reporter = crash_reporters.CrashReporter(
            {'new': link}, clock.ManualClock()
        )
        reporter.set_keeper('new', keeps_crashes=True)
        reporter.report(messages.Crash('f', 't0', has_output=False))
        link.send_request.call_args.args[1](None)
        platform_hosts.wait_until(lambda: link.send_request.call_count == 2)
