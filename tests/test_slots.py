"""Test slots across hosts: order, lost messages, failures and new bundles.

The tests guard against slots that leak or are granted twice when messages
get lost, when holders or the pool's host fail or pause, and when a bundle
changes the workers.
"""

import unittest

import gevent

from carobfork import exceptions
from carobfork.coordination import slot_limiters, slot_messages
from tests import slot_hosts

SLOTS = 2 * slot_limiters.INITIAL_SLOT_LIMIT


class SlotsTest(unittest.TestCase):
    """Tests of three hosts on a manual clock."""

    def setUp(self):
        """Start three hosts that share two workers."""
        self.network = slot_hosts.Network()
        self.roll()
        self.held = []

    def tearDown(self):
        """End all calls."""
        gevent.killall([call.greenlet for call in self.held])

    def roll(self, **bundle):
        """Apply a bundle on all hosts."""
        for host in self.network.hosts:
            host.apply(slot_hosts.make_bundle(limit='fixed', **bundle))

    def hold(self, host, name, **fields):
        """Start a call on a host that holds its slot until it is ended."""
        call = host.hold(slot_hosts.make_request(name, **fields))
        self.held.append(call)
        return call

    def fill(self, host):
        """Let one host's calls hold all slots."""
        return [self.hold(host, f'full-{name}') for name in range(SLOTS)]

    def test_order_across_hosts(self):
        """An urgent call is served before another host's routine calls."""
        first, second = self.network.others()
        full = self.fill(first)
        routine = self.hold(first, 'routine', rank=1)
        urgent = self.hold(second, 'urgent', rank=0)
        full[0].end()
        self.assertTrue(urgent.worker)
        self.assertFalse(routine.worker)

    def test_late_binding(self):
        """A waiting call gets the first worker with a free slot."""
        full = self.fill(self.network.hosts[0])
        waiting = self.hold(self.network.hosts[1], 'waiting')
        full[-1].end()
        self.assertEqual(waiting.worker, full[-1].worker)

    def test_lost_ask(self):
        """A lost request for a slot is detected by the holder's summary."""
        self.network.lost_kinds = (slot_messages.SlotsAsked,)
        call = self.hold(self.network.others()[0], 'a')
        self.assertFalse(call.worker)
        self.network.tick(count=3)
        gevent.sleep(0)
        self.assertTrue(call.worker)

    def test_lost_grant(self):
        """A lost grant is sent again."""
        self.network.lost_kinds = (slot_messages.SlotGranted,)
        call = self.hold(self.network.others()[0], 'a')
        self.network.lost_kinds = ()
        self.network.tick()
        gevent.sleep(0)
        self.assertFalse(call.worker)
        self.network.tick()
        gevent.sleep(0)
        self.assertTrue(call.worker)
        self.assertEqual(self.network.server().slots(), {'a'})

    def test_grant_on_its_way(self):
        """A summary sent while a grant is in transit causes no full list."""
        holder = self.network.others()[0]
        self.hold(holder, 'a')
        server = self.network.server().entry
        crossing = slot_messages.SlotsOpen(
            holder.entry.incarnation,
            slot_hosts.POOL,
            slot_messages.calls_digest(['a']),
            slot_messages.calls_digest([]),
        )
        self.network.sent.clear()
        holder.send(server.peer_address, crossing)
        self.assertEqual(len(self.network.sent), 2)

    def test_lost_release(self):
        """A slot whose release got lost is released after the summary."""
        holder = self.network.others()[0]
        call = self.hold(holder, 'a')
        staying = self.hold(holder, 'b')
        self.network.lost_kinds = (slot_messages.SlotReleased,)
        call.end()
        self.assertEqual(self.network.server().slots(), {'a', 'b'})
        self.network.tick()
        self.assertEqual(self.network.server().slots(), {'b'})
        self.assertTrue(staying.worker)

    def test_dead_holder(self):
        """The slots of a failed host are granted to others."""
        holder, other = self.network.others()
        self.fill(holder)
        waiting = self.hold(other, 'waiting')
        self.network.cut.add(holder.entry.incarnation)
        self.network.report_failure(holder)
        gevent.sleep(0)
        self.assertTrue(waiting.worker)

    def test_silent_holder(self):
        """The slots of a holder that falls silent are released after a while.

        Nothing else reports its failure to the pool's host.
        """
        holder, other = self.network.others()
        self.fill(holder)
        waiting = self.hold(other, 'waiting')
        self.network.cut.add(holder.entry.incarnation)
        self.network.tick(count=25)
        gevent.sleep(0)
        self.assertTrue(waiting.worker)

    def test_thawed_holder(self):
        """A holder that was removed as silent recovers its slots."""
        holder, other = self.network.others()
        call = self.hold(holder, 'a')
        self.hold(other, 'b')
        self.network.cut.add(holder.entry.incarnation)
        self.network.tick(count=25)
        self.assertEqual(self.network.server().slots(), {'b'})
        self.network.cut.clear()
        self.network.tick()
        self.assertEqual(self.network.server().slots(), {'a', 'b'})
        self.assertTrue(call.worker)

    def test_dead_dispatcher(self):
        """A pool's new host learns of held slots and waiting calls."""
        first, second = self.network.others()
        full = self.fill(first)
        routine = self.hold(first, 'routine', rank=1)
        urgent = self.hold(second, 'urgent', rank=0)
        dead = self.network.server()
        self.network.cut.add(dead.entry.incarnation)
        self.network.report_failure(dead)
        self.assertIsNot(self.network.server(), dead)
        self.network.tick(count=2)
        self.assertEqual(len(self.network.server().slots()), SLOTS)
        full[0].end()
        self.assertTrue(urgent.worker)
        self.assertFalse(routine.worker)

    def test_held_slots_are_awaited(self):
        """A pool's new host grants nothing before all holders sent lists.

        Otherwise it would grant slots that are already held.
        """
        first, second = self.network.others()
        for number in range(SLOTS):
            self.hold((first, second)[number % 2], f'full-{number}')
        waiting = self.hold(first, 'waiting')
        dead = self.network.server()
        self.network.cut.add(dead.entry.incarnation)
        self.network.report_failure(dead)
        self.network.tick(count=3)
        gevent.sleep(0)
        self.assertFalse(waiting.worker)

    def test_frozen_dispatcher(self):
        """A pool moves from a host that does not answer, and back later."""
        frozen = self.network.server()
        holder = self.network.others()[0]
        self.network.cut.add(frozen.entry.incarnation)
        call = self.hold(holder, 'a')
        self.network.tick(count=8)
        gevent.sleep(0)
        self.assertTrue(call.worker)
        self.network.cut.clear()
        self.network.tick(count=2)
        self.assertEqual(frozen.slots(), {'a'})
        self.assertEqual(holder.routes.suspects, set())

    def test_late_grant(self):
        """A slot that is granted to an ended call is released."""
        holder = self.network.others()[0]
        self.network.lost_kinds = (slot_messages.SlotReleased,)
        call = self.hold(holder, 'a')
        call.end()
        self.network.lost_kinds = ()
        server = self.network.server()
        server.send(
            holder.entry.peer_address,
            slot_messages.SlotGranted(
                server.entry.incarnation, slot_hosts.POOL, 'a', 'engine-0'
            ),
        )
        self.assertEqual(server.slots(), set())

    def test_new_incarnation(self):
        """A host that continues as a new incarnation keeps its slots."""
        for host in (self.network.others()[0], self.network.server()):
            before = self.hold(host, f'before-{host.entry.incarnation}')
            host.reincarnate()
            self.network.tick(count=3)
            after = self.hold(host, f'after-{host.entry.incarnation}')
            gevent.sleep(0)
            self.network.tick(count=3)
            gevent.sleep(0)
            self.assertTrue(after.worker)
            names = {before.request.identifier, after.request.identifier}
            self.assertLessEqual(names, self.network.server().slots())
            before.end()
            after.end()
            self.assertEqual(self.network.server().slots(), set())

    def test_door(self):
        """New programs are refused while a pool reports a long wait."""
        holder = self.network.others()[0]
        holder.broker.check_new_program(1, queue_limit_ms=4000)
        server = self.network.server()
        holder.handlers[slot_messages.SlotsSeen](
            slot_messages.SlotsSeen(
                server.entry.incarnation,
                slot_hosts.POOL,
                matches=True,
                waits_ms=(0, 3000),
            )
        )
        holder.broker.check_new_program(0, queue_limit_ms=4000)
        with self.assertRaises(exceptions.OverloadedError):
            holder.broker.check_new_program(1, queue_limit_ms=4000)
        self.network.timer.advance(5000)
        holder.broker.check_new_program(1, queue_limit_ms=4000)

    def test_call_taken_over(self):
        """A call that another host took over survives its former holder."""
        former, other = self.network.others()
        self.hold(former, 'a')
        self.hold(other, 'a')
        self.network.cut.add(former.entry.incarnation)
        self.network.report_failure(former)
        self.assertEqual(self.network.server().slots(), {'a'})

    def test_worker_added(self):
        """The slots of a new worker are granted to waiting calls."""
        host = self.network.hosts[0]
        self.fill(host)
        waiting = self.hold(host, 'waiting')
        self.roll(version=2, workers=3)
        gevent.sleep(0)
        self.assertEqual(waiting.worker, 'engine-2')

    def test_worker_removed(self):
        """A removed worker gets no further calls while its last ones end."""
        full = self.fill(self.network.hosts[0])
        self.roll(version=2, workers=1)
        waiting = self.hold(self.network.hosts[1], 'waiting')
        for call in full:
            if call.worker == 'engine-1':
                call.end()
        self.assertFalse(waiting.worker)
        next(call for call in full if call.worker == 'engine-0').end()
        self.assertEqual(waiting.worker, 'engine-0')

    def test_model_removed(self):
        """Calls that wait for a removed model are refused."""
        host = self.network.hosts[0]
        self.fill(host)
        waiting = self.hold(host, 'waiting')
        self.roll(version=2, workers=0)
        gevent.sleep(0)
        self.assertIsInstance(waiting.error, exceptions.NotRunError)

    def test_leaving_worker(self):
        """A leaving worker gets no calls until it is no longer leaving."""
        for host in self.network.hosts:
            host.pool_host.mark_leaving(['engine-0'])
        full = self.fill(self.network.hosts[0])
        workers = [call.worker for call in full]
        self.assertEqual(
            workers.count('engine-1'), slot_limiters.INITIAL_SLOT_LIMIT
        )
        self.assertEqual(workers.count(''), slot_limiters.INITIAL_SLOT_LIMIT)
        for host in self.network.hosts:
            host.pool_host.mark_leaving([])
        gevent.sleep(0)
        self.assertEqual(full[-1].worker, 'engine-0')

    def test_repeated_ask(self):
        """A request that arrives twice gets one slot."""
        holder = self.network.others()[0]
        call = self.hold(holder, 'a')
        server = self.network.server()
        holder.send(
            server.entry.peer_address,
            slot_messages.SlotsAsked(
                holder.entry.incarnation, slot_hosts.POOL, (call.request,)
            ),
        )
        self.assertEqual(server.slots(), {'a'})
