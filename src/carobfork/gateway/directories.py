"""Directories: which entry hosts callers should connect to."""

from carobfork.storage import groups, messages

MOST_ADDRESSES = 64


class Directory:
    """The entry hosts that are alive, as store hosts tell.

    What was told last stands while no store host can be reached: this host
    is cut off then, and the others are probably not.

    :param node: this host's name.
    :param address: where callers reach this host.
    """

    def __init__(self, node: str, address: str) -> None:
        """Start knowing this host only."""
        self._node = node
        self._address = address
        self._told: dict[str, messages.Hosts] = {}

    def take(self, member: groups.Member, told: messages.Hosts) -> None:
        """Take what one store host has heard."""
        self._told[member.disk] = told

    def forget(self, disks: set[str]) -> None:
        """Forget what store hosts told that can't be reached.

        The last word that is left is kept.
        """
        for disk in disks & self._told.keys():
            if len(self._told) > 1:
                self._told.pop(disk)

    def addresses(self, is_self_ready: bool) -> list[str]:
        """Return the addresses for callers, this host's first."""
        hosts: dict[str, tuple[str, str, bool]] = {}
        for told in self._told.values():
            hosts.update(told.hosts)
        others = [
            address
            for node, (address, _zone, is_leaving) in sorted(hosts.items())
            if node != self._node and not is_leaving
        ]
        if is_self_ready or not others:
            return [self._address, *others][:MOST_ADDRESSES]
        return others[:MOST_ADDRESSES]
