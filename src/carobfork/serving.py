"""Serving: the parts that run callers' programs."""

from collections.abc import Callable
from typing import Protocol

from carobfork import backing, clock, stopping
from carobfork.coordination import (
    cache_sweeps,
    call_logs,
    control,
    homes,
    model_calls,
    ports,
    program_reapers,
    routing,
    service_calls,
)
from carobfork.inspections import noted_calls
from carobfork.protocol import callers
from carobfork.transport import forwarders


class Host(Protocol):
    """The parts of the host that serving builds on."""

    home: homes.Home
    members: routing.HostList
    holder: control.BundleHolder
    link: ports.PeerLink
    notes: call_logs.CallLog
    timer: clock.Clock


class Serving:
    """Build what serves callers and what cleans up after programs.

    :param host: the host's other parts.
    :param servers: the clients of backend servers.
    :param stops: the requests in progress, and planned stops.
    """

    def __init__(
        self, host: Host, servers: backing.Backing, stops: stopping.Stopping
    ) -> None:
        """Connect the parts; their loops are started by the caller."""
        home = host.home
        self.models = model_calls.ModelCaller(home, servers.models, host.timer)
        self.services = service_calls.ServiceCaller(
            home,
            noted_calls.NotedServices(servers.services, host.notes.decisions),
            servers.health,
        )
        self.gone = program_reapers.ProgramReaper(
            home, self.models, servers.models, host.timer
        )
        self._host = host
        self._requests = stops.requests
        self._router = routing.Router(home.table, host.members, stops.requests)
        self._sweeper = cache_sweeps.CacheSweeper(
            host.members, host.holder, host.link, servers.models
        )
        register = cache_sweeps.GoneQueryHandler(home, self._router)
        host.link.on(cache_sweeps.GoneQuery, register.answer)

    def loops(self) -> list[Callable[[], None]]:
        """Return what must run in greenlets."""
        return [self.gone.run, self._sweeper.run]

    def caller_parts(self) -> callers.CallerParts:
        """Return what the callers' interface needs."""
        return callers.CallerParts(
            home=self._host.home,
            router=self._router,
            models=self.models,
            requests=self._requests,
            services=self.services,
            gone=self.gone,
            forwarder=forwarders.HttpForwarder(),
            notes=self._host.notes,
        )

    def describe(self) -> dict:
        """Return the state dump of all parts as JSON-ready fields."""
        runner = self.models.runner
        return {
            'model_calls_under_way': len(self.models.runs),
            'service_calls_under_way': self.services.in_flight,
            'attempts_failed': runner.failed_attempts,
            'streams_resumed': runner.resumed_streams,
            'programs_ended': self.gone.ended,
            'releases_failed': self.gone.releases_failed,
            'caches_swept': self._sweeper.released,
        }
