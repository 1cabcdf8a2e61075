"""Test that a store host answers its peers while its disk is slow."""

import functools
import pathlib
import tempfile
import unittest
from unittest import mock

import gevent
from gevent import monkey
from structlog import testing

from carobfork import clock
from carobfork.storage import (
    disks,
    groups,
    memberships,
    messages,
    record_indexes,
    replicas,
    segments,
)
from tests import platform_hosts

WAIT_SECONDS = 5


class SlowDiskTest(unittest.TestCase):
    """A disk that replaces a file only once another greenlet has run."""

    def setUp(self):
        """Open a disk and hold its writes."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.disk = disks.Disk(pathlib.Path(folder), clock.WallClock())
        self.addCleanup(self.disk.close)
        self.held = monkey.get_original('_thread', 'allocate_lock')()
        self.held.acquire()
        self.written = []
        self.enterContext(
            mock.patch.object(segments, 'write_file', self.write_file)
        )

    def write_file(self, path, _content):
        """Hold the calling thread, as a sync does."""
        if self.held.acquire(timeout=WAIT_SECONDS):
            self.written.append(path.name)

    def save_group(self, group):
        """Save a group that this host is a member of."""
        return self.disk.save_group(group, is_member=True)

    def save(self, save, *arguments):
        """Save, and let another greenlet allow the write."""
        saving = gevent.spawn(save, *arguments)
        gevent.spawn(self.held.release)
        saving.get()

    def test_heartbeats_go_on_while_files_are_replaced(self):
        """A host that stood still would count as lost by all its peers."""
        self.save(self.save_group, groups.Group(1))
        self.save(self.disk.save_completeness, True)
        self.save(self.disk.save_snapshots)
        self.save(self.disk.crash_files.save_blocked, {'f': 1})
        self.assertEqual(
            self.written, ['identity', 'identity', 'notes', 'blocked']
        )

    def test_a_disk_is_closed_after_its_last_write(self):
        """The thread that writes would use a descriptor of another file."""
        files = mock.Mock()
        files.sync.side_effect = self.held.acquire
        turn = messages.Turn('a', '', b'', b'')
        record = self.disk.index.new_record(turn, 1000)
        with mock.patch.object(self.disk, '_files', files):
            running = gevent.spawn(self.disk.run)
            self.disk.submit(
                disks.Submission([record], mock.Mock(), mock.Mock())
            )
            platform_hosts.wait_until(lambda: files.sync.called, 'the write')
            running.kill(block=False)
            closing = gevent.spawn(self.disk.close)
            gevent.sleep(0.1)
            files.close.assert_not_called()
            self.held.release()
            closing.get()
            files.close.assert_called_once_with()

    def test_a_disk_that_hangs(self):
        """Its host ends too."""
        running = gevent.spawn(self.disk.save_snapshots)
        gevent.sleep(0)
        with mock.patch.object(disks, 'CLOSE_TIMEOUT_MS', 10):
            closing = gevent.spawn(self.disk.close)
            closing.join(timeout=1)
        self.assertTrue(closing.ready())
        self.held.release()
        running.get()

    def test_what_is_saved_at_once_is_kept(self):
        """Neither of two changes of the identity undoes the other one."""
        saving = [
            gevent.spawn(self.save_group, groups.Group(2)),
            gevent.spawn(self.save_group, groups.Group(1)),
            gevent.spawn(self.disk.save_completeness, is_complete=True),
        ]
        with mock.patch.object(segments, 'write_file') as write_file:
            gevent.joinall(saving, raise_error=True)
        self.assertIs(saving[1].value, False)
        identity = self.disk.identity
        self.assertEqual(
            (identity.group.epoch, identity.is_complete), (2, True)
        )
        self.assertEqual(write_file.call_count, 2)

    def test_heartbeats_are_answered_while_a_group_is_adopted(self):
        """Only what needs the new group waits until it is stored."""
        self.save(self.disk.save_completeness, True)
        replica = replicas.Replica(self.disk, mock.Mock())
        replies = []
        adopt = messages.Adopt(groups.Group(1))
        for message in (adopt, messages.Begin(None), messages.Beat(0)):
            replica.receive(messages.Envelope(1, 1, message), replies.append)
        self.assertEqual([type(reply) for reply in replies], [messages.News])
        self.held.release()
        platform_hosts.wait_until(lambda: len(replies) == 3, 'the replies')
        self.assertEqual(
            {type(reply) for reply in replies[1:]},
            {messages.Done, messages.Begun},
        )

    def test_a_disk_that_fails_while_a_group_is_adopted(self):
        """The host keeps its group, and does not count as reached."""
        replica = replicas.Replica(self.disk, mock.Mock())
        replies = []
        with (
            mock.patch.object(segments, 'write_file', side_effect=OSError),
            testing.capture_logs() as lines,
        ):
            replica.handle_adopt(
                messages.Adopt(groups.Group(1)), replies.append
            )
            platform_hosts.wait_until(lambda: lines, 'the line')
        self.assertEqual(lines[0]['event'], 'storage group not stored')
        self.assertEqual(replica.group.epoch, 0)
        self.assertEqual(replies, [])


class FailingReplyTest(unittest.TestCase):
    """A reply that can't be built after a write, as on a failing disk."""

    def test_others_are_answered(self):
        """Each submission of the batch ends, and the writer goes on."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        disk = disks.Disk(pathlib.Path(folder), clock.WallClock())
        self.addCleanup(disk.close)
        running = gevent.spawn(disk.run)
        self.addCleanup(running.kill)
        ended = []
        broken = mock.Mock(side_effect=OSError('unreadable'))
        turn = messages.Turn('a', '', b'', b'')
        for number, on_synced in enumerate((broken, ended.append)):
            disk.submit(
                disks.Submission(
                    [disk.index.new_record(turn, 1000)],
                    functools.partial(on_synced, number),
                    functools.partial(ended.append, number),
                )
            )
        platform_hosts.wait_until(lambda: len(ended) == 2, 'the replies')
        self.assertFalse(running.ready())


class FailingCopyTest(unittest.TestCase):
    """Records that a disk could not store while hosts join or leave.

    Guards against a change of the group that counts them as copied.
    """

    def setUp(self):
        """Open a disk that refuses records, and prepare one for it."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        disk = disks.Disk(pathlib.Path(folder), clock.WallClock())
        self.addCleanup(disk.close)
        files = mock.Mock()
        files.append.side_effect = OSError('no space')
        self.enterContext(mock.patch.object(disk, '_files', files))
        running = gevent.spawn(disk.run)
        self.addCleanup(running.kill)
        self.replica = replicas.Replica(disk, mock.Mock())
        turn = messages.Turn('a', '', b'', b'')
        self.records = [
            record_indexes.encode_record(disk.index.new_record(turn, 1000))
        ]

    def test_a_host_that_joins(self):
        """It holds nothing of what it could not write."""
        link = mock.Mock()
        link.request.return_value = messages.Records(
            self.records, 0, 0, is_complete=True
        )
        membership = memberships.Membership(
            mock.Mock(), self.replica, mock.Mock(), mock.Mock(), 0, mock.Mock()
        )
        self.assertIs(membership._copy_from(link), False)

    def test_a_host_that_leaves(self):
        """It stays until another one has stored what it holds."""
        target = mock.Mock()
        target.request.side_effect = self.answer
        self.assertIs(memberships._send_records(target, self.records), False)

    def answer(self, message, _timeout_ms):
        """Answer as the host with the failing disk."""
        replies = []
        self.replica.receive(messages.Envelope(1, 0, message), replies.append)
        platform_hosts.wait_until(lambda: replies, 'the reply')
        return replies[0]
