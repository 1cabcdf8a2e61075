"""Composition root: wires the parts of an entry host."""

import contextlib
from types import TracebackType

import attrs
import gevent

from carobfork import (
    backing,
    clock,
    following,
    logs,
    recording,
    serving,
    stopping,
)
from carobfork.coordination import (
    control,
    homes,
    mailboxes,
    membership,
    model_calls,
    ownerships,
    pool_hosts,
    pool_routes,
    registrations,
    routing,
    slot_clients,
)
from carobfork.inspections import counted_stores, inspectors, noted_calls
from carobfork.protocol import callers, documents, key_files, operators
from carobfork.state import bundles, identifiers, programs, validators
from carobfork.transport import (
    peers,
    platforms,
    readers,
    servers,
)


@attrs.frozen
class EntrySettings:
    """Settings of an entry host."""

    host: str = attrs.field(validator=validators.name)
    failure_domain: str = attrs.field(validator=validators.name)
    caller_address: bundles.Address
    operator_address: bundles.Address
    peer_address: bundles.Address
    platform_address: bundles.Address
    bundle_public_key_file: str
    peer_key_file: str
    log_format: str = attrs.field(
        default='json', validator=validators.one_of(logs.FORMATS)
    )
    caller_limits: readers.Limits = attrs.Factory(readers.Limits)
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
        self.store = counted_stores.CountedStore(
            platforms.HttpObjectStore(settings.platform_address), self.timer
        )
        self.holder = control.BundleHolder()
        self._directory = control.HostDirectory()
        self.is_listening = False
        self.table = programs.ProgramTable()
        self._backing = backing.Backing(self.timer)
        self.holder.subscribe(self._backing.health.apply_bundle)
        self.notes = noted_calls.open_notes(self.timer, self.table)
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
            self._directory,
            self.settings.bundle_public_key_file,
            self._backing.apply_list,
        )
        inspector = inspectors.HostInspector(self, self._end_program)
        operator = operators.OperatorApplication(inspector)
        self._exits.enter_context(
            servers.HttpServer(self.settings.operator_address, operator)
        )
        self._greenlets.append(
            gevent.spawn(self._following.peers.run, self.settings.seed_peers)
        )
        self._registration = registrations.Registration(
            self.store, self._directory, self._describe
        )
        own = self._registration.register()
        self.members = membership.Membership(
            own, self._directory, self.link, self.holder, self.timer
        )
        self.members.on_version(self._following.peers.handle_version)
        self._build_slots()
        self.recording = recording.Recording(self.store, self.table, self.timer)
        self.home = homes.Home(
            self.recording.open_journal(own.incarnation),
            self.table,
            self.holder,
            noted_calls.NotedSlots(self.broker, self.notes.decisions),
            ownerships.Ownership(self.timer),
        )
        self._start(self._following.watch.run, self.members.run)
        self._start(self.pool_host.run, self.broker.run)
        self._exits.enter_context(
            self.recording.keep(
                self.home, self._registration, self.members, self.link
            )
        )
        self._stopping.succeed_others(
            self.home, self.recording.takeovers, self.members
        )
        self.serving = serving.Serving(self, self._backing, self._stopping)
        self._start(*self.serving.loops())
        self._listen()
        self.is_listening = True
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
                self.caller_listener,
                self._programs_under_way,
            )
        self._exits.close()
        gevent.killall(self._greenlets)

    @property
    def models(self) -> model_calls.ModelCaller:
        """The model calls under way."""
        return self.serving.models

    def describe_state(self) -> dict:
        """Return the state dump as JSON-ready fields."""
        if not self.is_listening:
            return {'incarnation': '', 'bundle_version': self.holder.version}
        return {
            'incarnation': str(self.members.own.incarnation),
            'bundle_version': self.holder.version,
            'programs': len(self.table.programs),
            'live_hosts': [
                str(host.incarnation) for host in self.members.live()
            ],
            'unusable_servers': self._backing.health.unusable(),
            **self.serving.describe(),
            **self.recording.describe(),
            'peers': attrs.asdict(self.link.traffic),
            'pools': [attrs.asdict(pool) for pool in self.pool_host.describe()],
        }

    def _build_link(self) -> peers.PeerLink:
        key_files.require_private(self.settings.peer_key_file)
        keys = documents.load(self.settings.peer_key_file, peers.PeerKeys)
        return peers.PeerLink(self.settings.peer_address, keys)

    def _end_program(self, program: str, reason: str) -> None:
        self.serving.gone.close(program, reason)

    def _find_own(self) -> identifiers.Incarnation:
        return self.members.own.incarnation

    def _build_slots(self) -> None:
        mailbox = mailboxes.Mailbox(self._find_own, self.members, self.link)
        routes = pool_routes.PoolRoutes(self._find_own, self.members)
        self.pool_host = pool_hosts.PoolHost(
            mailbox, self.timer, self._backing.health.unusable
        )
        self.broker = slot_clients.SlotClient(mailbox, routes, self.timer)
        for part in (self.pool_host, self.broker):
            self.holder.subscribe(part.apply_bundle)
        self.members.on_death(self.pool_host.release_host)
        self.members.on_death(self.broker.reroute)

    def _start(self, *loops) -> None:
        self._greenlets.extend(gevent.spawn(loop) for loop in loops)

    def _listen(self) -> None:
        caller = callers.CallerApplication(self.serving.caller_parts())
        self.caller_listener = self._exits.enter_context(
            servers.HttpServer(
                self.settings.caller_address,
                caller,
                self.settings.caller_limits,
            )
        )

    def _programs_under_way(self) -> set[str]:
        """Return the programs with calls in progress."""
        keys = (*self.models.runs, *self.serving.services.running)
        return {program for program, _ in keys}

    def _describe(self, number: int) -> routing.EntryHost:
        return routing.EntryHost(
            incarnation=identifiers.Incarnation(self.settings.host, number),
            failure_domain=self.settings.failure_domain,
            caller_address=self.settings.caller_address,
            peer_address=self.settings.peer_address,
        )
