"""Track which entry hosts are alive.

Hosts form a ring ordered by a hash of their names. Each sends heartbeats only
to its nearest successors, so the traffic of a host does not grow with the
fleet. A host that this one does not monitor counts as alive while the platform
lists it; its successors detect the failure and publish it through the
platform's host objects.
"""

from collections.abc import Callable

import gevent
import structlog

from carobfork import clock
from carobfork.coordination import (
    control,
    detectors,
    messages,
    ports,
    rings,
    routing,
)
from carobfork.state import bundles, identifiers

HEARTBEAT_INTERVAL_MS = 1000

logger = structlog.get_logger(part='membership')

DeathListener = Callable[[routing.EntryHost], None]
VersionListener = Callable[[int, bundles.Address], None]


class Membership:
    """Exchanges heartbeats with other hosts and tracks their liveness.

    :param own: this host.
    :param directory: the registered hosts.
    :param link: sends and receives heartbeats.
    :param holder: provides the bundle version that heartbeats carry.
    :param timer: measures the time since the last heartbeat.
    """

    def __init__(
        self,
        own: routing.EntryHost,
        directory: control.HostDirectory,
        link: ports.PeerLink,
        holder: control.BundleHolder,
        timer: clock.Clock,
    ) -> None:
        """Initialize with all registered hosts alive."""
        self.own = own
        self.leaving = False
        self._directory = directory
        self._link = link
        self._holder = holder
        self._detector = detectors.FailureDetector(timer)
        self._leaving: set[identifiers.Incarnation] = set()
        self._listeners: list[DeathListener] = []
        self._version_listeners: list[VersionListener] = []
        link.on(messages.Heartbeat, self._handle_heartbeat)
        link.on(messages.Leaving, self._handle_leaving)

    def live(self) -> list[routing.EntryHost]:
        """Return the hosts that count as alive, including this one."""
        return [
            host
            for host in self._directory.registered()
            if not self._detector.is_dead(host.incarnation)
        ]

    def knows(self, name: str) -> bool:
        """Return whether a host is registered, live or not."""
        return self._directory.find(name) is not None

    def registered(self) -> list[routing.EntryHost]:
        """Return all registered hosts, live or not."""
        return self._directory.registered()

    def is_leaving(self, host: routing.EntryHost) -> bool:
        """Return whether a host is about to stop."""
        if host.incarnation == self.own.incarnation:
            return self.leaving
        return host.leaving or host.incarnation in self._leaving

    def staying(self) -> list[routing.EntryHost]:
        """Return the live hosts that are not about to stop."""
        return [host for host in self.live() if not self.is_leaving(host)]

    def on_death(self, listener: DeathListener) -> None:
        """Call ``listener`` when a monitored host is declared dead."""
        self._listeners.append(listener)

    def on_version(self, listener: VersionListener) -> None:
        """Call ``listener`` for each heartbeat of a registered host.

        It gets the bundle version of the heartbeat and the peer address of
        the host.
        """
        self._version_listeners.append(listener)

    def successors(self, name: str) -> list[routing.EntryHost]:
        """Return the hosts that monitor a host, nearest first."""
        return rings.successors(self._directory.registered(), name)

    def is_first_successor(self, name: str) -> bool:
        """Return whether this host is the nearest live successor of a host."""
        alive = (
            host
            for host in self.successors(name)
            if not self._detector.is_dead(host.incarnation)
        )
        nearest = next(alive, None)
        return (
            nearest is not None and nearest.incarnation == self.own.incarnation
        )

    def run(self) -> None:
        """Send and check heartbeats until the greenlet is killed."""
        while True:
            self.beat()
            gevent.sleep(clock.to_seconds(HEARTBEAT_INTERVAL_MS))

    def beat(self) -> None:
        """Send one round of heartbeats and check the monitored hosts."""
        heartbeat = messages.Heartbeat(
            self.own.incarnation, self._holder.version, self.leaving
        )
        registered = self._directory.registered()
        own_name = self.own.incarnation.host
        for successor in rings.successors(registered, own_name):
            self._link.send(successor.peer_address, heartbeat)
        if self._detector.start_round():
            logger.warning('This process was suspended for a while.')
        for monitored in rings.predecessors(registered, own_name):
            if self._detector.check(monitored.incarnation):
                self._report(monitored)
        self._forget_old_incarnations()

    def _report(self, host: routing.EntryHost) -> None:
        logger.warning(
            'A host sent no heartbeats and is declared dead.',
            peer=str(host.incarnation),
        )
        for listener in self._listeners:
            listener(host)

    def _handle_leaving(self, leaving: messages.Leaving) -> messages.Noted:
        self._leaving.add(leaving.sender)
        return messages.Noted()

    def _forget_old_incarnations(self) -> None:
        known = {host.incarnation for host in self._directory.registered()}
        self._leaving &= known
        self._detector.retain_only(known)

    def _handle_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        self._detector.record_heartbeat(heartbeat.sender)
        if heartbeat.leaving:
            self._leaving.add(heartbeat.sender)
        sender = self._directory.find(heartbeat.sender.host)
        if sender is not None:
            for listener in self._version_listeners:
                listener(heartbeat.bundle_version, sender.peer_address)
