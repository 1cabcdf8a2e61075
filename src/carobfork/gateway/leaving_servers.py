"""Decide which calls still go to servers that say that they are leaving.

A leaving server names it in all its answers, while the registry may tell of it
later or not at all. The load pattern: servers are replaced one after the other,
or all those of a service leave at the same moment, and their names are used
again by processes that start some seconds later.

What a server says holds for its process and for good. A new process is told by
its entry. While the registry has no entry of it, hosts ask the server's name
from time to time whether it is still leaving.
"""

import random
from collections.abc import Callable, Iterable

import attrs
import structlog

from carobfork import clock
from carobfork.gateway import workers

LAST_RESORT_RATIO = 0.5
"""Part of the drain time in which a leaving server gets calls that no other
server can take. In the rest of it, the server ends the calls that it has."""
REMEMBERED_MS = 600_000
"""How long a process is remembered after its entry is gone: an entry that has
expired in an outage of the registry may come back."""
MIN_PROBE_INTERVAL_MS = 1000
MAX_PROBE_INTERVAL_MS = 15_000
PROBE_INTERVAL_RATIO = 0.25
"""Pause between two probes, as a part of the time since the server was first
heard to leave: one that is back is used again after a quarter more."""
PROBE_INTERVAL_PER_HOST_MS = 10
"""Pause for each entry host, so that a server gets at most some hundred probes
a second from any number of hosts."""
MIN_JITTER = 0.5

logger = structlog.get_logger(part='workers')


def _single_host() -> int:
    """Return the number of entry hosts of a fleet of one."""
    return 1


@attrs.define
class _Departure:
    """A process that has said that it leaves.

    :param since_ms: when this host first heard it.
    :param probe_at_ms: when its name is next asked for another process.
    :param is_inherited: whether it was heard while the start and version of
        the process were unknown, so that it may have been another one.
    """

    since_ms: float
    probe_at_ms: float
    is_inherited: bool = False


class LeavingServers:
    """The processes that have said that they leave.

    :ivar heard: number of processes that said so.
    :param timer: the clock for the times since then.
    :param drain_ms: how long a leaving server may get calls.
    :param count_hosts: returns the number of entry hosts, 0 if it is unknown.
    """

    def __init__(
        self,
        timer: clock.Clock,
        drain_ms: float = 0,
        count_hosts: Callable[[], int] = _single_host,
    ) -> None:
        """Create an object that knows of no leaving server."""
        self.heard = 0
        self._timer = timer
        self._last_resort_ms = drain_ms * LAST_RESORT_RATIO
        self._count_hosts = count_hosts
        self._departures: dict[tuple, _Departure] = {}

    def record(self, worker: workers.Worker) -> None:
        """Record that an answer of a worker says that it leaves."""
        now_ms = self._timer.now_ms()
        is_inherited = worker.replaced_by is not None
        if is_inherited:
            worker.leaving_since_ms = now_ms
            worker = worker.replaced_by
        process = worker.entry.process
        departure = self._departures.get(process)
        if departure is None:
            departure = _Departure(
                now_ms,
                now_ms + self._probe_interval_ms(age_ms=0),
                is_inherited,
            )
            self._departures[process] = departure
            self.heard += 1
            logger.info(
                'worker leaving',
                worker=worker.instance,
                service=worker.entry.service,
                version=worker.entry.version,
                started_ms=worker.entry.started_ms,
                calls=worker.in_flight,
            )
        departure.is_inherited &= is_inherited
        worker.leaving_since_ms = departure.since_ms

    def since_ms(self, entry: workers.Entry) -> float | None:
        """Return when the process of an entry was first heard to leave."""
        departure = self._departures.get(entry.process)
        return departure.since_ms if departure else None

    def inherit(self, entry: workers.Entry) -> None:
        """Apply that an entry has arrived for a process of unknown start.

        If that process leaves, the one of the entry does: it is the same, or
        a probe will tell that it stays.
        """
        departure = self._departures.get(entry.unknown.process)
        if departure is None or entry.process in self._departures:
            return
        self.forget(entry.unknown)
        departure.is_inherited = True
        self._departures[entry.process] = departure

    def is_inherited(self, entry: workers.Entry) -> bool:
        """Return whether only a process of unknown start said that it leaves.

        It had the name of the entry, and may have been another process.
        """
        departure = self._departures.get(entry.process)
        return departure is not None and departure.is_inherited

    def may_serve(self, worker: workers.Worker) -> bool:
        """Return whether a worker may get calls that no other can take."""
        since_ms = worker.leaving_since_ms
        if since_ms is None:
            return True
        return self._timer.now_ms() - since_ms < self._last_resort_ms

    def last_resort(
        self, listed: Iterable[workers.Worker]
    ) -> list[workers.Worker]:
        """Return the workers to use if all that stay are avoided.

        These are leaving ones that still serve, or else the avoided ones.
        """
        now_ms = self._timer.now_ms()
        staying = []
        lingering = []
        for worker in listed:
            if worker.leaving_since_ms is None:
                staying.append(worker)
            elif self.may_serve(worker) and not worker.is_avoided(now_ms):
                lingering.append(worker)
        return lingering or staying

    def take_due_probes(
        self, find: Callable[[str], workers.Worker | None]
    ) -> list[workers.Worker]:
        """Return the workers to be asked now whether they are back.

        Those that the registry knows to leave are not asked: it tells of
        their successors.

        :param find: returns the worker of an identifier.
        """
        now_ms = self._timer.now_ms()
        due = []
        for process, departure in self._departures.items():
            if now_ms < departure.probe_at_ms:
                continue
            worker = find(process[0])
            if worker is not None and _needs_probe(worker, process):
                age_ms = now_ms - departure.since_ms
                pause_ms = self._probe_interval_ms(age_ms)
                departure.probe_at_ms = now_ms + pause_ms
                due.append(worker)
        return due

    def forget(self, entry: workers.Entry) -> None:
        """Forget a process that has ended."""
        self._departures.pop(entry.process, None)

    def prune(self, known: Iterable[workers.Worker]) -> None:
        """Forget processes that have had no entry for a long time."""
        if not self._departures:
            return
        processes = {worker.entry.process for worker in known}
        oldest_ms = self._timer.now_ms() - REMEMBERED_MS
        self._departures = {
            process: departure
            for process, departure in self._departures.items()
            if process in processes or departure.since_ms > oldest_ms
        }

    def _probe_interval_ms(self, age_ms: float) -> float:
        interval_ms = max(
            MIN_PROBE_INTERVAL_MS,
            min(age_ms * PROBE_INTERVAL_RATIO, MAX_PROBE_INTERVAL_MS),
            self._count_hosts() * PROBE_INTERVAL_PER_HOST_MS,
        )
        return interval_ms * (MIN_JITTER + random.random())


def _needs_probe(worker: workers.Worker, process: tuple) -> bool:
    """Return whether a worker is a leaving process that is listed as ready."""
    return (
        worker.entry.process == process
        and worker.unlisted_since_ms is None
        and not worker.entry.is_draining
    )
