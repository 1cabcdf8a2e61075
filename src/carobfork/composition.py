"""Composition root: wires the parts of an entry host."""

import contextlib
from types import TracebackType

import attrs
import gevent

from carobfork import clock
from carobfork.coordination import (
    control,
    homes,
    journals,
    model_calls,
    routing,
    service_calls,
    slots,
)
from carobfork.protocol import callers, codecs, operators, signatures
from carobfork.state import bundles, identifiers, programs
from carobfork.transport import (
    engines,
    forwarders,
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
    platform_address: bundles.Address
    bundle_public_key_file: str
    log_format: str = 'json'


class EntryHost:
    """All parts of one entry host, as a context manager.

    :param settings: the host's settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        """Remember the settings; entering starts the host."""
        self._settings = settings
        self._greenlets: list[gevent.Greenlet] = []
        self._exits = contextlib.ExitStack()

    def __enter__(self) -> 'EntryHost':
        """Register, follow the control objects and listen."""
        store = platforms.HttpObjectStore(self._settings.platform_address)
        own = control.register_host(store, self._describe_host)
        holder = control.BundleHolder()
        directory = control.HostDirectory()
        directory.note(own)
        table = programs.ProgramTable()
        journal = journals.Journal(
            store, codecs.MsgpackRecordCodec(), own.incarnation, table.apply
        )
        watch = self._build_watch(store, holder, directory)
        self._start(journal.run, watch.run)
        router = routing.Router(own.incarnation, table, directory)
        home = homes.Home(journal, table, holder, self._build_broker(holder))
        state = _StateDump(own.incarnation, holder, journal, table)
        self._listen(_build_parts(home, router), state)
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

    def _build_watch(
        self,
        store: platforms.HttpObjectStore,
        holder: control.BundleHolder,
        directory: control.HostDirectory,
    ) -> control.ControlWatch:
        reader = signatures.SignedBundleReader(
            self._settings.bundle_public_key_file
        )
        return control.ControlWatch(store, holder, reader, directory)

    def _build_broker(self, holder: control.BundleHolder) -> slots.LocalSlots:
        broker = slots.LocalSlots(clock.SystemClock())
        holder.subscribe(broker.apply_bundle)
        return broker

    def _start(self, *loops) -> None:
        self._greenlets.extend(gevent.spawn(loop) for loop in loops)

    def _listen(self, parts: callers.CallerParts, state: '_StateDump') -> None:
        self._exits.enter_context(
            servers.HttpServer(
                self._settings.operator_address,
                operators.OperatorApplication(state.describe),
            )
        )
        self._exits.enter_context(
            servers.HttpServer(
                self._settings.caller_address,
                callers.CallerApplication(parts),
            )
        )

    def _describe_host(self, number: int) -> routing.EntryHost:
        return routing.EntryHost(
            incarnation=identifiers.Incarnation(self._settings.host, number),
            failure_domain=self._settings.failure_domain,
            caller_address=self._settings.caller_address,
        )


def _build_parts(
    home: homes.Home, router: routing.Router
) -> callers.CallerParts:
    return callers.CallerParts(
        home=home,
        router=router,
        models=model_calls.ModelCaller(home, engines.HttpModelBackend()),
        services=service_calls.ServiceCaller(
            home, services.HttpServiceBackend()
        ),
        forwarder=forwarders.HttpForwarder(),
    )


class _StateDump:
    """Describe the process for operators."""

    def __init__(
        self,
        incarnation: identifiers.Incarnation,
        holder: control.BundleHolder,
        journal: journals.Journal,
        table: programs.ProgramTable,
    ) -> None:
        self._incarnation = incarnation
        self._holder = holder
        self._journal = journal
        self._table = table

    def describe(self) -> dict:
        """Return the state as JSON-ready fields."""
        return {
            'incarnation': str(self._incarnation),
            'bundle_version': self._holder.version,
            'programs': len(self._table.programs),
            'journal': {
                'sealed': self._journal.sealed,
                'records_committed': self._journal.records_committed,
                'platform_writes': self._journal.platform_writes,
            },
        }
