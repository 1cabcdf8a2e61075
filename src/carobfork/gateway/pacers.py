"""Keep calls from servers that have just started or recovered.

A bound keeps a call from such a server only while enough others that the call
may run on are not paced. If most have just started, the few that have not would
get all calls.
"""

import statistics
from collections.abc import Callable

from carobfork import clock
from carobfork.gateway import workers
from carobfork.pacing import paces

INITIAL_USUAL_MS = 100
"""How long calls are taken to last until this host has seen some."""

MIN_STEADY_RATIO = 0.5
"""Share of the workers that must not be paced before the others are bound."""


def _single_host() -> int:
    """Return the number of hosts where there is no report of others."""
    return 1


class Pacer:
    """Choose among workers by their pace.

    :ivar passed_over: how often a worker was not chosen because of its pace.
    :param timer: the clock for the paces.
    :ivar is_enabled: whether servers are paced at all.
    :param count_hosts: returns the number of entry hosts, 0 if it is unknown.
    :param is_enabled: as above.
    """

    def __init__(
        self,
        timer: clock.Clock,
        count_hosts: Callable[[], int] = _single_host,
        *,
        is_enabled: bool = True,
    ) -> None:
        """Create a pacer."""
        self.is_enabled = is_enabled
        self.passed_over = 0
        self._timer = timer
        self._count_hosts = count_hosts

    def sendable(
        self, candidates: list[workers.Worker]
    ) -> list[workers.Worker]:
        """Return the workers that the pace lets have a call now."""
        now_ms = self._timer.now_ms()
        steady = [
            worker for worker in candidates if not worker.pace.is_bound(now_ms)
        ]
        if len(steady) == len(candidates):
            return candidates
        usual_ms = _usual_ms(steady or candidates)
        hosts = self._count_hosts()
        found = [
            worker
            for worker in candidates
            if worker.pace.may_send(
                worker.load(now_ms),
                now_ms,
                paces.Fleet(worker.entry.slots, hosts, usual_ms),
            )
        ]
        if len(steady) < len(candidates) * MIN_STEADY_RATIO:
            return candidates
        self.passed_over += len(candidates) - len(found)
        return found


def _usual_ms(sound: list[workers.Worker]) -> float:
    """Return how long calls usually take at some workers."""
    known = [
        worker.mean_duration_ms for worker in sound if worker.mean_duration_ms
    ]
    return statistics.median(known) if known else INITIAL_USUAL_MS
