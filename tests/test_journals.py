"""Test that acknowledged records are in the journal once and in order.

The tests guard against records that are lost, doubled or reordered when the
platform drops requests, loses answers or is down, and when hosts seal the
journal at the same time.
"""

import logging
import unittest
from unittest import mock

import gevent
import hypothesis
import structlog
from hypothesis import strategies

from carobfork.coordination import (
    appenders,
    gatherers,
    holdings,
    journals,
    keepers,
    seals,
    segments,
)
from carobfork.protocol import codecs
from carobfork.state import records
from tests import stores

CODEC = codecs.MsgpackRecordCodec()
OWNER, FIRST, SECOND, THIRD = map(stores.entry_host, range(1, 5))
PEERS = (FIRST, SECOND, THIRD)
FAULTS = strategies.lists(strategies.sampled_from(['', 'drop', 'lose']))
FEW = hypothesis.settings(deadline=None, max_examples=500)


def setUpModule():  # noqa: N802
    """Log errors only, since the examples cause hundreds of faults."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR),
    )


def tearDownModule():  # noqa: N802
    """Restore the log settings."""
    structlog.reset_defaults()


def closed(number):
    """Return a record that carries its number as the reason."""
    return records.ProgramClosed('program', str(number))


def committed(entries):
    """Return the records that were acknowledged as committed."""
    return [entry.record for entry in entries if entry.committed.successful()]


def kept(entries):
    """Return the records that were acknowledged as durable."""
    return [entry.record for entry in entries if entry.durable.successful()]


def spin():
    """Let every greenlet run for a while."""
    for _ in range(20):
        gevent.sleep(0)


@mock.patch.object(appenders, 'RETRY_DELAY_MS', 0)
class JournalTest(unittest.TestCase):
    """A journal on a store that drops requests and loses answers."""

    @FEW
    @hypothesis.given(
        faults=FAULTS,
        batches=strategies.lists(strategies.integers(1, 4), max_size=8),
    )
    def test_commits_each_record_once(self, faults, batches):
        """The journal holds each record once and in order despite faults."""
        store = stores.ManualStore(faults)
        applied = []
        journal = journals.Journal(
            store,
            CODEC,
            OWNER.incarnation,
            applied.append,
        )
        entries = []
        for size in batches:
            entries.extend(
                journal.enqueue(closed(len(entries) + position))
                for position in range(size)
            )
            journal.flush()
        store = without_faults(store)
        content = segments.JournalReader(store, CODEC).read(OWNER.incarnation)
        self.assertEqual(content.records, committed(entries))
        self.assertEqual(content.records, applied)
        self.assertEqual(len(applied), sum(batches))
        self.assertLessEqual(store.writes, len(batches))

    @FEW
    @hypothesis.given(
        faults=FAULTS,
        steps=strategies.lists(
            strategies.sampled_from(['append', 'seal 2', 'seal 3']),
        ),
    )
    def test_one_successor_sees_all(self, faults, steps):
        """Only one seal succeeds, and no acknowledged record is lost."""
        store = stores.ManualStore(faults)
        journal = journals.Journal(
            store,
            CODEC,
            OWNER.incarnation,
            lambda record: None,
        )
        entries = []
        winners = set()
        for number, step in enumerate(steps):
            if step != 'append':
                taker = stores.entry_host(int(step[-1])).incarnation
                winners |= try_seal(store, taker)
            elif not journal.sealed:
                entries.append(journal.enqueue(closed(number)))
                journal.flush()
        store = without_faults(store)
        content = segments.JournalReader(store, CODEC).read(OWNER.incarnation)
        self.assertEqual(content.records, committed(entries))
        self.assertLessEqual(len(winners), 1)
        self.assertLessEqual(winners, {content.tail.successor})


@mock.patch.object(appenders, 'RETRY_DELAY_MS', 0)
@mock.patch.object(journals, 'COMMIT_INTERVAL_MS', 0)
class OutageTest(unittest.TestCase):
    """Records held by peers while the platform is intermittently down."""

    @FEW
    @hypothesis.given(
        steps=strategies.lists(
            strategies.sampled_from(
                ['append', 'toggle', 'offer', 'cut', 'mend', 'seal'],
            ),
            min_size=6,
            max_size=30,
        ),
    )
    def test_loses_nothing_acknowledged(self, steps):
        """A seal at any time comes after all acknowledged records."""
        outage = Outage()
        for step in steps:
            getattr(outage, step)()
        content = outage.end()
        self.assertEqual(
            [record for record in content if record in outage.kept()],
            outage.kept(),
        )
        self.assertEqual(len(content), len(set(content)))

    def test_holds_while_the_platform_is_down(self):
        """A record is acknowledged by two peers and committed later."""
        outage = Outage()
        outage.toggle()
        outage.append()
        self.assertEqual(outage.kept(), [])
        outage.offer()
        self.assertEqual(len(outage.kept()), 1)
        self.assertEqual(committed(outage.entries), [])
        self.assertGreater(outage.holdings[1].held_bytes, 0)
        outage.toggle()
        spin()
        outage.offer()
        self.assertEqual(len(committed(outage.entries)), 1)
        self.assertEqual(outage.holdings[1].held_bytes, 0)
        outage.end()

    def test_needs_two_peers(self):
        """A replica at one peer does not acknowledge a record."""
        outage = Outage()
        outage.toggle()
        outage.append()
        outage.cut(SECOND)
        outage.offer()
        self.assertEqual(outage.kept(), [])
        outage.end()

    def test_refuses_to_hold_for_a_sealed_owner(self):
        """Peers refuse records of an owner after its takeover collected them.

        Otherwise an owner that was suspended could have records
        acknowledged that its successor never sees.
        """
        outage = Outage()
        outage.append()
        outage.seal()
        outage.journal.sealed = False
        outage.toggle()
        outage.append()
        outage.offer()
        self.assertEqual(len(outage.kept()), 1)
        outage.end()


class HoldingsTest(unittest.TestCase):
    """The buffer of records held for other hosts."""

    def setUp(self):
        """Hold one record."""
        link = stores.DirectLink()
        self.holdings = holdings.HeldRecordBuffer(link.join(FIRST))
        self.hold(1)

    def hold(self, number):
        """Hold a record."""
        entry = holdings.HeldRecord(number, b'record')
        self.holdings.hold(
            holdings.HoldRecords(OWNER.incarnation, (entry,)),
        )

    def test_a_late_release_lifts_no_fence(self):
        """Only a segment unknown to the collector lifts the refusal to hold."""
        owner = OWNER.incarnation
        self.holdings.collect(holdings.CollectRecords(owner, 0, 3))
        self.holdings.release(holdings.RecordsCommitted(owner, 1, 3))
        with self.assertRaises(stores.exceptions.SealedError):
            self.hold(2)
        self.holdings.release(holdings.RecordsCommitted(owner, 1, 4))
        self.hold(2)
        self.assertEqual(self.holdings.counts(), {str(owner): 1})

    def test_holds_a_bounded_amount(self):
        """A record beyond the size limit is refused."""
        with mock.patch.object(holdings, 'MAX_HELD_BYTES', 6):
            with self.assertRaises(stores.exceptions.OverloadedError):
                self.hold(2)
        self.assertEqual(self.holdings.held_bytes, 6)


class Outage:
    """A platform, an owner and three peers, the last of which takes over."""

    def __init__(self):
        """Start with the platform up."""
        self.store = stores.ManualStore()
        self.link = stores.DirectLink()
        self.entries = []
        self.holdings = [
            holdings.HeldRecordBuffer(self.link.join(peer)) for peer in PEERS
        ]
        self.journal = journals.Journal(
            self.store,
            CODEC,
            OWNER.incarnation,
            lambda record: None,
        )
        self._keeper = keepers.RecordReplicator(
            stores.Ring(OWNER, PEERS),
            self.link,
            lambda: self.journal,
        )
        gatherer = gatherers.HeldRecordCollector(
            stores.Ring(THIRD, [FIRST, SECOND]),
            self.link,
            self.holdings[2],
        )
        self._sealer = seals.Sealer(self.store, CODEC, gatherer)
        self._running = gevent.spawn(self.journal.run)

    def append(self):
        """Enqueue a record at the owner unless its journal is sealed."""
        if not self.journal.sealed:
            record = closed(len(self.entries))
            self.entries.append(self.journal.enqueue(record))
        spin()

    def toggle(self):
        """Take the platform down or up."""
        self.store.down = not self.store.down

    def offer(self):
        """Let the owner check whether its commits stall."""
        self._keeper.step()
        spin()

    def cut(self, *peers):
        """Cut peers off, by default the two that hold records."""
        for peer in peers or (FIRST, SECOND):
            self.link.cut.add(peer.peer_address)

    def mend(self):
        """Reach all peers again."""
        self.link.cut.clear()

    def seal(self):
        """Let the last peer try to seal the journal of the owner."""
        try:
            self._sealer.seal(OWNER.incarnation, THIRD.incarnation)
        except stores.exceptions.CarobforkError:
            return

    def kept(self):
        """Return the records acknowledged as durable."""
        return kept(self.entries)

    def end(self):
        """Seal with everything reachable and return the journal's records."""
        self.store.down = False
        self.mend()
        self.seal()
        spin()
        self.offer()
        self._running.kill()
        reader = segments.JournalReader(self.store, CODEC)
        return reader.read(OWNER.incarnation).records


class NoHolders:
    """No peer holds anything."""

    def gather(self, incarnation, tail):
        """Return nothing."""
        return []

    def forget(self, incarnation):
        """Do nothing."""


def try_seal(store, taker):
    """Return the successor that the seal names, empty without an answer."""
    sealer = seals.Sealer(store, CODEC, NoHolders())
    try:
        return {sealer.seal(OWNER.incarnation, taker)}
    except stores.exceptions.PlatformError:
        return set()


def without_faults(store):
    """Return a store with the same objects that always answers."""
    calm = stores.ManualStore()
    calm.stored = store.stored
    calm.writes = store.writes
    return calm
