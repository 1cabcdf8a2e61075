"""Tell callers which entry hosts to connect to.

Entry hosts forward the calls to backend servers.
"""

import collections
from collections.abc import Iterator

from carobfork import clock
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


class Directory:
    """The live entry hosts as last reported by a store host.

    A host without a recent report is cut off from the store hosts, and the
    entry hosts that it knows may be cut off as well. It returns no addresses,
    so that callers ask another directory.

    :param node: this host's name.
    :param failure_domain: this host's failure domain.
    :param address: where callers reach this host.
    :param timer: measures the age of the last report.
    """

    def __init__(
        self, node: str, failure_domain: str, address: str, timer: clock.Clock
    ) -> None:
        """Create a directory that knows only this host."""
        self.version = 0
        self._timer = timer
        self._updated_ms = float('-inf')
        self._node = node
        self._failure_domain = failure_domain
        self._address = address
        self._hosts: dict[str, tuple[str, str, bool]] = {}
        self._counts: collections.deque[tuple[float, int]] = collections.deque()

    @property
    def has_enough_local_hosts(self) -> bool:
        """Whether this failure domain's hosts serve its callers alone."""
        return (
            len(list(self._others(self._failure_domain))) + 1 >= MIN_LOCAL_HOSTS
        )

    def update(self, message: messages.Hosts) -> None:
        """Apply a store host's report of the live entry hosts."""
        self._updated_ms = self._timer.now_ms()
        if message.hosts is not None:
            self._hosts = message.hosts
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

    def addresses(self, failure_domain: str, is_self_ready: bool) -> list[str]:
        """Return the addresses for callers of a failure domain.

        If the domain has enough hosts, only these are returned, because
        traffic between failure domains costs money. The list is empty if the
        last report is too old to tell which hosts are alive.

        :param failure_domain: the callers' failure domain.
        :param is_self_ready: whether this host can serve callers.
        """
        if self._timer.now_ms() - self._updated_ms > HOSTS_TTL_MS:
            return []
        local_addresses = list(self._others(failure_domain))
        if is_self_ready and failure_domain == self._failure_domain:
            local_addresses.insert(0, self._address)
        if len(local_addresses) >= MIN_LOCAL_HOSTS:
            return local_addresses[:MAX_ADDRESSES]
        all_addresses = list(self._others())
        if is_self_ready:
            all_addresses.insert(0, self._address)
        return all_addresses[:MAX_ADDRESSES]

    def _others(self, failure_domain: str = '') -> Iterator[str]:
        """Yield other hosts' addresses in one failure domain or in all."""
        for node, (address, host_domain, is_leaving) in sorted(
            self._hosts.items()
        ):
            matches_domain = host_domain == failure_domain or not failure_domain
            if node != self._node and matches_domain and not is_leaving:
                yield address
