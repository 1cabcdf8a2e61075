"""Membership: which entry hosts are alive.

Hosts form a ring ordered by a hash of their names. Each sends heartbeats to
its nearest successors only, so the traffic of a host does not grow with the
fleet. A host that is not monitored from here counts as alive for as long as
the platform lists it; its successors find out and say so through the
platform's host objects.
"""

from collections.abc import Callable

import gevent
import structlog

from carobfork import clock
from carobfork.coordination import control, messages, ports, routing
from carobfork.state import identifiers

HEARTBEAT_INTERVAL_MS = 1000
SUSPECT_AFTER_MS = 3500
SUCCESSORS = 6

logger = structlog.get_logger(part='membership')

DeathListener = Callable[[routing.EntryHost], None]


class Membership:
    """Send heartbeats, listen to others' and tell who is alive.

    :param own: this host.
    :param directory: the registered hosts.
    :param link: carries the heartbeats.
    :param holder: its bundle's version goes with them.
    :param timer: measures silence.
    """

    def __init__(
        self,
        own: routing.EntryHost,
        directory: control.HostDirectory,
        link: ports.PeerLink,
        holder: control.BundleHolder,
        timer: clock.Clock,
    ) -> None:
        """Start believing every registered host alive."""
        self.own = own
        self.leaving = False
        self._directory = directory
        self._link = link
        self._holder = holder
        self._timer = timer
        self._heard_ms: dict[identifiers.Incarnation, float] = {}
        self._leaving: set[identifiers.Incarnation] = set()
        self._dead: set[identifiers.Incarnation] = set()
        self._listeners: list[DeathListener] = []
        link.on(messages.Heartbeat, self._hear)

    def live(self) -> list[routing.EntryHost]:
        """Return the hosts believed to be alive, this one included."""
        return [
            host
            for host in self._directory.registered()
            if host.incarnation not in self._dead
        ]

    def knows(self, name: str) -> bool:
        """Tell whether a host is registered, live or not."""
        return self._directory.find(name) is not None

    def registered(self) -> list[routing.EntryHost]:
        """Return all registered hosts, live or not."""
        return self._directory.registered()

    def is_leaving(self, host: routing.EntryHost) -> bool:
        """Tell whether a host is about to stop."""
        if host.incarnation == self.own.incarnation:
            return self.leaving
        return host.leaving or host.incarnation in self._leaving

    def find(self, name: str) -> routing.EntryHost | None:
        """Return a live host by its name."""
        for host in self.live():
            if host.incarnation.host == name:
                return host
        return None

    def on_death(self, listener: DeathListener) -> None:
        """Call ``listener`` when a monitored host falls silent."""
        self._listeners.append(listener)

    def successors(self, name: str) -> list[routing.EntryHost]:
        """Return the hosts that monitor a host, nearest first."""
        ring = sorted(self._directory.registered(), key=_position)
        start = _hash(name)
        after = [host for host in ring if _position(host) > start]
        before = [host for host in ring if _position(host) < start]
        return [*after, *before][:SUCCESSORS]

    def is_first_successor(self, name: str) -> bool:
        """Tell whether this host is the nearest live one after another."""
        for host in self.successors(name):
            if host.incarnation not in self._dead:
                return host.incarnation == self.own.incarnation
        return False

    def run(self) -> None:
        """Send and check heartbeats until the greenlet is killed."""
        while True:
            self.beat()
            gevent.sleep(clock.to_seconds(HEARTBEAT_INTERVAL_MS))

    def beat(self) -> None:
        """Send one round of heartbeats and check what was heard."""
        heartbeat = messages.Heartbeat(
            self.own.incarnation, self._holder.version, self.leaving
        )
        for host in self.successors(self.own.incarnation.host):
            self._link.send(host.peer_address, heartbeat)
        for host in self._directory.registered():
            if self._is_monitored(host):
                self._check(host)

    def _is_monitored(self, host: routing.EntryHost) -> bool:
        if host.incarnation.host == self.own.incarnation.host:
            return False
        monitors = self.successors(host.incarnation.host)
        names = {monitor.incarnation.host for monitor in monitors}
        return self.own.incarnation.host in names

    def _check(self, host: routing.EntryHost) -> None:
        now_ms = self._timer.now_ms()
        heard_ms = self._heard_ms.setdefault(host.incarnation, now_ms)
        if now_ms - heard_ms <= SUSPECT_AFTER_MS:
            return
        if host.incarnation not in self._dead:
            logger.warning('A host fell silent.', peer=str(host.incarnation))
            self._dead.add(host.incarnation)
            for listener in self._listeners:
                listener(host)

    def _hear(self, heartbeat: messages.Heartbeat) -> None:
        self._heard_ms[heartbeat.sender] = self._timer.now_ms()
        self._dead.discard(heartbeat.sender)
        if heartbeat.leaving:
            self._leaving.add(heartbeat.sender)


def _position(host: routing.EntryHost) -> str:
    return _hash(host.incarnation.host)


def _hash(name: str) -> str:
    return identifiers.digest(name.encode())
