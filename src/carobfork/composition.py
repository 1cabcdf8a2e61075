"""Composition root: wires the parts of an entry host."""

import contextlib
from types import TracebackType

import attrs
import gevent

from carobfork import backing, clock, following, recording, stopping
from carobfork.coordination import (
    control,
    homes,
    mailboxes,
    membership,
    model_calls,
    ownerships,
    peer_slots,
    pool_hosts,
    pool_routes,
    registrations,
    routing,
    service_calls,
)
from carobfork.protocol import callers, documents, operators
from carobfork.state import bundles, identifiers, programs
from carobfork.transport import (
    forwarders,
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
    seed_peers: tuple[bundles.Address, ...] = ()
    """Peer addresses to learn the bundle from while the platform is down."""


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
        self._is_listening = False
        self.table = programs.ProgramTable()
        self._backing = backing.Backing(self.timer)
        self.holder.subscribe(self._backing.health.apply_bundle)
        self._greenlets: list[gevent.Greenlet] = []
        self._exits = contextlib.ExitStack()

    def __enter__(self) -> 'EntryHost':
        """Register, follow the control objects and listen."""
        self.link = self._exits.enter_context(self._build_link())
        self._stopping = stopping.Stopping(self.store, self.link, self.timer)
        self._following = following.Following(
            self.store,
            self.link,
            self.holder,
            self.directory,
            self.settings.bundle_public_key_file,
            self._backing.apply_list,
        )
        operator = operators.OperatorApplication(self.describe_state)
        self._exits.enter_context(
            servers.HttpServer(self.settings.operator_address, operator)
        )
        self._greenlets.append(
            gevent.spawn(self._following.peers.run, self.settings.seed_peers)
        )
        self.registration = registrations.Registration(
            self.store, self.directory, self._describe
        )
        own = self.registration.register()
        self.members = membership.Membership(
            own, self.directory, self.link, self.holder, self.timer
        )
        self.members.on_version(self._following.peers.hear)
        self._build_slots()
        self.recording = recording.Recording(self.store, self.table, self.timer)
        self.home = homes.Home(
            self.recording.open_journal(own.incarnation),
            self.table,
            self.holder,
            self.broker,
            ownerships.Ownership(self.timer),
        )
        self._start(self._following.watch.run, self.members.run)
        self._start(self.pool_host.run, self.broker.run)
        self._exits.enter_context(
            self.recording.keep(
                self.home, self.registration, self.members, self.link
            )
        )
        self._stopping.succeed_others(
            self.home, self.recording.takeovers, self.members
        )
        self._listen()
        self._is_listening = True
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Leave without cutting a request, or at once after a failure."""
        if kind is None:
            self._stopping.run(
                self.home,
                self.members,
                self._caller_listener,
                self._programs_under_way,
            )
        self._exits.close()
        gevent.killall(self._greenlets)

    def describe_state(self) -> dict:
        """Return the state dump as JSON-ready fields."""
        if not self._is_listening:
            return {'incarnation': '', 'bundle_version': self.holder.version}
        return {
            'incarnation': str(self.members.own.incarnation),
            'bundle_version': self.holder.version,
            'programs': len(self.table.programs),
            'live_hosts': [
                str(host.incarnation) for host in self.members.live()
            ],
            'unusable_servers': self._backing.health.unusable(),
            'service_calls_under_way': self.services.under_way,
            **self.recording.describe(),
            'peers': attrs.asdict(self.link.traffic),
            'pools': [attrs.asdict(pool) for pool in self.pool_host.describe()],
        }

    def _build_link(self) -> peers.PeerLink:
        keys = documents.load(self.settings.peer_key_file, peers.PeerKeys)
        return peers.PeerLink(self.settings.peer_address, keys)

    def _build_slots(self) -> None:
        own = self.members.own.incarnation
        mailbox = mailboxes.Mailbox(own, self.members, self.link)
        routes = pool_routes.PoolRoutes(own, self.members)
        self.pool_host = pool_hosts.PoolHost(mailbox, self.timer)
        self.broker = peer_slots.PeerSlots(mailbox, routes, self.timer)
        for part in (self.pool_host, self.broker):
            self.holder.subscribe(part.apply_bundle)
        self.members.on_death(self.pool_host.forget_host)
        self.members.on_death(self.broker.reroute)

    def _build_parts(self) -> callers.CallerParts:
        home = self.home
        self.services = service_calls.ServiceCaller(
            home, self._backing.services, self._backing.health
        )
        self.models = model_calls.ModelCaller(home, self._backing.models)
        return callers.CallerParts(
            home=home,
            router=routing.Router(
                self.table, self.members, self._stopping.requests
            ),
            models=self.models,
            requests=self._stopping.requests,
            services=self.services,
            forwarder=forwarders.HttpForwarder(),
        )

    def _start(self, *loops) -> None:
        self._greenlets.extend(gevent.spawn(loop) for loop in loops)

    def _listen(self) -> None:
        caller = callers.CallerApplication(self._build_parts())
        self._caller_listener = self._exits.enter_context(
            servers.HttpServer(self.settings.caller_address, caller)
        )

    def _programs_under_way(self) -> set[str]:
        """Return the programs with calls in progress."""
        keys = (*self.models.runs, *self.services.running)
        return {program for program, _ in keys}

    def _describe(self, number: int) -> routing.EntryHost:
        return routing.EntryHost(
            incarnation=identifiers.Incarnation(self.settings.host, number),
            failure_domain=self.settings.failure_domain,
            caller_address=self.settings.caller_address,
            peer_address=self.settings.peer_address,
        )
