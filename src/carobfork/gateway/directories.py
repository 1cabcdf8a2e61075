"""Directories: which entry hosts callers should connect to."""

from collections.abc import Iterator

from carobfork import clock
from carobfork.storage import messages

MAX_ADDRESSES = 64
MIN_LOCAL_HOSTS = 6
"""Entry hosts of one failure domain that can serve its callers by
themselves: the loss of one still leaves most of them."""
HOSTS_TTL_MS = 1600
"""Six beats: a store host that was lost has been replaced by another."""


class Directory:
    """The entry hosts that are alive, as a store host tells.

    Where no store host has told of them lately, this host is cut off, and
    others may be, too: callers then ask another directory.

    :param node: this host's name.
    :param zone: this host's failure domain.
    :param address: where callers reach this host.
    :param timer: measures the age of what was told.
    """

    def __init__(
        self, node: str, failure_domain: str, address: str, timer: clock.Clock
    ) -> None:
        """Start knowing this host only."""
        self.version = 0
        self._timer = timer
        self._updated_ms = float('-inf')
        self._node = node
        self._failure_domain = failure_domain
        self._address = address
        self._hosts: dict[str, tuple[str, str, bool]] = {}

    @property
    def has_enough_local_hosts(self) -> bool:
        """Whether callers of this failure domain come to its hosts only."""
        return (
            len(list(self._others(self._failure_domain))) + 1 >= MIN_LOCAL_HOSTS
        )

    def update(self, message: messages.Hosts) -> None:
        """Take what a store host has heard."""
        self._updated_ms = self._timer.now_ms()
        if message.hosts is not None:
            self._hosts = message.hosts
            self.version = message.version

    def addresses(self, failure_domain: str, is_self_ready: bool) -> list[str]:
        """Return the addresses for callers of a failure domain.

        Near hosts only, where they are enough: bytes between domains cost.
        None, where this host can't tell who is alive.

        :param is_self_ready: whether this host can serve callers.
        """
        if self._timer.now_ms() - self._updated_ms > HOSTS_TTL_MS:
            return []
        near = list(self._others(failure_domain))
        if is_self_ready and failure_domain == self._failure_domain:
            near.insert(0, self._address)
        if len(near) >= MIN_LOCAL_HOSTS:
            return near[:MAX_ADDRESSES]
        others = list(self._others())
        if is_self_ready:
            others.insert(0, self._address)
        return others[:MAX_ADDRESSES]

    def _others(self, failure_domain: str = '') -> Iterator[str]:
        """Yield the addresses of other hosts, of one domain or of all."""
        for node, (address, host_domain, is_leaving) in sorted(
            self._hosts.items()
        ):
            matches_domain = host_domain == failure_domain or not failure_domain
            if node != self._node and matches_domain and not is_leaving:
                yield address
