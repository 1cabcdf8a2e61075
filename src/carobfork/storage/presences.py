"""Presences: which entry hosts are alive, and what they run.

Each entry host tells all store hosts a few times a second, so none has to
watch all the others, however many there are.
"""

import attrs

from carobfork import clock
from carobfork.storage import messages

FORGET_MS = 1100
"""Four beats: a host that missed them is down, frozen or cut off."""


@attrs.frozen
class _Heard:
    at_ms: float
    presence: messages.Presence


class Presences:
    """Remember the last beat of each entry host.

    :param timer: measures ages.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without hosts."""
        self._timer = timer
        self._heard: dict[str, _Heard] = {}

    def note(self, presence: messages.Presence) -> messages.Hosts:
        """Note a beat and return what is known."""
        now_ms = self._timer.now_ms()
        self._heard[presence.node] = _Heard(now_ms, presence)
        for node, heard in list(self._heard.items()):
            if now_ms - heard.at_ms > FORGET_MS:
                self._heard.pop(node)
        return self.hosts()

    def hosts(self) -> messages.Hosts:
        """Return the live hosts and the sums of their calls."""
        hosts = {}
        in_flight: dict[str, int] = {}
        for node, heard in self._heard.items():
            presence = heard.presence
            hosts[node] = (
                presence.address,
                presence.zone,
                presence.is_leaving,
            )
            for instance, count in presence.in_flight.items():
                in_flight[instance] = in_flight.get(instance, 0) + count
        return messages.Hosts(hosts, in_flight)
