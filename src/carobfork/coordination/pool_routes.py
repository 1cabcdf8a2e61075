"""Pool routes: which host serves which pool, as seen from this host.

A host that answers no summaries is suspected and passed over until it
answers again. Hosts may disagree for a moment; that costs a few calls too
many at an engine.
"""

from collections.abc import Callable, Iterable

import attrs

from carobfork.coordination import pools, routing
from carobfork.state import identifiers

MAX_UNANSWERED_SUMMARIES = 3


@attrs.frozen
class PoolMove:
    """A pool that is served by another host from now on."""

    pool: str
    former: identifiers.Incarnation | None
    current: identifiers.Incarnation


class PoolRoutes:
    """Choose a host for each pool.

    :param find_own: returns this host, which is never suspected.
    :param hosts: the live hosts.
    """

    def __init__(
        self,
        find_own: Callable[[], identifiers.Incarnation],
        hosts: routing.HostList,
    ) -> None:
        """Start without pools."""
        self.suspects: set[identifiers.Incarnation] = set()
        self._find_own = find_own
        self._hosts = hosts
        self._pool_hosts: dict[str, identifiers.Incarnation] = {}
        self._unanswered_counts: dict[identifiers.Incarnation, int] = {}

    def apply(self, names: Iterable[str]) -> None:
        """Route these pools and no others."""
        kept = set(names)
        self._pool_hosts = {
            pool: host
            for pool, host in self._pool_hosts.items()
            if pool in kept
        }
        hosts = self._candidate_hosts()
        for name in kept:
            self._pool_hosts.setdefault(
                name, pools.responsible_host(name, hosts).incarnation
            )

    def find(self, pool: str) -> identifiers.Incarnation | None:
        """Return the host that serves a pool, nothing for an unknown pool."""
        return self._pool_hosts.get(pool)

    def record_summary(self, host: identifiers.Incarnation) -> None:
        """Note a summary that should be answered."""
        count = self._unanswered_counts.get(host, 0) + 1
        self._unanswered_counts[host] = count
        if count > MAX_UNANSWERED_SUMMARIES and host != self._find_own():
            self.suspects.add(host)

    def record_answer(self, host: identifiers.Incarnation) -> None:
        """Note that a host answers."""
        self._unanswered_counts.pop(host, None)
        self.suspects.discard(host)

    def refresh(self) -> list[PoolMove]:
        """Choose anew among the live hosts and return what moved."""
        live = {host.incarnation for host in self._hosts.live()}
        self.suspects &= live
        hosts = self._candidate_hosts()
        moves = []
        for pool, former in self._pool_hosts.items():
            current = pools.responsible_host(pool, hosts).incarnation
            if current != former:
                moves.append(PoolMove(pool, former, current))
        for move in moves:
            self._pool_hosts[move.pool] = move.current
        return moves

    def _candidate_hosts(self) -> list[routing.EntryHost]:
        """Return the hosts to choose from; this one stays if all others go."""
        live = self._hosts.live()
        chosen = [
            host
            for host in live
            if host.incarnation not in self.suspects
            and not self._hosts.is_leaving(host)
        ]
        return chosen or [
            host for host in live if host.incarnation == self._find_own()
        ]
