"""Test the handover of programs at a planned stop.

The tests guard against lost or doubled records and reordered calls of
programs whose calls are in flight during the handover.
"""

import unittest
from unittest import mock

import gevent

from carobfork import exceptions
from carobfork.coordination import (
    handovers,
    journals,
    local_requests,
    messages,
    successions,
)
from carobfork.state import records
from tests import peer_links, recording_hosts, stores

WAIT_SECONDS = 30


def answer_of(program, key):
    """Return the record of a model call's answer."""
    return records.AnswerRecorded(
        program=program,
        key=key,
        digest='digest',
        target='talk/engine-1',
        status=200,
        body=b'answer',
        content_type='text/plain',
        tokens=1,
        messages=b'{}',
    )


class HandoverTest(unittest.TestCase):
    """A host that stops and its successor, on one manual store."""

    def setUp(self):
        """Open a program at the host that will stop."""
        store = stores.ManualStore()
        self.stopping = recording_hosts.Host('entry-1', store)
        self.successor = recording_hosts.Host('entry-2', store)
        self.addCleanup(self.stopping.die)
        self.addCleanup(self.successor.die)
        self.program = self.stopping.open()
        self.succession = successions.HandoverReceiver(
            self.successor.home,
            self.successor.takeovers,
            self.successor.members,
            peer_links.MemoryLink(),
            recording_hosts.CODEC,
        )
        self.link = mock.Mock()
        self.link.request.side_effect = self.deliver
        self.link.send.side_effect = self.release
        self.is_cut = False
        self.recorded = None
        self.busy = {self.program}
        self.requests = local_requests.LocalRequests()
        members = mock.Mock(own=self.stopping.own)
        members.staying.return_value = [self.successor.own]
        self.handover = handovers.Handover(
            self.stopping.home,
            members,
            self.link,
            recording_hosts.CODEC,
            self.requests,
            lambda: set(self.busy),
        )

    def deliver(self, address, message, timeout_ms):
        """Hand a request to the successor."""
        if self.is_cut:
            # Something is recorded while the successor is being asked.
            self.recorded = self.stopping.home.journal.enqueue(
                answer_of(self.program, 'meanwhile')
            )
            raise exceptions.ConnectionFailedError('cut', sent=True)
        if isinstance(message, handovers.HandOver):
            return self.succession.accept(message)
        return self.succession.record(message)

    def release(self, address, message):
        """Hand a one-way message to the successor."""
        self.succession.release(message)

    def finish_call(self, key):
        """Record the answer of a call in flight at the stopping host."""
        entry = self.stopping.home.journal.enqueue(answer_of(self.program, key))
        journals.wait_for(entry.committed, timeout_ms=None)

    def test_call_in_progress_is_recorded_at_the_successor(self):
        """A call that outlives the handover is in the program's history."""
        running = gevent.spawn(self.handover.run)
        while self.requests.successor is None:
            gevent.sleep(0)
        turn = gevent.spawn(self.take_turn)
        self.finish_call('late')
        self.assertFalse(turn.ready())
        self.busy.clear()
        running.get(timeout=WAIT_SECONDS)
        turn.get(timeout=WAIT_SECONDS)
        self.assertEqual(['late'], self.successor.history(self.program))
        self.assertEqual(['late'], self.stopping.history(self.program))

    def take_turn(self):
        """Take the program's turn at the successor."""
        program = self.successor.table.find(self.program)
        with self.successor.home.sequencer.acquire(program, 'next', ''):
            return self.successor.history(self.program)

    def test_repeated_records_count_once(self):
        """A batch that is sent again after a lost reply is skipped."""
        self.busy.clear()
        self.handover.run()
        codec = recording_hosts.CODEC
        record = codec.encode(answer_of(self.program, 'late'))
        batch = handovers.HandedRecords(
            self.stopping.own.incarnation, 0, codec.pack([record])
        )
        for _ in range(2):
            self.assertEqual(messages.Noted(), self.succession.record(batch))
        program = self.successor.table.find(self.program)
        self.assertEqual(1, program.ledger.spent_tokens)

    def test_without_successor_the_programs_stay(self):
        """Records of a failed handover go to the journal of this host."""
        self.is_cut = True
        self.handover.run()
        self.assertIsNone(self.requests.successor)
        journals.wait_for(self.recorded.committed, timeout_ms=None)
        self.finish_call('after')
        self.assertEqual(
            ['meanwhile', 'after'], self.stopping.history(self.program)
        )
