"""Composition root: wires the parts of an entry host."""

import contextlib
from types import TracebackType

import attrs
import gevent

from carobfork import clock, recording
from carobfork.coordination import (
    backends,
    bundle_peers,
    control,
    homes,
    membership,
    model_calls,
    observations,
    registrations,
    routing,
    service_calls,
    slots,
    stops,
)
from carobfork.protocol import callers, documents, operators, signatures
from carobfork.state import bundles, identifiers, programs
from carobfork.transport import (
    engines,
    forwarders,
    peers,
    platforms,
    servers,
    services,
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
        self.health = backends.BackendHealth(self.timer)
        self.holder.subscribe(self.health.apply_bundle)
        self._greenlets: list[gevent.Greenlet] = []
        self._exits = contextlib.ExitStack()

    def __enter__(self) -> 'EntryHost':
        """Register, follow the control objects and listen."""
        self.link = self._exits.enter_context(self._build_link())
        self._watch = self._build_watch()
        self._bundle_peers = bundle_peers.BundlePeers(
            self.link, self.holder, self._gate
        )
        operator = operators.OperatorApplication(self.describe_state)
        self._exits.enter_context(
            servers.HttpServer(self.settings.operator_address, operator)
        )
        self._greenlets.append(
            gevent.spawn(self._bundle_peers.run, self.settings.seed_peers)
        )
        self.registration = registrations.Registration(
            self.store, self.directory, self._describe
        )
        own = self.registration.register()
        self.members = membership.Membership(
            own, self.directory, self.link, self.holder, self.timer
        )
        self.members.on_version(self._bundle_peers.hear)
        self.broker = slots.LocalSlots(self.timer)
        self.holder.subscribe(self.broker.apply_bundle)
        self.recording = recording.Recording(self.store, self.table, self.timer)
        self.home = homes.Home(
            self.recording.open_journal(own.incarnation),
            self.table,
            self.holder,
            self.broker,
        )
        self._start(self._watch.run, self.members.run)
        self._exits.enter_context(
            self.recording.keep(
                self.home, self.registration, self.members, self.link
            )
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
            stop = stops.PlannedStop(
                self.members, self.link, self.store, self.timer
            )
            stop.run(self._hand_over, [self._caller_listener])
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
            'unusable_servers': self.health.unusable(),
            'service_calls_under_way': self.services.under_way,
            **self.recording.describe(),
            'peers': attrs.asdict(self.link.traffic),
        }

    def _build_link(self) -> peers.PeerLink:
        keys = documents.load(self.settings.peer_key_file, peers.PeerKeys)
        return peers.PeerLink(self.settings.peer_address, keys)

    def _build_watch(self) -> control.ControlWatch:
        reader = signatures.SignedBundleReader(
            self.settings.bundle_public_key_file
        )
        self._gate = control.BundleGate(reader, self.holder)
        handlers = {
            control.BUNDLE_KEY: self._gate.offer,
            control.BACKENDS_KEY: self._apply_backend_list,
        }
        return control.ControlWatch(self.store, self.directory, handlers)

    def _apply_backend_list(self, body: bytes) -> None:
        self.health.apply_list(backends.BackendList.parse(body))

    def _build_parts(self) -> callers.CallerParts:
        home = self.home
        models = observations.ObservedModels(
            engines.HttpModelBackend(), self.health
        )
        self.services = service_calls.ServiceCaller(
            home,
            observations.ObservedServices(
                services.HttpServiceBackend(), self.health
            ),
            self.health,
            self.timer,
        )
        return callers.CallerParts(
            home=home,
            router=routing.Router(self.table, self.members),
            models=model_calls.ModelCaller(home, models),
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

    def _hand_over(self) -> None:
        """Give the programs to a successor."""

    def _describe(self, number: int) -> routing.EntryHost:
        return routing.EntryHost(
            incarnation=identifiers.Incarnation(self.settings.host, number),
            failure_domain=self.settings.failure_domain,
            caller_address=self.settings.caller_address,
            peer_address=self.settings.peer_address,
        )
