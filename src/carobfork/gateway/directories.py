"""Directories: which entry hosts callers should connect to."""

import attrs

from carobfork import clock
from carobfork.storage import messages

HEARD_MS = 1500
"""Six beats without a word of a host from any store host."""
MOST_ADDRESSES = 64


@attrs.frozen
class _Known:
    address: str
    zone: str
    is_leaving: bool
    at_ms: float


class Directory:
    """The entry hosts that are alive, as store hosts tell.

    :param node: this host's name.
    :param address: where callers reach this host.
    :param timer: measures ages.
    """

    def __init__(self, node: str, address: str, timer: clock.Clock) -> None:
        """Start knowing this host only."""
        self._node = node
        self._address = address
        self._timer = timer
        self._known: dict[str, _Known] = {}

    def take(self, told: messages.Hosts) -> None:
        """Take what one store host has heard."""
        now_ms = self._timer.now_ms()
        for node, (address, zone, is_leaving) in told.hosts.items():
            self._known[node] = _Known(address, zone, is_leaving, now_ms)
        for node, known in list(self._known.items()):
            if now_ms - known.at_ms > HEARD_MS:
                self._known.pop(node)

    def addresses(self, is_self_ready: bool) -> list[str]:
        """Return the addresses for callers, this host's first."""
        now_ms = self._timer.now_ms()
        others = [
            known.address
            for node, known in sorted(self._known.items())
            if node != self._node
            and not known.is_leaving
            and now_ms - known.at_ms <= HEARD_MS
        ]
        own = [self._address] if is_self_ready else []
        return [*own, *others][:MOST_ADDRESSES]
