"""Workers: backend servers as registered, and what is seen of them.

Two sources are combined: the registry, which lags and forgets servers during
an outage of the platform's store, and what the servers' answers show.
"""

from collections.abc import Iterable, Iterator, Mapping

import attrs
import structlog

from carobfork import clock

NEVER_MS = float('-inf')
"""Before all times."""
UNLISTED_TTL_MS = 1500
"""How long unregistered servers may serve where no other is left.

Below the time that a server goes on serving after its entry is gone.
"""
RELISTING_TIMEOUT_MS = 2500
"""Entries that lapsed in an outage are back about 2 s after its end."""
MIN_AVOID_MS = 250
MAX_AVOID_MS = 4000
"""A failing server is tried again within a few seconds: it may be back."""
REMOTE_LOAD_TTL_MS = 1200
"""Sums of all hosts' calls are older than a few beats after this."""
MIN_SUSPECTING_HOSTS = 2
"""Other hosts that must suspect a server: one alone may be cut off from it."""
OWN_SUCCESS_TTL_MS = 500
"""A call that a server has just served says more than what others suspect."""
RECENT_FAILURE_MS = 5000
"""After a failure, seen here or by any other host: servers that go down and
up by turns fail again within a few seconds."""
OPEN_TURNS_TTL_MS = 250
"""A count of open turns stands against sums that are older than a beat."""
_MAX_DOUBLINGS = 5
DURATION_MEAN_WEIGHT = 0.1
"""Weight of the newest duration in the mean of a server's calls."""

logger = structlog.get_logger(part='workers')


@attrs.frozen
class Entry:
    """A backend server as it registered itself.

    :param started_ms: Unix time of its start; a restart forgets all.
    """

    instance: str
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool = False
    started_ms: float = 0


@attrs.define(eq=False)
class Worker:
    """A backend server and what is seen of it.

    :param in_flight: calls of this host.
    :param elsewhere: calls of other hosts, as last told.
    :param removed_ms: when its entry vanished, if it did.
    :param is_near: whether it is in the preferred failure domain.
    :param kept_ms: when a connection to it was last kept.
    :param counted_ms: when its open turns were last counted.
    :param served_ms: when it last served a call of this host.
    :param suspected_ms: when enough other hosts last suspected it.
    :param doubted_ms: when it last failed a call of this host, or was
        suspected by any other.
    """

    entry: Entry
    in_flight: int = 0
    remote_in_flight: int = 0
    remote_updated_ms: float = NEVER_MS
    consecutive_failures: int = 0
    avoided_until_ms: float = NEVER_MS
    unlisted_since_ms: float | None = None
    idle_connections: int = 0
    last_kept_ms: float = NEVER_MS
    open_turns_updated_ms: float = NEVER_MS
    last_success_ms: float = NEVER_MS
    last_suspected_ms: float = NEVER_MS
    last_failure_ms: float = NEVER_MS
    mean_duration_ms: float = 0
    is_local: bool = False

    @property
    def instance(self) -> str:
        """The server's identifier."""
        return self.entry.instance

    def load(self, now_ms: float) -> int:
        """Return the calls that it is believed to have."""
        if now_ms - self.remote_updated_ms > REMOTE_LOAD_TTL_MS:
            return self.in_flight
        return self.in_flight + self.remote_in_flight

    def update_load(self, total_calls: int, now_ms: float) -> None:
        """Take the number of calls that the server tells itself."""
        self.remote_in_flight = max(0, total_calls - self.in_flight)
        self.remote_updated_ms = now_ms

    def is_avoided(self, now_ms: float) -> bool:
        """Tell whether it has failed calls of this host or of others."""
        if self.avoided_until_ms > now_ms:
            return True
        is_suspected = now_ms - self.last_suspected_ms < REMOTE_LOAD_TTL_MS
        return (
            is_suspected and now_ms - self.last_success_ms > OWN_SUCCESS_TTL_MS
        )

    def has_recent_failure(self, now_ms: float) -> bool:
        """Tell whether calls that run at most once should go elsewhere."""
        return now_ms - self.last_failure_ms < RECENT_FAILURE_MS

    def record_success(self, duration_ms: float, now_ms: float) -> None:
        """Count a call that was served."""
        self.last_success_ms = now_ms
        self.consecutive_failures = 0
        if self.mean_duration_ms:
            change = (
                duration_ms - self.mean_duration_ms
            ) * DURATION_MEAN_WEIGHT
            self.mean_duration_ms += change
        else:
            self.mean_duration_ms = duration_ms

    def record_failure(self, now_ms: float) -> None:
        """Keep new calls away for a while, longer each time."""
        doublings = min(self.consecutive_failures, _MAX_DOUBLINGS)
        pause_ms = min(MIN_AVOID_MS * 2**doublings, MAX_AVOID_MS)
        self.consecutive_failures += 1
        self.last_failure_ms = now_ms
        self.avoided_until_ms = now_ms + pause_ms
        logger.info(
            'worker avoided',
            worker=self.instance,
            failures=self.consecutive_failures,
            pause_ms=pause_ms,
        )


