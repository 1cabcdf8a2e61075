"""Journals: what was acknowledged is there, once and in order."""

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
    """Log errors only: examples cause faults by the hundred."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR),
    )


def tearDownModule():  # noqa: N802
    """Log as before."""
    structlog.reset_defaults()


def closed(number):
    """Return a record that tells its number."""
    return records.ProgramClosed('program', str(number))


def committed(entries):
    """Return the records that were acknowledged as committed."""
    return [entry.record for entry in entries if entry.committed.successful()]


def kept(entries):
    """Return the records that were acknowledged."""
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
        """Whatever is lost, the journal holds each record once, in order."""
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
        """One seal wins; it loses nothing acknowledged, before or after."""
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
    """Records held by peers, on a platform that comes and goes."""

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
        """The seal comes after all that was acknowledged, early or late."""
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
        """One copy at a peer is not enough."""
        outage = Outage()
        outage.toggle()
        outage.append()
        outage.cut(SECOND)
        outage.offer()
        self.assertEqual(outage.kept(), [])
        outage.end()

    def test_refuses_to_hold_for_a_sealed_owner(self):
        """A frozen owner cannot have records held that its taker missed."""
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
    """What a peer holds, and for whom."""

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
        """Only a segment that the collector did not know proves a commit."""
        owner = OWNER.incarnation
        self.holdings.collect(holdings.CollectRecords(owner, 0, 3))
        self.holdings.release(holdings.RecordsCommitted(owner, 1, 3))
        with self.assertRaises(stores.exceptions.SealedError):
            self.hold(2)
        self.holdings.release(holdings.RecordsCommitted(owner, 1, 4))
        self.hold(2)
        self.assertEqual(self.holdings.counts(), {str(owner): 1})

    def test_holds_a_bounded_amount(self):
        """Beyond the limit a record is refused, not kept."""
        with mock.patch.object(holdings, 'MAX_HELD_BYTES', 6):
            with self.assertRaises(stores.exceptions.OverloadedError):
                self.hold(2)
        self.assertEqual(self.holdings.held_bytes, 6)


class Outage:
    """An owner, three peers of which the last takes over, a platform."""

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
        """Enqueue a record at the owner, frozen or not."""
        if not self.journal.sealed:
            record = closed(len(self.entries))
            self.entries.append(self.journal.enqueue(record))
        spin()

    def toggle(self):
        """Take the platform down or up."""
        self.store.down = not self.store.down

    def offer(self):
        """Let the owner look whether its commits stall."""
        self._keeper.step()
        spin()

    def cut(self, *peers):
        """Cut peers off, those that hold records unless told otherwise."""
        for peer in peers or (FIRST, SECOND):
            self.link.cut.add(peer.peer_address)

    def mend(self):
        """Reach all peers again."""
        self.link.cut.clear()

    def seal(self):
        """Let the last peer take the owner over, if it can."""
        try:
            self._sealer.seal(OWNER.incarnation, THIRD.incarnation)
        except stores.exceptions.CarobforkError:
            return

    def kept(self):
        """Return what was acknowledged."""
        return kept(self.entries)

    def end(self):
        """Take over with all up and return the journal's records."""
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
    """Return the successor that a seal names, if the store answers."""
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
