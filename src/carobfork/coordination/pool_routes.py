"""Choose the host that serves each pool, as seen from this host.

A host that does not answer summaries is suspected, and is not chosen until
it answers again. Hosts may disagree for a short time; a pool's workers
(backend servers) then get a few calls more than their limits.
"""

from collections.abc import Callable, Iterable

import attrs

from carobfork.coordination import pools, routing
from carobfork.state import identifiers

MAX_UNANSWERED_SUMMARIES = 3


@attrs.frozen
class PoolMove:
    """A change of the host that serves a pool.

    :param pool: the pool's name.
    :param former: the host that served it so far.
    :param current: the host that serves it from now on.
    """

    pool: str
    former: identifiers.Incarnation | None
    current: identifiers.Incarnation


class PoolRoutes:
    """Routing table from pools to the hosts that serve them.

    :param find_own: returns this host's incarnation, which is never
        suspected.
    :param hosts: the live hosts.
    """

    def __init__(
        self,
        find_own: Callable[[], identifiers.Incarnation],
        hosts: routing.HostList,
    ) -> None:
        """Create an empty table."""
        self.suspects: set[identifiers.Incarnation] = set()
        self._find_own = find_own
        self._hosts = hosts
        self._pool_hosts: dict[str, identifiers.Incarnation] = {}
        self._unanswered_counts: dict[identifiers.Incarnation, int] = {}

    def apply(self, names: Iterable[str]) -> None:
        """Route exactly these pools; known ones keep their hosts."""
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
        """Return the host that serves a pool, or None for an unknown pool."""
        return self._pool_hosts.get(pool)

    def record_summary(self, host: identifiers.Incarnation) -> None:
        """Record a summary sent to a host, which should answer it.

        The host is suspected after more than ``MAX_UNANSWERED_SUMMARIES``.
        """
        count = self._unanswered_counts.get(host, 0) + 1
        self._unanswered_counts[host] = count
        if count > MAX_UNANSWERED_SUMMARIES and host != self._find_own():
            self.suspects.add(host)

    def record_answer(self, host: identifiers.Incarnation) -> None:
        """Record an answer of a host, which ends any suspicion."""
        self._unanswered_counts.pop(host, None)
        self.suspects.discard(host)

    def refresh(self) -> list[PoolMove]:
        """Update all routes to the live hosts and return the changes."""
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
        """Return the hosts to choose from, at least this one.

        Suspected and leaving hosts are left out.
        """
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
