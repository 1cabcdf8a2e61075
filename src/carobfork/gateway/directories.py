"""Directories: which entry hosts callers should connect to."""

from collections.abc import Iterator

from carobfork import clock
from carobfork.storage import messages

MAX_ADDRESSES = 64
MIN_ZONE_HOSTS = 6
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
        self, node: str, zone: str, address: str, timer: clock.Clock
    ) -> None:
        """Start knowing this host only."""
        self.version = 0
        self._timer = timer
        self._updated_ms = float('-inf')
        self._node = node
        self._zone = zone
        self._address = address
        self._hosts: dict[str, tuple[str, str, bool]] = {}

    @property
    def is_zone_self_sufficient(self) -> bool:
        """Whether callers of this failure domain come to its hosts only."""
        return len(list(self._others(self._zone))) + 1 >= MIN_ZONE_HOSTS

    def update(self, message: messages.Hosts) -> None:
        """Take what a store host has heard."""
        self._updated_ms = self._timer.now_ms()
        if message.hosts is not None:
            self._hosts = message.hosts
            self.version = message.version

    def addresses(self, zone: str, is_self_ready: bool) -> list[str]:
        """Return the addresses for callers of a failure domain.

        Near hosts only, where they are enough: bytes between domains cost.
        None, where this host can't tell who is alive.

        :param is_self_ready: whether this host can serve callers.
        """
        if self._timer.now_ms() - self._updated_ms > HOSTS_TTL_MS:
            return []
        near = list(self._others(zone))
        if is_self_ready and zone == self._zone:
            near.insert(0, self._address)
        if len(near) >= MIN_ZONE_HOSTS:
            return near[:MAX_ADDRESSES]
        others = list(self._others())
        if is_self_ready:
            others.insert(0, self._address)
        return others[:MAX_ADDRESSES]

    def _others(self, zone: str = '') -> Iterator[str]:
        """Yield the addresses of other hosts, of one domain or of all."""
        for node, (address, host_zone, is_leaving) in sorted(
            self._hosts.items()
        ):
            matches_zone = host_zone == zone or not zone
            if node != self._node and matches_zone and not is_leaving:
                yield address
