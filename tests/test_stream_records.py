"""Test the records of the versions that began streams.

Guards against a record that is lost or goes back to an earlier choice, and
against messages and syncs for streams while one version serves.
"""

import pathlib
import tempfile
import unittest
from unittest import mock

import gevent
import msgspec
from gevent import event

from carobfork import clock, exceptions
from carobfork.gateway import calls, events, routes, turns, workers
from carobfork.storage import (
    clients,
    disks,
    messages,
    record_indexes,
)
from tests import platform_hosts

RETAIN_MS = 60_000
FIRST = messages.StreamVersion('engines', 'v1')
SECOND = messages.StreamVersion('engines', 'v2', number=2)


def charge(stream, is_settled=False):
    """Return the charge of an attempt."""
    return messages.Charge('p', 'a', 40, is_settled, RETAIN_MS, stream)


def first_argument(method):
    """Return the first argument of a method's last call."""
    return method.call_args[0][0]


class IndexTest(unittest.TestCase):
    """The index of one store host's disk."""

    def setUp(self):
        """Open an empty disk."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.timer = clock.ManualClock()
        self.disk = disks.Disk(self.folder, self.timer)
        self.index = self.disk.index

    def write(self, *entries):
        """Write charges, as a batch of submissions would."""
        greenlet = gevent.spawn(self.disk.run)
        for entry in entries:
            done = mock.Mock()
            record = self.index.new_record(entry, entry.retain_ms)
            self.disk.submit(disks.Submission([record], done, mock.Mock()))
            platform_hosts.wait_until(lambda check=done: check.called)
        greenlet.kill()

    def test_the_last_choice_holds(self):
        """Also if an earlier one arrives later, and after a restart."""
        self.write(charge(SECOND), charge(FIRST), charge(None, is_settled=True))
        self.assertEqual(self.index.streams.get('a'), SECOND)
        self.disk.close()
        again = disks.Disk(self.folder, self.timer)
        self.assertEqual(again.index.streams.get('a'), SECOND)

    def test_a_member_that_joins_copies_it(self):
        """Also one that has the charge, but not the last choice."""
        self.write(charge(SECOND))
        copied = [self.disk.read(entry) for entry in self.index.dump()]
        with tempfile.TemporaryDirectory() as folder:
            other = disks.Disk(pathlib.Path(folder), self.timer).index
            for known in (charge(FIRST), charge(None, is_settled=True)):
                other.apply(other.new_record(known, RETAIN_MS), mock.Mock())
                self.assertEqual(len(other.select_unknown(copied)), 1)
        self.assertEqual(self.index.select_unknown(copied), [])

    def test_records_expire(self):
        """They are kept as long as their charges."""
        self.write(charge(FIRST))
        self.timer.advance(RETAIN_MS)
        self.index.expire()
        self.assertEqual(self.index.streams.get('a'), FIRST)
        self.timer.advance(record_indexes.RETENTION_MARGIN_MS + 1)
        self.index.expire()
        self.assertIsNone(self.index.streams.get('a'))

    def test_records_of_an_earlier_build(self):
        """A charge without the field is one without a version."""
        fields = msgspec.to_builtins(charge(None))
        fields.pop('stream')
        raw = msgspec.msgpack.encode((0, RETAIN_MS, 'Charge', fields))
        self.assertEqual(record_indexes.decode_record(raw).entry, charge(None))


class ChangeTest(unittest.TestCase):
    """A change of the version, as store hosts confirm it."""

    def setUp(self):
        """Create a client of store hosts."""
        links = mock.Mock(last_disconnect_ms=0)
        timer = clock.ManualClock()
        self.client = clients.Client(links, 1, 'n', 'z', timer)

    def change(self, *kept):
        """Send a change to store hosts that then keep some versions."""
        replies = {
            str(number): messages.Begun({}, stream=stream)
            for number, stream in enumerate(kept)
        }
        with mock.patch.object(self.client, '_run_operation') as run:
            run.return_value = clients.QuorumReplies(replies)
            self.client.change_version(messages.Begin(charge(SECOND)))

    def test_all_members_keep_it(self):
        """The request may be sent."""
        self.change(SECOND, SECOND)

    def test_a_member_of_an_earlier_build(self):
        """It keeps no versions; the one before would hold at others."""
        with self.assertRaises(exceptions.NotRunError):
            self.change(SECOND, None)

    def test_replies_are_merged(self):
        """The last choice that any member of the quorum knows is returned."""
        replies = {
            'x': messages.Begun({}, stream=SECOND),
            'y': messages.Begun({}, stream=FIRST),
            'z': messages.Begun({}),
        }
        with mock.patch.object(self.client, '_run_operation') as run:
            run.return_value = clients.QuorumReplies(replies)
            begun = self.client.begin(messages.Begin(None, resumes='a'))
        self.assertEqual(begun.stream, SECOND)


class CostTest(unittest.TestCase):
    """What a stream that is never resumed sends to the store hosts."""

    def setUp(self):
        """Create a manager of turns with a store that records the calls."""
        self.store = mock.Mock()
        self.store.begin.return_value = messages.Begun({})
        self.turns = turns.TurnManager(self.store)
        self.route = routes.Route(
            'r', 'h', '/', routes.Kind.stream, (), is_resumable=True
        )

    def run_stream(self, *versions, budget_tokens=None):
        """Run a stream on workers of some versions; return the calls."""
        call = calls.Call('a', program='p', budget_tokens=budget_tokens)
        turn = self.turns.open(
            call, self.route, 1, b'', worker='w', stream=FIRST
        )
        for version in versions:
            entry = workers.Entry(
                'w', 'engines', '127.0.0.1', 1, 'z', slots=1, version=version
            )
            self.turns.update_worker(turn, workers.Worker(entry))
        self.turns.store(turn, events.EventLog())
        self.turns.close(turn, 4)
        gevent.sleep(0)
        return [name for name, _arguments, _fields in self.store.mock_calls]

    def test_a_turn_with_a_budget(self):
        """Nothing beyond the reservation and the settlement."""
        sent = self.run_stream('v1', budget_tokens=100)
        self.assertEqual(sent, ['begin', 'settle'])
        message = first_argument(self.store.begin)
        self.assertEqual(message.charge.stream, FIRST)

    def test_a_stream_without_a_budget(self):
        """One record, and no server waits for it."""
        self.assertEqual(self.run_stream('v1'), ['settle'])

    def test_the_first_event_waits_for_the_record(self):
        """A caller that resumes at once finds it; no wait is without end."""
        release = event.Event()
        self.store.settle.side_effect = lambda _message: release.wait()
        call = calls.Call('a', program='p')
        turn = self.turns.open(call, self.route, 1, b'', stream=FIRST)
        waiter = gevent.spawn(turn.wait_for_record)
        gevent.sleep(0.02)
        self.assertFalse(waiter.ready())
        release.set()
        waiter.get(timeout=5)
        self.assertTrue(turn.recording.ready())
        release.clear()
        turn = self.turns.open(call, self.route, 1, b'', stream=FIRST)
        gevent.spawn(turn.wait_for_record).get(timeout=5)
        self.assertFalse(turn.recording.ready())
        release.set()

    def test_the_chosen_server_has_another_version(self):
        """One more record, confirmed before the request is sent."""
        sent = self.run_stream('v2', 'v2', budget_tokens=100)
        self.assertEqual(sent, ['begin', 'change_version', 'settle'])
        message = first_argument(self.store.change_version)
        self.assertEqual(message.charge.stream, SECOND)
        self.assertFalse(message.charge.is_settled)
