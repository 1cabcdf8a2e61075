"""Track the backend servers (workers) that calls are scheduled on.

Two sources are combined: the platform's registry, which lags behind and loses
entries during an outage of the platform's store, and the results of calls.
"""

from collections.abc import Iterable, Iterator, Mapping

import structlog

from carobfork import clock
from carobfork.gateway import (
    leaving_servers,
    limiters,
    pacers,
    permits,
    worker_indexes,
    workers,
)
from carobfork.pacing import paces

UNLISTED_TTL_MS = 1500
"""How long a worker without an entry may get calls if no other is left.

Shorter than the time that a backend server continues to serve after its entry
is removed.
"""
RELISTING_TIMEOUT_MS = 2500
"""How long after an outage workers without an entry may get calls and are kept:
entries that expired during it are registered again about 2 s after its end."""
MIN_SUSPECTING_HOSTS = 2
"""Number of other hosts that must suspect a worker before it is avoided: a
single host may itself be cut off from the worker."""
OPEN_TURNS_TTL_MS = 250
"""How long a count of open turns takes precedence over load reports, which may
be older than one heartbeat."""

logger = structlog.get_logger(part='workers')


class WorkerTable:
    """The known workers of all services.

    :param timer: the clock for ages of entries, reports and failures.
    :param limiter: keeps to the request limits that workers name.
    :param pacer: keeps calls from workers that have just started.
    :param leaving: knows the workers that say that they leave.
    """

    def __init__(
        self,
        timer: clock.Clock,
        limiter: limiters.Limiter | None = None,
        pacer: pacers.Pacer | None = None,
        leaving: leaving_servers.LeavingServers | None = None,
    ) -> None:
        """Create an empty table."""
        self.is_loaded = False
        self.limiter = limiter or limiters.Limiter(timer)
        self.pacer = pacer or pacers.Pacer(timer)
        self.leaving = leaving or leaving_servers.LeavingServers(timer)
        self._timer = timer
        self._workers: dict[str, workers.Worker] = {}
        self._index = worker_indexes.WorkerIndex()
        self._relisting_until_ms = workers.NEVER_MS
        self._remote_waiting: Mapping[str, int] = {}
        self._remote_ranks: Mapping[int, Mapping[str, int]] = {}
        self._remote_updated_ms = workers.NEVER_MS
        self._failure_domain = ''

    def __iter__(self) -> Iterator[workers.Worker]:
        """Iterate over all workers, including those without an entry."""
        return iter(self._workers.values())

    def get(self, instance: str) -> workers.Worker | None:
        """Return a worker, or ``None`` if it is unknown."""
        return self._workers.get(instance)

    def prefer_failure_domain(self, failure_domain: str) -> None:
        """Prefer the workers of a failure domain, or none if it is empty."""
        if failure_domain != self._failure_domain:
            self._failure_domain = failure_domain
            for worker in self._workers.values():
                worker.is_local = worker.entry.failure_domain == failure_domain

    def apply(
        self, entries: Iterable[workers.Entry], was_unreachable: bool
    ) -> None:
        """Apply a complete listing of the registry.

        :param entries: all entries.
        :param was_unreachable: whether the registry was unreachable before
            this listing.
        """
        now_ms = self._timer.now_ms()
        if was_unreachable and self.is_loaded:
            self._relisting_until_ms = now_ms + RELISTING_TIMEOUT_MS
        is_first = not self.is_loaded
        self.is_loaded = True
        listed = {entry.instance: entry for entry in entries}
        for entry in listed.values():
            reason = self._apply_entry(entry)
            if reason and not is_first:
                self._workers[entry.instance].begin_pace(reason, now_ms)
        for worker in list(self._workers.values()):
            if worker.instance not in listed:
                self._mark_unlisted(worker, now_ms)
        self._index.rebuild(self)
        self.leaving.prune(self)
        self.limiter.processes.prune(self)

    def renew(self, worker: workers.Worker) -> None:
        """Apply that another process has taken the name of a worker.

        Neither its start nor its version are known until it has an entry. If
        the worker was only taken for a leaving one, its entry is of that
        process already.
        """
        if self.get(worker.instance) is not worker:
            return
        logger.info('worker back', worker=worker.instance)
        entry = worker.entry
        is_known = self.leaving.is_inherited(entry)
        if is_known:
            self.leaving.forget(entry)
        else:
            if not entry.started_ms:
                # Its entry stays the same.
                self.leaving.forget(entry)
            self.leaving.forget(entry.unknown)
            self.limiter.processes.forget_unknown(entry.instance)
            entry = entry.unknown
        reason = self._apply_entry(entry)
        renewed = self._workers[worker.instance]
        if not is_known:
            renewed.permit_stock = permits.PermitStock()
        if renewed is not worker and worker.entry.started_ms:
            renewed.renewed_from = worker.entry.process
        renewed.leaving_since_ms = None
        renewed.begin_pace(reason or paces.Reason.started, self._timer.now_ms())
        self._index.rebuild(self)

    def update_open_turns(
        self, open_turns: Mapping[str, int], announced_worker: str
    ) -> None:
        """Apply the store hosts' current count of open turns.

        Workers that have never run a counted turn keep their load figures.

        :param open_turns: open turns of all hosts by worker.
        :param announced_worker: the worker of a turn of this host that is
            counted but has no slot yet.
        """
        now_ms = self._timer.now_ms()
        for worker in self._workers.values():
            total_turns = open_turns.get(worker.instance, 0)
            total_turns -= worker.instance == announced_worker
            if (
                total_turns > 0
                or worker.open_turns_updated_ms > workers.NEVER_MS
            ):
                worker.update_load(total_turns, now_ms)
                worker.open_turns_updated_ms = now_ms

    def update_remote_load(
        self,
        in_flight: Mapping[str, int],
        waiting: Mapping[str, int],
        waiting_ranks: Mapping[int, Mapping[str, int]] | None = None,
    ) -> None:
        """Apply the load report of all other hosts.

        :param in_flight: number of running calls by worker.
        :param waiting: number of calls that wait for a slot, by service.
        :param waiting_ranks: the same by rank and service, if reported.
        """
        now_ms = self._timer.now_ms()
        self._remote_updated_ms = now_ms
        self._remote_waiting = waiting
        self._remote_ranks = waiting_ranks or {}
        for worker in self._workers.values():
            # Load reports are older than counts of open turns.
            if now_ms - worker.open_turns_updated_ms > OPEN_TURNS_TTL_MS:
                worker.remote_in_flight = in_flight.get(worker.instance, 0)
                worker.remote_updated_ms = now_ms

    @property
    def has_remote_waiting(self) -> bool:
        """Whether calls wait at other hosts, by the last load report."""
        return any(
            self.remote_waiting(service) for service in self._remote_waiting
        )

    def remote_waiting(self, service: str, behind: int | None = None) -> int:
        """Return the number of waiting calls at other hosts.

        Return 0 if the last load report is too old.

        :param service: the service that the calls are for.
        :param behind: count only calls that are less urgent than this rank;
            none are counted if the report has no ranks.
        """
        age_ms = self._timer.now_ms() - self._remote_updated_ms
        if age_ms > workers.REMOTE_LOAD_TTL_MS:
            return 0
        if behind is None:
            return self._remote_waiting.get(service, 0)
        return sum(
            waiting.get(service, 0)
            for rank, waiting in self._remote_ranks.items()
            if rank > behind
        )

    def update_suspects(self, suspects: Mapping[str, int]) -> None:
        """Apply the suspicions of other hosts.

        :param suspects: number of other hosts that suspect a worker, by its
            identifier.
        """
        now_ms = self._timer.now_ms()
        for worker in self._workers.values():
            count = suspects.get(worker.instance, 0)
            is_suspected = count >= MIN_SUSPECTING_HOSTS
            worker.last_suspected_ms = (
                now_ms if is_suspected else workers.NEVER_MS
            )
            if is_suspected and worker.is_avoided(now_ms):
                worker.begin_pace(paces.Reason.failed, now_ms)
            if count:
                worker.last_failure_ms = now_ms

    def suspects(self) -> list[str]:
        """Return the workers that are avoided for failed calls of this host."""
        now_ms = self._timer.now_ms()
        return [
            worker.instance
            for worker in self._workers.values()
            if worker.avoided_until_ms > now_ms
        ]

    def in_flight(self) -> dict[str, int]:
        """Return the number of this host's calls by worker, without zeros."""
        return {
            worker.instance: worker.in_flight
            for worker in self._workers.values()
            if worker.in_flight
        }

    def usable(
        self, service: str, version: str | None = None
    ) -> list[workers.Worker]:
        """Return the workers that may get a new call of a service.

        Leaving workers are returned only if all others with an entry are
        avoided, and avoided workers only if none that leaves still serves.
        Workers without an entry are returned only if no worker has one,
        because all entries may have expired in an outage of the registry.

        :param version: the software version that they must have, ``None`` if
            any will do. No worker has an unknown version.
        """
        now_ms = self._timer.now_ms()
        listed = self._index.find(service, version, is_listed=True)
        ready = [
            worker
            for worker in listed
            if worker.leaving_since_ms is None and not worker.is_avoided(now_ms)
        ]
        if ready:
            return ready
        found = self.leaving.last_resort(listed)
        return found or [
            worker
            for worker in self._index.find(service, version, is_listed=False)
            if _may_still_serve(worker, now_ms, self._relisting_until_ms)
            and self.leaving.may_serve(worker)
        ]

    def _apply_entry(self, entry: workers.Entry) -> paces.Reason | None:
        """Apply an entry; return why its worker should be paced, if so."""
        known = self._workers.get(entry.instance)
        if known is not None and known.renewed_from == entry.process:
            entry = entry.unknown
        if known is None or not known.is_same_process(entry):
            logger.info(
                'worker registered',
                worker=entry.instance,
                service=entry.service,
                version=entry.version,
                draining=entry.is_draining,
                restarted=known is not None,
            )
            self.leaving.inherit(entry)
            added = workers.Worker(
                entry,
                is_local=entry.failure_domain == self._failure_domain,
                leaving_since_ms=self.leaving.since_ms(entry),
                permit_stock=self.limiter.processes.find(entry, known),
                can_be_paced=self.pacer.is_enabled,
            )
            self._workers[entry.instance] = added
            if known is not None:
                _mark_replaced(known, added)
            return paces.Reason.started
        if known.entry.is_draining != entry.is_draining:
            logger.info(
                'worker draining' if entry.is_draining else 'worker ready',
                worker=entry.instance,
            )
        known.entry = entry
        was_gone = known.unlisted_since_ms is not None
        known.unlisted_since_ms = None
        is_relisting = self._timer.now_ms() < self._relisting_until_ms
        return paces.Reason.returned if was_gone and not is_relisting else None

    def _mark_unlisted(self, worker: workers.Worker, now_ms: float) -> None:
        if worker.unlisted_since_ms is None:
            worker.unlisted_since_ms = now_ms
            logger.info(
                'worker gone', worker=worker.instance, calls=worker.in_flight
            )
        is_expired = not _may_still_serve(
            worker, now_ms, self._relisting_until_ms
        )
        if is_expired and not worker.in_flight:
            self._workers.pop(worker.instance)


def _mark_replaced(known: workers.Worker, added: workers.Worker) -> None:
    """Mark a worker as replaced by that of another entry.

    Calls on the previous process release their slots on the previous object,
    which is no longer used.
    """
    known.is_replaced = True
    if known.is_same_process(known.entry.unknown):
        known.replaced_by = added


def _may_still_serve(
    worker: workers.Worker, now_ms: float, relisting_until_ms: float
) -> bool:
    """Return whether a worker without an entry may get calls.

    :param relisting_until_ms: time until which entries that have expired in
        an outage may come back.
    """
    if now_ms < relisting_until_ms:
        return True
    return now_ms - worker.unlisted_since_ms < UNLISTED_TTL_MS
