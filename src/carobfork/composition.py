"""Composition root: wires the parts of an entry host."""

import contextlib
from types import TracebackType

import attrs
import gevent

from carobfork import clock, recording
from carobfork.coordination import (
    cache_sweeps,
    control,
    gone_programs,
    homes,
    membership,
    model_calls,
    registrations,
    routing,
    service_calls,
    slots,
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
        self.broker = slots.LocalSlots(self.timer)
        self.holder.subscribe(self.broker.apply_bundle)
        self.recording = recording.Recording(self.store, self.table, self.timer)
        self.home = homes.Home(
            self.recording.open_journal(own.incarnation),
            self.table,
            self.holder,
            self.broker,
        )
        self._start(self.watch.run, self.members.run)
        self._exits.enter_context(
            self.recording.keep(
                self.home, self.registration, self.members, self.link
            )
        )
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
        return control.ControlWatch(
            self.store, self.holder, reader, self.directory
        )

    def _build_parts(self) -> callers.CallerParts:
        home = self.home
        self.services = service_calls.ServiceCaller(
            home, services.HttpServiceBackend(), self.timer
        )
        router = routing.Router(self.table, self.members)
        backend = engines.HttpModelBackend()
        models = model_calls.ModelCaller(home, backend, self.timer)
        self.gone = gone_programs.GonePrograms(
            home, models, backend, self.timer
        )
        self._start_sweeps(router, backend)
        return callers.CallerParts(
            home=home,
            router=router,
            models=models,
            services=self.services,
            gone=self.gone,
            forwarder=forwarders.HttpForwarder(),
        )

    def _start_sweeps(
        self, router: routing.Router, backend: engines.HttpModelBackend
    ) -> None:
        register = cache_sweeps.GoneRegister(self.home, router)
        self.link.on(cache_sweeps.GoneQuery, register.answer)
        sweeper = cache_sweeps.CacheSweeper(
            self.members, self.holder, self.link, backend
        )
        self._start(self.gone.run, sweeper.run)

    def _start(self, *loops) -> None:
        self._greenlets.extend(gevent.spawn(loop) for loop in loops)

    def _listen(self) -> None:
        operator = operators.OperatorApplication(self.describe_state)
        caller = callers.CallerApplication(self._build_parts())
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
