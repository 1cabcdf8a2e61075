"""Store hosts whose disk was replaced while others still count on the old one.

A disk's address stays the same when the disk is lost, so the process that
answers there may be another one than the one that is meant.
"""

import unittest
from unittest import mock

import gevent
from gevent import server

from carobfork import clock, exceptions
from carobfork.storage import groups, links, memberships, messages
from tests import configurations, plain_calls, platform_hosts
from tests.platform_hosts import wait_until

HEARTBEATS = links.Heartbeats(
    lambda _member: messages.Beat(0), lambda _member, _news: None
)
SEVERAL_HEARTBEATS_SECONDS = 1.2


def kill(hosts, name):
    """End a store host at once, also while the group changes."""
    hosts.keepers.pop(name).__exit__(None, None, None)


class ReplacedDisksTest(unittest.TestCase):
    """Changes of the storage group that a lost disk interrupts."""

    def test_a_disk_lost_again_while_it_joins(self):
        """A change whose driver lost its disk does not block all later ones.

        The host with the next disk answers at the driver's address; taken for
        the driver, it would keep the change from being cancelled.
        """
        with platform_hosts.Deployment() as hosts:
            attempt = plain_calls.new_attempt()
            self.assertEqual(hosts.turn('p1', attempt=attempt).status, 200)
            kill(hosts, 'store-0')
            with mock.patch.object(
                memberships.Membership, '_copy_records', return_value=False
            ):
                hosts.start_keeper('store-0', wiped=True)
                wait_until(lambda: hosts.group()['following'], 'the join')
                kill(hosts, 'store-0')
            last = hosts.start_keeper('store-0', wiped=True)
            wait_until(
                lambda: last.membership.disk in hosts.members(), 'the last disk'
            )
            hosts.stop_keeper('store-1')
            answer = hosts.turn('p1', headers={'X-Previous-Turn': attempt})
            self.assertEqual(answer.status, 200)

    def test_a_disk_lost_while_another_host_leaves(self):
        """A disk that is to take over records is replaced if it is lost.

        The leaving host can't send it anything any more, so its change would
        never end.
        """
        with platform_hosts.Deployment() as hosts:
            with mock.patch.object(
                memberships.Membership, '_transfer_records', return_value=False
            ):
                hosts.store.put('retirements', 'store-0', {'DurationS': 10})
                wait_until(lambda: hosts.group()['following'], 'the change')
                kill(hosts, 'store-1')
                last = hosts.start_keeper('store-1', wiped=True)
                wait_until(
                    lambda: last.membership.disk in hosts.members(),
                    'the new disk',
                )

    def test_a_leaving_host_that_loses_its_disk(self):
        """It is emptied only once the group does not count on its disk.

        Otherwise it is removed while it is a member, and the next lost disk
        leaves too few members to read from.
        """
        with platform_hosts.Deployment() as hosts:
            attempt = plain_calls.new_attempt()
            self.assertEqual(hosts.turn('p1', attempt=attempt).status, 200)
            lost = hosts.keepers['store-0'].membership.disk
            kill(hosts, 'store-0')
            hosts.store.put('retirements', 'store-0', {'DurationS': 10})
            hosts.start_keeper('store-0', wiped=True)
            wait_until(
                lambda: (
                    hosts.store.get('retirements', 'store-0')['Status']
                    == {'State': 'completed'}
                ),
                'the end of the retirement',
            )
            self.assertNotIn(lost, hosts.members())
            hosts.stop_keeper('store-0')
            hosts.stop_keeper('store-1')
            last = hosts.start_keeper('store-1', wiped=True)
            wait_until(
                lambda: last.membership.disk in hosts.members(), 'the new disk'
            )
            wait_until(hosts.is_group_known, 'the group at the entry host')
            wait_until(hosts.fronts['front-0'].is_ready, 'the quorum')
            answer = hosts.turn('p1', headers={'X-Previous-Turn': attempt})
            self.assertEqual(answer.status, 200)

    def test_a_reply_in_the_name_of_a_lost_disk(self):
        """A host does not acknowledge records for the disk that it had.

        Its new disk is no member, so the records would be on fewer members
        than the quorum counts.
        """
        with platform_hosts.Deployment() as hosts:
            keeper = hosts.keepers['store-0']
            lost = groups.Member(
                'store-0', 'lost', *keeper.settings.control, zone='a'
            )
            link = links.Link(
                lost, clock.SystemClock(), HEARTBEATS, lambda: None
            )
            with link:
                gevent.sleep(SEVERAL_HEARTBEATS_SECONDS)
                replies = []
                link.send_request(messages.Finish(None), replies.append)
                self.assertEqual(replies, [None])
                self.assertGreater(
                    clock.to_seconds(link.silent_ms()),
                    SEVERAL_HEARTBEATS_SECONDS / 2,
                )

    def test_a_reply_of_another_kind(self):
        """A peer that confirms a link with another reply is not connected."""
        with self.assertRaises(exceptions.BadRequestError):
            messages.answering_disk(messages.Done())
        news = messages.News(None, {}, is_fresh=True, disk='d')
        self.assertEqual(messages.answering_disk(news), 'd')

    def test_a_peer_that_accepts_but_never_answers(self):
        """A frozen host counts as silent however often it is connected to.

        The kernel accepts connections for a process that is stopped.
        """
        address = ('127.0.0.1', configurations.free_port())
        frozen = server.StreamServer(address, lambda sock, _peer: sock.recv(1))
        frozen.start()
        self.addCleanup(frozen.stop, 0)
        link = links.Link(
            groups.Member('store-0', 'd', *address),
            clock.SystemClock(),
            HEARTBEATS,
            lambda: None,
        )
        with link:
            wait_until(
                lambda: link.silent_ms() > memberships.MEMBER_TIMEOUT_MS,
                'the silence',
            )
            self.assertFalse(link.is_connected)
