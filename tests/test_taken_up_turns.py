"""Test that a turn whose caller took its stream up is stored whole.

Guards against a history without the events that an earlier attempt brought.
"""

import itertools
import pathlib
import tempfile
import unittest
from unittest import mock

import gevent
import msgspec

from carobfork import clock, exceptions
from carobfork.gateway import (
    calls,
    events,
    routes,
    stream_beginnings,
    stream_recorders,
    turns,
)
from carobfork.storage import (
    disks,
    groups,
    messages,
    replicas,
    stream_messages,
)
from tests import backends, configurations, plain_calls, platform_hosts

INPUT = b'first '
NEXT_INPUT = b'next'
SEEN = 2
"""Events that a caller has when its stream breaks off."""


def part(take, after, *numbers, attempt=None, position=0):
    """Return a part with events of an attempt, named after its take."""
    name = attempt or f'a{take}'
    brought = [(number, f'{name}-{number}'.encode()) for number in numbers]
    return messages.StreamPart('s', take, name, after, position, brought)


BEGUN = part(0, 0, 1, 2)
GOES_ON = part(0, 0, 3, 4, position=2)
TAKEN_UP = part(1, 2, 3, 4)
ONLY_TAKEN_UP = part(1, 2)
TAKEN_UP_AGAIN = part(2, 3, 4, 5)
ALSO_AFTER_TWO = part(2, 2, 3)


class BeginningTest(unittest.TestCase):
    """The events that a caller has, from the parts of all attempts."""

    def assert_beginning(self, parts, last_event, *expected):
        """Check the beginning, in whatever order the parts are found."""
        for order in itertools.permutations(parts):
            found = stream_beginnings.compose_beginning(order, last_event)
            self.assertEqual(found, [text.encode() for text in expected])

    def assert_unknown(self, parts, last_event):
        """Check that the beginning is not taken for whole."""
        for order in itertools.permutations(parts):
            self.assertIsNone(
                stream_beginnings.compose_beginning(order, last_event)
            )

    def test_one_attempt(self):
        """Its events up to the caller's last one, in one part or several."""
        self.assert_beginning([BEGUN, GOES_ON], 3, 'a0-1', 'a0-2', 'a0-3')

    def test_several_attempts(self):
        """What an attempt brought after another had taken over is left out."""
        parts = [BEGUN, GOES_ON, TAKEN_UP, TAKEN_UP_AGAIN]
        self.assert_beginning(parts, 5, 'a0-1', 'a0-2', 'a1-3', 'a2-4', 'a2-5')

    def test_an_attempt_that_brought_nothing(self):
        """The one before it brought all events, also later ones."""
        parts = [BEGUN, ONLY_TAKEN_UP]
        self.assert_beginning(parts, 2, 'a0-1', 'a0-2')

    def test_a_claim_and_the_events_after_it(self):
        """The part without events changes nothing."""
        parts = [BEGUN, ONLY_TAKEN_UP, TAKEN_UP]
        self.assert_beginning(parts, 4, 'a0-1', 'a0-2', 'a1-3', 'a1-4')

    def test_an_attempt_whose_events_did_not_arrive(self):
        """The caller goes on after the event that it has."""
        parts = [BEGUN, TAKEN_UP, ALSO_AFTER_TWO]
        self.assert_beginning(parts, 3, 'a0-1', 'a0-2', 'a2-3')
        self.assert_beginning(parts, 2, 'a0-1', 'a0-2')

    def test_parts_of_several_members(self):
        """The same part from each of them counts once."""
        parts = [BEGUN, GOES_ON, BEGUN]
        self.assert_beginning(parts, 3, 'a0-1', 'a0-2', 'a0-3')

    def test_no_event(self):
        """A caller that names event 0 has none."""
        self.assert_beginning([part(0, 0, 1)], 0)

    def test_what_is_not_whole(self):
        """Missing parts, events that nobody had, and numbers used twice."""
        self.assert_unknown([], 1)
        self.assert_unknown([BEGUN], 3)
        self.assert_unknown([part(0, 0, 1), GOES_ON], 3)
        self.assert_unknown([GOES_ON], 3)
        self.assert_unknown([TAKEN_UP], 4)
        other = part(1, 2, 3, attempt='b')
        self.assert_unknown([BEGUN, TAKEN_UP, other], 3)

    def test_the_next_number(self):
        """It is higher than those of all attempts, also without events."""
        parts = [BEGUN, ALSO_AFTER_TWO, ONLY_TAKEN_UP]
        self.assertEqual(stream_beginnings.next_take(parts), 3)
        self.assertEqual(stream_beginnings.next_take([]), 1)


