"""Composition root: wires the parts of an entry host."""

import contextlib
from types import TracebackType

import attrs
import gevent

from carobfork import clock
from carobfork.coordination import (
    backends,
    bundle_peers,
    control,
    homes,
    journals,
    membership,
    model_calls,
    observations,
    routing,
    service_calls,
    slots,
    stops,
)
from carobfork.protocol import callers, codecs, documents, operators, signatures
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
        self.own: routing.EntryHost | None = None
        self.table = programs.ProgramTable()
        self.health = backends.BackendHealth(self.timer)
        self.holder.subscribe(self.health.apply_bundle)
        self._greenlets: list[gevent.Greenlet] = []
        self._exits = contextlib.ExitStack()

    def __enter__(self) -> 'EntryHost':
        """Register, follow the control objects and listen."""
        self.link = self._exits.enter_context(self._build_link())
        self.watch = self._build_watch()
        self.bundle_peers = bundle_peers.BundlePeers(
            self.link, self.holder, self.gate
        )
        operator = operators.OperatorApplication(self.describe_state)
        self._exits.enter_context(
            servers.HttpServer(self.settings.operator_address, operator)
        )
        self._greenlets.append(
            gevent.spawn(self.bundle_peers.run, self.settings.seed_peers)
        )
        self.own = control.register_host(self.store, self._describe)
        self.directory.note(self.own)
        self.members = membership.Membership(
            self.own, self.directory, self.link, self.holder, self.timer
        )
        self.members.on_version(self.bundle_peers.hear)
        self.journal = journals.Journal(
            self.store,
            codecs.MsgpackRecordCodec(),
            self.own.incarnation,
            self.table.apply,
        )
        self.broker = slots.LocalSlots(self.timer)
        self.holder.subscribe(self.broker.apply_bundle)
        self._start(self.journal.run, self.watch.run, self.members.run)
        self._listen()
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
            stop.run(self._hand_over, [self.caller_listener])
        self._exits.close()
        gevent.killall(self._greenlets)

    def describe_state(self) -> dict:
        """Return the state dump as JSON-ready fields."""
        if self.own is None:
            return {'incarnation': '', 'bundle_version': self.holder.version}
        return {
            'incarnation': str(self.own.incarnation),
            'bundle_version': self.holder.version,
            'programs': len(self.table.programs),
            'live_hosts': [
                str(host.incarnation) for host in self.members.live()
            ],
            'journal': {
                'sealed': self.journal.sealed,
                'records_committed': self.journal.records_committed,
                'platform_writes': self.journal.platform_writes,
            },
            'unusable_servers': self.health.unusable(),
            'peers': attrs.asdict(self.link.traffic),
        }

    def _build_link(self) -> peers.PeerLink:
        keys = documents.load(self.settings.peer_key_file, peers.PeerKeys)
        return peers.PeerLink(self.settings.peer_address, keys)

    def _build_watch(self) -> control.ControlWatch:
        reader = signatures.SignedBundleReader(
            self.settings.bundle_public_key_file
        )
        self.gate = control.BundleGate(reader, self.holder)
        handlers = {
            control.BUNDLE_KEY: self.gate.offer,
            control.BACKENDS_KEY: self._apply_backend_list,
        }
        return control.ControlWatch(self.store, self.directory, handlers)

    def _apply_backend_list(self, body: bytes) -> None:
        self.health.apply_list(backends.BackendList.parse(body))

    def _build_parts(self) -> callers.CallerParts:
        home = homes.Home(self.journal, self.table, self.holder, self.broker)
        backend = observations.ObservedServices(
            services.HttpServiceBackend(), self.health
        )
        models = observations.ObservedModels(
            engines.HttpModelBackend(), self.health
        )
        return callers.CallerParts(
            home=home,
            router=routing.Router(
                self.own.incarnation, self.table, self.members
            ),
            models=model_calls.ModelCaller(home, models),
            services=service_calls.ServiceCaller(home, backend, self.health),
            forwarder=forwarders.HttpForwarder(),
        )

    def _start(self, *loops) -> None:
        self._greenlets.extend(gevent.spawn(loop) for loop in loops)

    def _listen(self) -> None:
        caller = callers.CallerApplication(self._build_parts())
        self.caller_listener = self._exits.enter_context(
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