class WorkerTable:
    """All backend servers that may serve.

    :param timer: measures ages.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without servers."""
        self.is_loaded = False
        self._timer = timer
        self._workers: dict[str, Worker] = {}
        self._relisting_until_ms = NEVER_MS
        self._remote_waiting: Mapping[str, int] = {}
        self._remote_updated_ms = NEVER_MS
        self._failure_domain = ''

    def __iter__(self) -> Iterator[Worker]:
        """Iterate over all servers, also those whose entry is gone."""
        return iter(self._workers.values())

    def get(self, instance: str) -> Worker | None:
        """Return a server, if it is known."""
        return self._workers.get(instance)

    def prefer_failure_domain(self, failure_domain: str) -> None:
        """Prefer the servers of a failure domain, or of none."""
        if failure_domain != self._failure_domain:
            self._failure_domain = failure_domain
            for worker in self._workers.values():
                worker.is_local = worker.entry.failure_domain == failure_domain

    def apply(self, entries: Iterable[Entry], was_unreachable: bool) -> None:
        """Take over the registry's entries.

        :param was_away: whether the registry was out of reach before.
        """
        now_ms = self._timer.now_ms()
        if was_unreachable and self.is_loaded:
            self._relisting_until_ms = now_ms + RELISTING_TIMEOUT_MS
        self.is_loaded = True
        listed = {entry.instance: entry for entry in entries}
        for entry in listed.values():
            self._apply_entry(entry)
        for worker in list(self._workers.values()):
            if worker.instance not in listed:
                self._mark_unlisted(worker, now_ms)

    def update_open_turns(
        self, open_turns: Mapping[str, int], announced_worker: str
    ) -> None:
        """Take the turns of all hosts as store hosts know them now.

        Servers that run anything else are not judged by them.

        :param open_turns: turns by server, those of this host included.
        :param announced: the server of a turn of this host that is counted
            and has no slot yet.
        """
        now_ms = self._timer.now_ms()
        for worker in self._workers.values():
            total_turns = open_turns.get(worker.instance, 0)
            total_turns -= worker.instance == announced_worker
            if total_turns > 0 or worker.open_turns_updated_ms > NEVER_MS:
                worker.update_load(total_turns, now_ms)
                worker.open_turns_updated_ms = now_ms

    def update_remote_load(
        self, in_flight: Mapping[str, int], waiting: Mapping[str, int]
    ) -> None:
        """Take the sums of all other hosts' calls.

        :param in_flight: calls by server.
        :param waiting: calls that wait for a slot, by service.
        """
        now_ms = self._timer.now_ms()
        self._remote_updated_ms = now_ms
        self._remote_waiting = waiting
        for worker in self._workers.values():
            # Sums are older than counts of open turns.
            if now_ms - worker.open_turns_updated_ms > OPEN_TURNS_TTL_MS:
                worker.remote_in_flight = in_flight.get(worker.instance, 0)
                worker.remote_updated_ms = now_ms

    @property
    def has_remote_waiting(self) -> bool:
        """Whether calls of any service wait at other hosts."""
        return any(
            self.remote_waiting(service) for service in self._remote_waiting
        )

    def remote_waiting(self, service: str) -> int:
        """Return the calls that wait at other hosts, as last told."""
        if self._timer.now_ms() - self._remote_updated_ms > REMOTE_LOAD_TTL_MS:
            return 0
        return self._remote_waiting.get(service, 0)

    def update_suspects(self, suspects: Mapping[str, int]) -> None:
        """Take how many other hosts each server has failed."""
        now_ms = self._timer.now_ms()
        for worker in self._workers.values():
            count = suspects.get(worker.instance, 0)
            is_suspected = count >= MIN_SUSPECTING_HOSTS
            worker.last_suspected_ms = now_ms if is_suspected else NEVER_MS
            if count:
                worker.last_failure_ms = now_ms

    def suspects(self) -> list[str]:
        """Return the servers that have just failed calls of this host."""
        now_ms = self._timer.now_ms()
        return [
            worker.instance
            for worker in self._workers.values()
            if worker.avoided_until_ms > now_ms
        ]

    def in_flight(self) -> dict[str, int]:
        """Return this host's calls by server, without idle ones."""
        return {
            worker.instance: worker.in_flight
            for worker in self._workers.values()
            if worker.in_flight
        }

    def usable(self, service: str) -> list[Worker]:
        """Return the servers that may get a new call of a service.

        Servers whose entry has just vanished serve only where there is no
        other: all entries may have lapsed in an outage.
        """
        now_ms = self._timer.now_ms()
        found = [
            worker
            for worker in self._workers.values()
            if worker.entry.service == service and not worker.entry.is_draining
        ]
        listed = [
            worker for worker in found if worker.unlisted_since_ms is None
        ]
        ready = [worker for worker in listed if not worker.is_avoided(now_ms)]
        if ready or listed:
            return ready or listed
        return [
            worker for worker in found if self._may_still_serve(worker, now_ms)
        ]

    def _may_still_serve(self, worker: Worker, now_ms: float) -> bool:
        if now_ms < self._relisting_until_ms:
            return True
        return now_ms - worker.unlisted_since_ms < UNLISTED_TTL_MS

    def _apply_entry(self, entry: Entry) -> None:
        known = self._workers.get(entry.instance)
        if known is None or known.entry.started_ms != entry.started_ms:
            logger.info(
                'worker registered',
                worker=entry.instance,
                service=entry.service,
                draining=entry.is_draining,
                restarted=known is not None,
            )
            # Calls of the process before give their slots back to its own
            # object, which is not looked at any more.
            self._workers[entry.instance] = Worker(
                entry, is_local=entry.failure_domain == self._failure_domain
            )
            return
        if known.entry.is_draining != entry.is_draining:
            logger.info(
                'worker draining' if entry.is_draining else 'worker ready',
                worker=entry.instance,
            )
        known.entry = entry
        known.unlisted_since_ms = None

    def _mark_unlisted(self, worker: Worker, now_ms: float) -> None:
        if worker.unlisted_since_ms is None:
            worker.unlisted_since_ms = now_ms
            logger.info(
                'worker gone', worker=worker.instance, calls=worker.in_flight
            )
        is_expired = not self._may_still_serve(worker, now_ms)
        if is_expired and not worker.in_flight:
            self._workers.pop(worker.instance)
