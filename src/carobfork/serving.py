"""Serving: the parts that run callers' programs."""

from collections.abc import Callable

from carobfork import clock
from carobfork.coordination import (
    cache_sweeps,
    control,
    gone_programs,
    homes,
    model_calls,
    ports,
    routing,
    service_calls,
)
from carobfork.protocol import callers
from carobfork.transport import engines, forwarders, services


class Serving:
    """Build what serves callers and what cleans up after programs.

    :param home: the programs homed here.
    :param hosts: the live entry hosts.
    :param holder: holds the bundle in force.
    :param link: carries queries between hosts.
    :param timer: the clock of all parts.
    """

    def __init__(
        self,
        home: homes.Home,
        hosts: routing.HostList,
        holder: control.BundleHolder,
        link: ports.PeerLink,
        timer: clock.Clock,
    ) -> None:
        """Connect the parts; their loops are started by the caller."""
        backend = engines.HttpModelBackend()
        self.router = routing.Router(home.table, hosts)
        self.models = model_calls.ModelCaller(home, backend, timer)
        self.services = service_calls.ServiceCaller(
            home, services.HttpServiceBackend()
        )
        self.gone = gone_programs.GonePrograms(
            home, self.models, backend, timer
        )
        self.sweeper = cache_sweeps.CacheSweeper(hosts, holder, link, backend)
        self._home = home
        register = cache_sweeps.GoneRegister(home, self.router)
        link.on(cache_sweeps.GoneQuery, register.answer)

    def loops(self) -> list[Callable[[], None]]:
        """Return what must run in greenlets."""
        return [self.gone.run, self.sweeper.run]

    def caller_parts(self) -> callers.CallerParts:
        """Return what the callers' interface needs."""
        return callers.CallerParts(
            home=self._home,
            router=self.router,
            models=self.models,
            services=self.services,
            gone=self.gone,
            forwarder=forwarders.HttpForwarder(),
        )

    def describe(self) -> dict:
        """Return the state dump of all parts as JSON-ready fields."""
        runner = self.models.runner
        return {
            'model_calls_under_way': len(self.models.runs),
            'service_calls_under_way': self.services.under_way,
            'attempts_failed': runner.failed_attempts,
            'streams_resumed': runner.resumed_streams,
            'programs_ended': self.gone.ended,
            'releases_failed': self.gone.releases_failed,
            'caches_swept': self.sweeper.released,
        }
