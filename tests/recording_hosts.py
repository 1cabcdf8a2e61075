"""Provide a host with journal, takeovers and compaction on a test store."""

import gevent

from carobfork import clock
from carobfork.coordination import (
    compactions,
    control,
    homes,
    journals,
    ownerships,
    registrations,
    routing,
    seals,
    takeovers,
)
from carobfork.protocol import codecs
from carobfork.state import identifiers, programs, records
from carobfork_standins import layouts
from tests import stores

CODEC = codecs.MsgpackRecordCodec()


class NoHolders:
    """No peer holds anything."""

    def gather(self, incarnation, tail):
        """Return nothing."""
        return []

    def forget(self, incarnation):
        """Do nothing."""


class OpenDoor:
    """Every program may be opened."""

    def check_new_program(self, rank, queue_limit_ms):
        """Refuse none."""


class Host:
    """A host with its journal, takeovers and compactor.

    :param name: the host's name.
    :param store: the platform.
    """

    def __init__(self, name, store):
        """Register a new incarnation."""
        self.store = store
        self.timer = clock.ManualClock()
        self.table = programs.ProgramTable()
        self.greenlets = []
        self._name = name
        registration = registrations.Registration(
            store,
            control.HostDirectory(),
            self._describe,
        )
        self.own = registration.register()
        self.home = homes.Home(
            self.open_journal(self.own.incarnation),
            self.table,
            bundle_holder(),
            OpenDoor(),
            ownerships.Ownership(self.timer),
        )
        self.sealer = seals.Sealer(store, CODEC, NoHolders())
        self.members = stores.Ring(self.own, [])
        self.takeovers = takeovers.Takeovers(
            self.home,
            registration,
            self.members,
            self.sealer,
            self.open_journal,
            self.timer,
        )
        self.compactor = compactions.Compactor(
            store,
            CODEC,
            self.home,
            self.takeovers,
            self.sealer,
        )

    @property
    def incarnation(self):
        """Return the incarnation in use."""
        return self.home.journal.incarnation

    def open_journal(self, incarnation):
        """Return a journal that commits from now on."""
        journal = journals.Journal(
            self.store,
            CODEC,
            incarnation,
            self.table.apply_if_known,
        )
        self.greenlets.append(gevent.spawn(journal.run))
        return journal

    def open(self):
        """Open a program and return its identifier."""
        return self.home.open_program('quote').program

    def answer(self, program, key, text='answer'):
        """Record a model call's answer."""
        answer = records.AnswerRecorded(
            program=program,
            key=key,
            digest='digest',
            target='talk/engine-1',
            status=200,
            body=text.encode(),
            content_type='text/plain',
            tokens=1,
            messages=b'{}',
        )
        self.home.journal.append(answer, 1000)

    def history(self, program):
        """Return the keys of a program's turns."""
        return [call.key for call in self.table.find(program).history()]

    def stored_host(self):
        """Return this host's object at the platform."""
        key = control.HOSTS_PREFIX + self._name
        return control.decode_host(self.store.fetch(key).body)

    def die(self):
        """Stop all commits."""
        gevent.killall(self.greenlets)

    def _describe(self, number):
        return routing.EntryHost(
            incarnation=identifiers.Incarnation(self._name, number),
            failure_domain='domain',
            caller_address=stores.ADDRESS,
            peer_address=stores.ADDRESS,
        )


def bundle_holder():
    """Return a holder with the lab's bundle in force."""
    holder = control.BundleHolder()
    holder.offer(layouts.Layout().bundle())
    return holder
