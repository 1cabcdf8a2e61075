"""Tell callers which entry hosts to connect to.

Entry hosts forward the calls to backend servers.
"""

import collections
import math
from collections.abc import Iterator, Mapping

from carobfork import clock
from carobfork.gateway import host_draws
from carobfork.storage import messages

MAX_ADDRESSES = 64
"""Maximum number of addresses in one answer."""
MIN_LOCAL_HOSTS = 6
"""Minimum number of entry hosts of one failure domain that serve its callers
alone: the loss of one of them leaves most of the capacity."""
HOSTS_TTL_MS = 1600
"""How long a store host's report is trusted: about six heartbeats. By then
another store host has replaced a lost one."""
HOST_COUNT_TTL_MS = 5000
"""How long a larger number of hosts is believed: the report of a store host
that has just started lacks most of them."""
WARM_UP_MS = 5000
"""How long all hosts are named after the first report, or after reports have
failed to come: callers return at once, and no load has been seen yet."""
LOAD_AVERAGING_MS = 10_000
"""Time in which the remembered peak load falls by a factor of e. Hosts take
callers at once when the load grows, and keep them for some time when it falls.
"""


class Directory:
    """The live entry hosts as last reported by a store host.

    :ivar drawn_hosts: number of hosts in the last answer.

    A host without a recent report is cut off from the store hosts, and the
    entry hosts that it knows may be cut off as well. It returns no addresses,
    so that callers ask another directory.

    :param node: this host's name.
    :param failure_domain: this host's failure domain.
    :param address: where callers reach this host.
    :param timer: measures the age of the last report.
    :param size: this host's processor in cores; 0 if it is unknown.
    """

    def __init__(
        self,
        node: str,
        failure_domain: str,
        address: str,
        timer: clock.Clock,
        size: float = 0,
    ) -> None:
        """Create a directory that knows only this host."""
        self.version = 0
        self.drawn_hosts = 0
        self._timer = timer
        self._updated_ms = float('-inf')
        self._informed_since_ms = float('-inf')
        self._node = node
        self._failure_domain = failure_domain
        self._own = host_draws.EntryHost(node, address, size)
        self._hosts: dict[str, tuple[str, str, bool]] = {}
        self._sizes: Mapping[str, float] = {}
        self._full: frozenset[str] = frozenset()
        self._used_sizes: dict[str, float] | None = None
        self._counts: collections.deque[tuple[float, int]] = collections.deque()

    @property
    def has_enough_local_hosts(self) -> bool:
        """Whether this failure domain's hosts serve its callers alone.

        Hosts that are not ready count, too. Otherwise all hosts that start
        together would use servers of all failure domains at first, and move
        their programs to near ones seconds later.
        """
        others = [
            node
            for node, (_, host_domain, _) in self._hosts.items()
            if host_domain == self._failure_domain and node != self._node
        ]
        return len(others) + 1 >= MIN_LOCAL_HOSTS

    @property
    def size(self) -> float:
        """This host's processor in cores, 0 if it is unknown."""
        return self._own.size

    def update(self, message: messages.Hosts) -> None:
        """Apply a store host's report of the live entry hosts."""
        now_ms = self._timer.now_ms()
        span_ms = now_ms - self._updated_ms
        self._update_used(message.used_sizes, span_ms)
        if span_ms > HOSTS_TTL_MS:
            self._informed_since_ms = now_ms
        self._updated_ms = now_ms
        self._full = frozenset(message.full)
        if message.hosts is not None:
            self._hosts = message.hosts
            self._sizes = message.sizes
            self.version = message.version
        self._counts.append((self._updated_ms, len(self._hosts)))
        oldest_ms = self._updated_ms - HOST_COUNT_TTL_MS
        while self._counts[0][0] < oldest_ms:
            self._counts.popleft()

    def count_hosts(self) -> int:
        """Return the number of entry hosts, 0 if none was ever reported.

        It is the most of the last few seconds with a report.
        """
        return max((count for _, count in self._counts), default=0)

    def addresses(
        self, failure_domain: str, is_self_ready: bool, caller: str = ''
    ) -> list[str]:
        """Return the addresses for a caller of a failure domain.

        If the domain has enough hosts, only these are returned, because
        traffic between failure domains costs money. The list is empty if the
        last report is too old to tell which hosts are alive.

        :param failure_domain: the caller's failure domain.
        :param is_self_ready: whether this host can serve callers.
        :param caller: identifies the caller, so that it is told of the same
            hosts again.
        """
        if self._timer.now_ms() - self._updated_ms > HOSTS_TTL_MS:
            return []
        hosts = list(self._others(failure_domain))
        if is_self_ready and failure_domain == self._failure_domain:
            hosts.insert(0, self._own)
        if len(hosts) < MIN_LOCAL_HOSTS:
            failure_domain = ''
            hosts = list(self._others())
            if is_self_ready:
                hosts.insert(0, self._own)
        drawn = host_draws.draw_hosts(
            hosts, caller, self._used_size(failure_domain), MAX_ADDRESSES
        )
        self.drawn_hosts = len(drawn)
        return [host.address for host in drawn]

    def _others(
        self, failure_domain: str = ''
    ) -> Iterator[host_draws.EntryHost]:
        """Yield the other hosts of one failure domain or of all."""
        for node, (address, host_domain, is_leaving) in sorted(
            self._hosts.items()
        ):
            matches_domain = host_domain == failure_domain or not failure_domain
            if node != self._node and matches_domain and not is_leaving:
                yield host_draws.EntryHost(
                    node, address, self._sizes.get(node, 0), node in self._full
                )

    def _used_size(self, failure_domain: str) -> float | None:
        """Return the peak of the processor used in one domain or in all.

        Return ``None`` if it is not known well.
        """
        informed_ms = self._timer.now_ms() - self._informed_since_ms
        if self._used_sizes is None or informed_ms < WARM_UP_MS:
            return None
        if failure_domain:
            return self._used_sizes.get(failure_domain, 0)
        return sum(self._used_sizes.values())

    def _update_used(
        self, used_sizes: Mapping[str, float] | None, span_ms: float
    ) -> None:
        """Remember the processor that calls use, or its recent peak.

        :param span_ms: time since the last report.
        """
        if used_sizes is None:
            self._used_sizes = None
            return
        faded = math.exp(-span_ms / LOAD_AVERAGING_MS)
        peaks = self._used_sizes or {}
        self._used_sizes = {
            domain: max(used, peaks.get(domain, 0) * faded)
            for domain, used in used_sizes.items()
        }