THIRD_EVENT = b'id: 3\ndata: c\n\n'


class RecorderTest(unittest.TestCase):
    """The recorder of an attempt, with a store that records the calls."""

    def setUp(self):
        """Create a recorder."""
        self.store = mock.Mock()
        self.recorder = stream_recorders.StreamRecorder(
            self.store, part(1, 2), 1000
        )

    def stored(self):
        """Return the position and events of each stored part."""
        parts = [call[0][0].part for call in self.store.store.call_args_list]
        return [(stored.position, stored.events) for stored in parts]

    def record(self, *raw):
        """Record events and return how often the store was called."""
        splitter = events.EventSplitter()
        self.recorder.record(splitter.feed(b''.join(raw)))
        return self.store.store.call_count

    def test_events_that_arrive_together(self):
        """They are one part; comments are none."""
        self.record(THIRD_EVENT, b'id: 4\ndata: d\n\n')
        self.record(b': comment\n\n')
        self.record(b'id: 5\ndata: e\n\n')
        together = (0, [(3, b'c'), (4, b'd')])
        self.assertEqual(self.stored(), [together, (2, [(5, b'e')])])

    def test_what_can_not_be_recorded(self):
        """The stream goes on, and no later part pretends to follow."""
        failure = exceptions.NotRunError('x', step='x')
        self.store.store.side_effect = failure
        self.assertEqual(self.record(THIRD_EVENT), 1)
        self.store.store.side_effect = None
        self.assertEqual(self.record(b'id: 4\ndata: d\n\n'), 1)

    def test_an_event_without_a_number(self):
        """Its place is unknown to a host that takes the stream up."""
        self.assertEqual(self.record(b'data: c\n\n'), 0)
        self.assertFalse(self.recorder.is_recording)

    def test_a_long_stream(self):
        """What takes much memory is not kept."""
        with mock.patch.object(stream_recorders, 'MAX_RECORDED_BYTES', 3):
            self.record(b'id: 3\ndata: abc\n\n', b'id: 4\ndata: d\n\n')
        self.assertEqual(self.stored(), [])

    def test_a_slow_store(self):
        """The caller waits for it no longer than for a pause."""
        self.store.store.side_effect = lambda _message: gevent.sleep(5)
        with mock.patch.object(stream_recorders, 'WRITE_TIMEOUT_MS', 10):
            self.record(THIRD_EVENT)
        self.assertFalse(self.recorder.is_recording)


class CostTest(unittest.TestCase):
    """What routes pay whose turns are never taken up."""

    def test_other_routes_store_no_parts(self):
        """Only those that keep turns and let callers take streams up do."""
        call = calls.Call('a', program='p')
        for is_retained in (False, True):
            for is_resumable in (False, True):
                route = routes.Route(
                    'r',
                    'h',
                    '/',
                    routes.Kind.stream,
                    (),
                    is_retained=is_retained,
                    is_resumable=is_resumable,
                )
                store = mock.Mock()
                turn = turns.TurnManager(store).open(call, route, 1, b'')
                splitter = events.EventSplitter()
                turn.record_events(splitter.feed(b'id: 1\ndata: a\n\n'))
                self.assertEqual(
                    store.parts.store.called, is_retained and is_resumable
                )


