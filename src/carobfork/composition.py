"""Composition root: wires the parts of an entry host."""

import contextlib
from types import TracebackType

import attrs
import gevent

from carobfork import clock, recording, serving
from carobfork.coordination import (
    control,
    homes,
    mailboxes,
    membership,
    ownerships,
    peer_slots,
    pool_hosts,
    pool_routes,
    registrations,
    routing,
)
from carobfork.protocol import callers, documents, operators, signatures
from carobfork.state import bundles, identifiers, programs
from carobfork.transport import (
    peers,
    platforms,
    servers,
)


@attrs.frozen
class EntrySettings:
    """Settings of an entry host."""

    host: str
    failure_domain: str
    caller_address: bundles.Address
    operator_address: bundles.Address
    peer_address: bundles.Address
    platform_address: bundles.Address
    bundle_public_key_file: str
    peer_key_file: str
    log_format: str = 'json'


class EntryHost:
    """All parts of one entry host, as a context manager.

    :param settings: the host's settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        """Build what needs no other process; entering starts the host."""
        self.settings = settings
        self.timer = clock.SystemClock()
        self.store = platforms.HttpObjectStore(settings.platform_address)
        self.holder = control.BundleHolder()
        self.directory = control.HostDirectory()
        self.table = programs.ProgramTable()
        self._greenlets: list[gevent.Greenlet] = []
        self._exits = contextlib.ExitStack()

    def __enter__(self) -> 'EntryHost':
        """Register, follow the control objects and listen."""
        self.registration = registrations.Registration(
            self.store, self.directory, self._describe
        )
        own = self.registration.register()
        self.link = self._exits.enter_context(self._build_link())
        self.watch = self._build_watch()
        self.members = membership.Membership(
            own, self.directory, self.link, self.holder, self.timer
        )
        self._build_slots()
        self.recording = recording.Recording(self.store, self.table, self.timer)
        self.home = homes.Home(
            self.recording.open_journal(own.incarnation),
            self.table,
            self.holder,
            self.broker,
            ownerships.Ownership(self.timer),
        )
        self._start(self.watch.run, self.members.run)
        self._start(self.pool_host.run, self.broker.run)
        self._exits.enter_context(
            self.recording.keep(
                self.home, self.registration, self.members, self.link
            )
        )
        self.serving = serving.Serving(
            self.home, self.members, self.holder, self.link, self.timer
        )
        self._start(*self.serving.loops())
        self._listen()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening, finish what is under way and stop."""
        self._exits.close()
        gevent.killall(self._greenlets)

    def describe_state(self) -> dict:
        """Return the state dump as JSON-ready fields."""
        return {
            'incarnation': str(self.members.own.incarnation),
            'bundle_version': self.holder.version,
            'programs': len(self.table.programs),
            'live_hosts': [
                str(host.incarnation) for host in self.members.live()
            ],
            **self.serving.describe(),
            **self.recording.describe(),
            'peers': attrs.asdict(self.link.traffic),
            'pools': [attrs.asdict(pool) for pool in self.pool_host.describe()],
        }

    def _build_link(self) -> peers.PeerLink:
        keys = documents.load(self.settings.peer_key_file, peers.PeerKeys)
        return peers.PeerLink(self.settings.peer_address, keys)

    def _build_watch(self) -> control.ControlWatch:
        reader = signatures.SignedBundleReader(
            self.settings.bundle_public_key_file
        )
        return control.ControlWatch(
            self.store, self.holder, reader, self.directory
        )

    def _build_slots(self) -> None:
        own = self.members.own.incarnation
        mailbox = mailboxes.Mailbox(own, self.members, self.link)
        routes = pool_routes.PoolRoutes(own, self.members)
        self.pool_host = pool_hosts.PoolHost(mailbox, self.timer)
        self.broker = peer_slots.PeerSlots(mailbox, routes, self.timer)
        for part in (self.pool_host, self.broker):
            self.holder.subscribe(part.apply_bundle)
            if self.holder.version:
                part.apply_bundle(self.holder.current)
        self.members.on_death(self.pool_host.forget_host)
        self.members.on_death(self.broker.reroute)

    def _start(self, *loops) -> None:
        self._greenlets.extend(gevent.spawn(loop) for loop in loops)

    def _listen(self) -> None:
        operator = operators.OperatorApplication(self.describe_state)
        caller = callers.CallerApplication(self.serving.caller_parts())
        settings = self.settings
        for address, application in (
            (settings.operator_address, operator),
            (settings.caller_address, caller),
        ):
            self._exits.enter_context(servers.HttpServer(address, application))

    def _describe(self, number: int) -> routing.EntryHost:
        return routing.EntryHost(
            incarnation=identifiers.Incarnation(self.settings.host, number),
            failure_domain=self.settings.failure_domain,
            caller_address=self.settings.caller_address,
            peer_address=self.settings.peer_address,
        )
