"""Release what backend servers hold for programs that have ended.

Release messages get lost and cache events have gaps, so neither is relied
on. One host is responsible for each model engine; it reads the engine's
inventory periodically and asks the homes of the programs found whether they
have ended.
"""

from collections.abc import Iterable

import attrs
import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.coordination import (
    cache_ports,
    control,
    homes,
    messages,
    ports,
    routing,
)
from carobfork.state import bundles, identifiers

SWEEP_INTERVAL_MS = 5000
QUERY_TIMEOUT_MS = 2000
MAX_QUERY_PROGRAMS = 1000
"""Maximum number of programs in one query."""

logger = structlog.get_logger(part='cache sweeps')


@messages.register
@attrs.frozen
class GoneQuery:
    """Asks a host which of these programs have ended."""

    programs: list[str]


@messages.register
@attrs.frozen
class GoneReply:
    """The programs of a query that have ended."""

    programs: list[str]


class GoneQueryHandler:
    """Answers which of the programs homed on this host have ended.

    :param home: the programs of this host and their journal.
    :param router: finds out which programs are homed on this host.
    """

    def __init__(self, home: homes.Home, router: routing.Router) -> None:
        """Initialize without any query."""
        self._home = home
        self._router = router

    def answer(self, query: GoneQuery) -> GoneReply:
        """Return the programs of a query that are homed here and have ended.

        A program that is homed here but not in the table has ended. The
        answer is empty if the journal is sealed, since the programs then
        have another owner.
        """
        if self._home.journal.sealed:
            return GoneReply([])
        gone = [name for name in query.programs if self._is_gone(name)]
        return GoneReply(gone)

    def _is_gone(self, name: str) -> bool:
        program = self._home.table.programs.get(name)
        if program is not None:
            return not program.is_open
        try:
            return self._router.resolve(name) is None
        except exceptions.UnknownProgramError:
            return False


class CacheSweeper:
    """Sweeps the model engines that this host is responsible for.

    :param hosts: the live entry hosts.
    :param holder: holder of the bundle, which lists the engines.
    :param link: messages to the other entry hosts.
    :param backend: client of the cache of model engines.
    """

    def __init__(
        self,
        hosts: routing.HostList,
        holder: control.BundleHolder,
        link: ports.PeerLink,
        backend: cache_ports.CacheBackend,
    ) -> None:
        """Initialize without sweeping."""
        self.released = 0
        self._hosts = hosts
        self._holder = holder
        self._link = link
        self._backend = backend

    def run(self) -> None:
        """Sweep periodically until the greenlet is killed."""
        while True:
            gevent.sleep(clock.to_seconds(SWEEP_INTERVAL_MS))
            for worker in self._assigned_workers():
                self._try_sweep(worker)

    def sweep(self, worker: bundles.Worker) -> None:
        """Release what an engine holds for programs that have ended.

        :raises ConnectionFailedError: if the engine did not answer.
        """
        held = self._backend.inventory(worker).programs
        for name in self._find_gone(held):
            self._backend.release(worker, name)
            self.released += 1
            logger.info('Cache was released.', program=name, peer=worker.name)

    def is_responsible(self, worker: bundles.Worker) -> bool:
        """Return whether this host sweeps an engine.

        Of the live hosts, the one with the highest digest of its own and the
        engine's name is responsible.
        """
        names = [host.incarnation.host for host in self._hosts.live()]
        return self._hosts.own.incarnation.host == max(
            names,
            key=lambda name: identifiers.digest(
                name.encode(), worker.name.encode()
            ),
        )

    def _assigned_workers(self) -> list[bundles.Worker]:
        if not self._holder.version:
            return []
        return [
            worker
            for model in self._holder.current.models
            for worker in model.workers
            if self.is_responsible(worker)
        ]

    def _try_sweep(self, worker: bundles.Worker) -> None:
        try:
            self.sweep(worker)
        except exceptions.CarobforkError as error:
            logger.info(
                'A cache sweep failed.', peer=worker.name, error=str(error)
            )

    def _find_gone(self, names: Iterable[str]) -> set[str]:
        gone: set[str] = set()
        for host, homed in self._group_by_home(names).items():
            for start in range(0, len(homed), MAX_QUERY_PROGRAMS):
                query = GoneQuery(homed[start : start + MAX_QUERY_PROGRAMS])
                gone.update(self._query(host, query).programs)
        return gone

    def _group_by_home(
        self, names: Iterable[str]
    ) -> dict[routing.EntryHost, list[str]]:
        grouped: dict[routing.EntryHost, list[str]] = {}
        for name in names:
            for host in self._homes_of(name):
                grouped.setdefault(host, []).append(name)
        return grouped

    def _homes_of(self, name: str) -> list[routing.EntryHost]:
        try:
            home = identifiers.home_of(name)
        except exceptions.UnknownProgramError:
            return []
        return [host for host in self._hosts.live() if host.is_home_of(home)]

    def _query(self, host: routing.EntryHost, query: GoneQuery) -> GoneReply:
        try:
            return self._link.request(
                host.peer_address, query, QUERY_TIMEOUT_MS
            )
        except exceptions.CarobforkError as error:
            logger.info('A home did not answer.', error=str(error))
            return GoneReply([])