class PartStoreTest(unittest.TestCase):
    """The parts of streams at one store host."""

    def setUp(self):
        """Open a disk that holds all records."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.timer = clock.ManualClock()
        self.disk = self.open_disk(self.folder)
        self.disk.save_completeness(is_complete=True)
        self.replica = replicas.Replica(self.disk, mock.Mock())

    def open_disk(self, folder):
        """Return an open disk that writes."""
        disk = disks.Disk(folder, self.timer)
        writer = gevent.spawn(disk.run)
        self.addCleanup(disk.close)
        self.addCleanup(writer.kill)
        return disk

    def ask(self, message, epoch=0):
        """Return the reply to a request."""
        replies = []
        envelope = messages.Envelope(1, epoch, message)
        self.replica.receive(envelope, replies.append)
        platform_hosts.wait_until(lambda: replies, 'the reply')
        return replies[0]

    def store(self, stored):
        """Store a part and return the reply."""
        return self.ask(stream_messages.StorePart(stored, 1000))

    def read(self):
        """Return the stored parts."""
        return self.ask(stream_messages.ReadParts('s')).parts

    def test_parts_survive_a_restart(self):
        """They are on the disk once the caller gets the events."""
        stored = [part(0, 0, 1, 2), part(0, 0, 3, position=2)]
        for each in stored:
            self.assertEqual(self.store(each), messages.Done())
        self.assertEqual(self.read(), stored)
        self.disk.close()
        self.replica = replicas.Replica(
            self.open_disk(self.folder), mock.Mock()
        )
        self.assertEqual(self.read(), stored)

    def test_a_member_that_joins_copies_them(self):
        """Each part once."""
        self.store(part(0, 0, 1))
        copied = [self.disk.read(entry) for entry in self.disk.index.dump()]
        self.assertEqual(self.disk.index.select_unknown(copied), [])
        folder = self.enterContext(tempfile.TemporaryDirectory())
        other = self.open_disk(pathlib.Path(folder))
        self.assertEqual(len(other.index.select_unknown(copied)), 1)

    def test_a_member_that_knows_the_claim_only(self):
        """It copies the events that the attempt brought first."""
        claim, first = part(1, 0), part(1, 0, 1)
        self.store(claim)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        other = self.open_disk(pathlib.Path(folder))
        index = self.disk.index
        claimed = [self.disk.read(entry) for entry in index.dump()]
        self.assertTrue(other.write(other.index.select_unknown(claimed)))
        self.store(first)
        self.assertEqual(self.read(), [claim, first])
        copied = [self.disk.read(entry) for entry in index.dump()]
        self.assertEqual(len(other.index.select_unknown(copied)), 1)

    def test_a_host_of_an_earlier_build(self):
        """It reads and copies a part as a charge that it knows.

        Guards against hosts that end where two builds share a fleet or a disk.
        """
        self.store(part(0, 0, 1))
        raw = self.disk.read(next(self.disk.index.dump()))
        _written_ms, _retain_ms, kind, fields = msgspec.msgpack.decode(raw)
        self.assertEqual(kind, 'Charge')
        earlier = {'program', 'attempt', 'tokens', 'is_settled', 'retain_ms'}
        self.assertLessEqual(earlier, fields.keys())
        self.assertEqual((fields['tokens'], fields['is_settled']), (0, True))
        self.assertEqual(self.disk.index.describe()['programs'], 0)

    def test_two_attempts_with_one_number(self):
        """The second one is refused, also while the first one is written."""
        replies = []
        for attempt in ('a', 'b', 'a'):
            message = stream_messages.StorePart(
                part(1, 2, attempt=attempt), 1000
            )
            self.replica.receive(
                messages.Envelope(1, 0, message), replies.append
            )
        platform_hosts.wait_until(lambda: len(replies) == 3, 'the replies')
        refused = messages.Refused('taken', groups.Group())
        self.assertEqual(replies.count(refused), 1)
        self.assertEqual(replies.count(messages.Done()), 2)

    def test_another_group(self):
        """Reads and writes count for the group that they were sent to."""
        for message in (
            stream_messages.StorePart(part(0, 0, 1), 1000),
            stream_messages.ReadParts('s'),
        ):
            reply = self.ask(message, epoch=1)
            self.assertEqual(reply.reason, 'behind')

    def test_a_member_that_still_copies(self):
        """It may lack parts, so it counts in no read."""
        self.disk.save_completeness(is_complete=False)
        reply = self.ask(stream_messages.ReadParts('s'))
        self.assertEqual(reply.reason, 'filling')

    def test_parts_expire(self):
        """They are needed while the caller may come back only."""
        self.store(part(0, 0, 1))
        self.timer.advance(100_000)
        self.disk.index.expire()
        self.assertEqual(self.read(), [])


class TakenUpTurnsTest(unittest.TestCase):
    """Turns on a route that keeps them and lets callers take streams up."""

    def setUp(self):
        """Start two entry hosts with such a route."""
        self.hosts = self.enterContext(platform_hosts.Deployment(fronts=2))
        configured = configurations.configuration(version=5)
        configured['Routes'].append(configurations.talk_route())
        self.hosts.store.put('config', 'main', configured)
        platform_hosts.wait_until(
            lambda: all(
                front.relay.routes.version == 5
                for front in self.hosts.fronts.values()
            ),
            'the configuration',
        )

    def turn(self, body=INPUT, **options):
        """Send a turn and return its attempt and answer."""
        attempt = plain_calls.new_attempt()
        answer = self.hosts.turn(
            'p', path='/talk/1', body=body, attempt=attempt, **options
        )
        return attempt, answer

    def take_up(self, begun, last_event, front='front-1', **options):
        """Take a turn's stream up."""
        headers = {'Resumes': begun, 'Last-Event-Id': str(last_event)}
        return self.turn(front=front, headers=headers, **options)

    def assert_history(self, previous):
        """Check that the next turn runs with all events of a turn."""
        attempt, answer = self.turn(
            NEXT_INPUT, headers={'X-Previous-Turn': previous}
        )
        self.assertEqual(answer.status, 200)
        words = range(1, backends.EVENTS + 1)
        said = ''.join(f'word{number}\n' for number in words).encode()
        bodies = [
            backend.bodies[attempt]
            for backend in self.hosts.backends.values()
            if attempt in backend.bodies
        ]
        self.assertEqual(bodies, [INPUT + said + NEXT_INPUT])

    def hang_streams(self, after):
        """Let the streams of all servers stop after some events."""
        for backend in self.hosts.backends.values():
            backend.faults.hang_after = after

    def test_the_entry_host_is_killed(self):
        """The next turn runs with the whole history.

        Guards against UNASKED as in review/14: the turn was stored with the
        events of the last attempt alone.
        """
        self.hang_streams(SEEN)
        begun, first = self.turn(front='front-0', most_events=SEEN)
        self.assertFalse(first.is_whole)
        self.hosts.stop_front('front-0')
        self.hang_streams(None)
        last, rest = self.take_up(begun, SEEN)
        self.assertTrue(rest.is_whole)
        self.assert_history(last)

    def test_the_same_host_takes_it_up(self):
        """Also where only the caller's connection has ended."""
        self.hang_streams(SEEN)
        begun, _answer = self.turn(front='front-0', most_events=SEEN)
        self.hang_streams(None)
        last, _rest = self.take_up(begun, SEEN, front='front-0')
        self.assert_history(last)

    def test_it_is_taken_up_twice(self):
        """The caller names the attempt that brought the first event."""
        self.hang_streams(1)
        begun, _answer = self.turn(front='front-0', most_events=1)
        self.hang_streams(SEEN)
        _second, answer = self.take_up(begun, 1, most_events=1)
        self.assertFalse(answer.is_whole)
        self.hang_streams(None)
        last, _rest = self.take_up(begun, SEEN, front='front-0')
        self.assert_history(last)

    def test_all_hosts_are_killed(self):
        """The events that a caller has are on disks."""
        self.hang_streams(SEEN)
        begun, _answer = self.turn(front='front-0', most_events=SEEN)
        self.hosts.restart_all()
        platform_hosts.wait_until(self.hosts.is_settled, 'the links')
        self.hang_streams(None)
        last, _rest = self.take_up(begun, SEEN)
        self.assert_history(last)

    def test_after_the_last_event(self):
        """The server has nothing to add; the turn is stored all the same."""
        begun, _answer = self.turn(front='front-0')
        last, rest = self.take_up(begun, backends.EVENTS)
        self.assertEqual(rest.status, 200)
        self.assert_history(last)

    def test_an_event_that_the_caller_never_had(self):
        """It is refused as not run, as its beginning is not known."""
        self.hang_streams(1)
        begun, _answer = self.turn(front='front-0', most_events=1)
        self.hang_streams(None)
        for last_event in ('3', 'x'):
            attempt, answer = self.take_up(begun, last_event)
            self.assertEqual(answer.status, 503)
            self.assertIn(b'stream_beginning', answer.body)
            self.assertEqual(self.hosts.runs(attempt), 0)

    def test_a_beginning_that_was_not_recorded(self):
        """The turn is not stored as whole; its caller starts anew."""
        failure = exceptions.NotRunError('no quorum', step='storage')
        front = self.hosts.fronts['front-0']
        self.hang_streams(SEEN)
        with mock.patch.object(
            front.storage.parts, 'store', side_effect=failure
        ):
            begun, first = self.turn(front='front-0', most_events=SEEN)
        self.assertEqual(first.body.count(b'\n\n'), SEEN)
        self.hang_streams(None)
        _last, answer = self.take_up(begun, SEEN)
        self.assertEqual(answer.status, 503)
        last, answer = self.turn(front='front-1')
        self.assertTrue(answer.is_whole)
        self.assert_history(last)
