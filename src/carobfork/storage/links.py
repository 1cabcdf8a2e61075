"""Keep one connection to each store host, shared by all requests.

A link sends a heartbeat a few times a second. A peer that answers none for a
while is considered lost and its connection is closed: after a partition, an
old connection may stay silent for good while new ones work.

A connection only shows that something listens at the address: the kernel
accepts connections for a frozen process, and a host that has lost its disk is
back at the same address with another one. So a link carries requests only once
a reply has confirmed which disk answers.
"""

import functools
from collections.abc import Callable
from types import TracebackType
from typing import Any

import attrs
import gevent
import structlog
from gevent import event, queue, socket

from carobfork import clock, exceptions, supervision
from carobfork.storage import connections, groups, messages

CONNECT_TIMEOUT_MS = 200
"""Covers many round trips between failure domains. A new connection replaces a
lost first packet earlier than the kernel, which sends it again after a second.
That matters when all hosts start at once and some do not listen yet."""
HEARTBEAT_INTERVAL_MS = 250
"""Interval on links that carry status reports; a dead peer is detected within
a few heartbeats."""
BUSY_HEARTBEAT_INTERVAL_MS = 100
"""Interval on those links while calls wait; less than half of a short turn."""
IDLE_HEARTBEAT_INTERVAL_MS = 1000
"""Interval on all other links. It can be long, because the disconnect of any
link probes the others at once and so detects a loss earlier."""
SILENCE_TIMEOUT_MS = 650
"""Silence tolerated after the next heartbeat is due: two more heartbeats
without an answer."""
PROBE_TIMEOUT_MS = 400
"""A peer that does not answer a probe within this time is lost; it covers many
round trips."""
RECONNECT_INTERVAL_MS = 150
OPENING_POLL_INTERVAL_MS = 5
CONFIRM_WAIT_MS = 200
"""How long operations wait for the first reply on a new connection; like the
timeout of connecting, it covers many round trips."""

logger = structlog.get_logger(part='links')

ReplyCallback = connections.ReplyCallback


def _default_interval_ms(_member: groups.Member) -> float:
    return HEARTBEAT_INTERVAL_MS


@attrs.frozen
class Heartbeats:
    """The heartbeats that links send.

    :param compose: returns the message for a member.
    :param on_reply: called with a member and its reply.
    :param interval_ms: returns the time until a member's next heartbeat.
    """

    compose: Callable[[groups.Member], Any]
    on_reply: Callable[[groups.Member, Any], None]
    interval_ms: Callable[[groups.Member], float] = _default_interval_ms

    def max_silence_ms(self, member: groups.Member) -> float:
        """Return how long a connection to a member may be silent."""
        return self.interval_ms(member) + SILENCE_TIMEOUT_MS


class Link:
    """A reconnecting connection to one store host, as a context manager.

    :ivar is_connected: whether the member's disk has answered on the current
        connection.
    :ivar is_opening: whether the first attempt to connect is still under way.
    :ivar last_received_ms: when the member last sent anything, initially the
        time of creation.
    :param member: the store host.
    :param timer: measures silence.
    :param heartbeats: sent while the connection is open.
    :param on_disconnect: called each time that the member was connected and
        the connection has ended.
    """

    def __init__(
        self,
        member: groups.Member,
        timer: clock.Clock,
        heartbeats: Heartbeats,
        on_disconnect: Callable[[], None],
    ) -> None:
        """Create the link; entering it connects."""
        self.member = member
        self.epoch = 0
        self.last_received_ms = timer.now_ms()
        self.is_connected = False
        self.is_opening = True
        self._timer = timer
        self._heartbeats = heartbeats
        self._on_disconnect = on_disconnect
        self._heartbeat_requested = event.Event()
        self._is_probing = False
        self._other_disk = ''
        self._connection: connections.Connection | None = None
        self._runner: gevent.Greenlet | None = None

    def __enter__(self) -> 'Link':
        """Start connecting in the background."""
        self._runner = supervision.spawn(self._run)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection; pending requests get no reply."""
        if self._runner is not None:
            self._runner.kill(block=False)

    def silent_ms(self) -> float:
        """Return how long ago the member last sent anything."""
        return self._timer.now_ms() - self.last_received_ms

    def send_request(self, message: Any, on_reply: ReplyCallback) -> None:
        """Send a request without waiting for the reply.

        :param on_reply: called once, with the reply, or with ``None`` if the
            connection is closed or fails.
        """
        if self.is_connected:
            self._connection.send(self.epoch, message, on_reply)
        else:
            on_reply(None)

    def probe(self) -> None:
        """Send a heartbeat now and disconnect if nothing answers it."""
        if self.is_connected:
            self._is_probing = True
            self._heartbeat_requested.set()

    def request(self, message: Any, timeout_ms: float) -> Any:
        """Send a request and return its reply.

        :raises ConnectionFailedError: if no reply arrives in time.
        """
        inbox: queue.Queue = queue.Queue()
        self.send_request(message, inbox.put)
        reply = None
        try:
            reply = inbox.get(timeout=clock.to_seconds(timeout_ms))
        except queue.Empty:
            logger.info('no answer in time', peer=self.member.node)
        if reply is None:
            raise exceptions.ConnectionFailedError(
                f'no answer to {type(message).__name__}',
                sent=True,
                step='request',
                peer=self.member.node,
            )
        return reply

    def _run(self) -> None:
        while True:
            try:
                self._connect_and_serve()
            except (OSError, exceptions.BadRequestError) as error:
                logger.debug(
                    'link failed', peer=self.member.node, reason=str(error)
                )
            self.is_opening = False
            gevent.sleep(clock.to_seconds(RECONNECT_INTERVAL_MS))

    def _connect_and_serve(self) -> None:
        sock = socket.create_connection(
            (self.member.ip, self.member.port),
            timeout=clock.to_seconds(CONNECT_TIMEOUT_MS),
        )
        with connections.Connection(sock) as connection:
            self._connection = connection
            greenlets = [
                gevent.spawn(self._send_heartbeats, connection),
                gevent.spawn_later(
                    clock.to_seconds(CONFIRM_WAIT_MS), self._end_opening
                ),
            ]
            try:
                connection.read(
                    functools.partial(
                        self._heartbeats.max_silence_ms, self.member
                    ),
                    self._handle_received,
                )
            finally:
                gevent.killall(greenlets, block=False)
                self._handle_disconnect(connection)

    def _end_opening(self) -> None:
        self.is_opening = False

    def _handle_received(self) -> None:
        if self.is_connected:
            self.last_received_ms = self._timer.now_ms()

    def _handle_heartbeat_reply(
        self, connection: connections.Connection, reply: Any
    ) -> None:
        """Confirm the connection with its first reply and pass the reply on."""
        if reply is None:
            return
        disk = messages.answering_disk(reply)
        if disk not in {self.member.disk, ''}:
            self._log_other_disk(disk)
            connection.close()
            return
        self.last_received_ms = self._timer.now_ms()
        if not self.is_connected:
            self.is_opening = False
            self.is_connected = True
            logger.info('link is up', peer=self.member.node)
            # Status reports are sent on links that are up only.
            self._heartbeat_requested.set()
        self._heartbeats.on_reply(self.member, reply)

    def _log_other_disk(self, disk: str) -> None:
        if disk != self._other_disk:
            self._other_disk = disk
            logger.warning(
                'another disk answers at the address',
                peer=self.member.node,
                address=f'{self.member.ip}:{self.member.port}',
                expected=self.member.disk,
                found=disk,
            )

    def _handle_disconnect(self, connection: connections.Connection) -> None:
        if self.is_connected:
            logger.info(
                'link is down',
                peer=self.member.node,
                silent_ms=round(self.silent_ms()),
                waiting=connection.pending_count,
            )
            self.is_connected = False
            self._on_disconnect()

    def _send_heartbeats(self, connection: connections.Connection) -> None:
        while True:
            connection.send(
                self.epoch,
                self._heartbeats.compose(self.member),
                functools.partial(self._handle_heartbeat_reply, connection),
            )
            self._heartbeat_requested.clear()
            if self._is_probing:
                self._is_probing = False
                gevent.spawn(
                    self._close_if_silent, connection, self._timer.now_ms()
                )
            self._heartbeat_requested.wait(
                clock.to_seconds(self._heartbeats.interval_ms(self.member))
            )

    def _close_if_silent(
        self, connection: connections.Connection, probed_ms: float
    ) -> None:
        """Close a connection on which nothing arrives after a probe."""
        connections.sleep_in_steps(PROBE_TIMEOUT_MS)
        if self.last_received_ms < probed_ms:
            connection.close()


class Links:
    """The links to the members of a group, opened and closed as it changes.

    :ivar last_disconnect_ms: when a link last disconnected, initially the
        time of creation.
    :param timer: measures silence.
    :param heartbeats: sent on each link.
    """

    def __init__(self, timer: clock.Clock, heartbeats: Heartbeats) -> None:
        """Create the set without links."""
        self._timer = timer
        self.last_disconnect_ms = timer.now_ms()
        self._heartbeats = heartbeats
        self._links: dict[str, Link] = {}

    def apply(self, group: groups.Group, own_disk: str = '') -> None:
        """Open and close links so that they match a group.

        :param own_disk: this host's disk, which gets no link.
        """
        wanted = group.all_members()
        wanted.pop(own_disk, None)
        for disk in self._links.keys() - wanted.keys():
            self._links.pop(disk).__exit__(None, None, None)
        for disk, member in wanted.items():
            if disk not in self._links:
                self._links[disk] = self._open(member)
            self._links[disk].epoch = group.epoch

    def wait_for_opening(self) -> None:
        """Wait until each link has connected or failed to once."""
        while any(link.is_opening for link in self._links.values()):
            gevent.sleep(clock.to_seconds(OPENING_POLL_INTERVAL_MS))

    def get(self, disk: str) -> Link | None:
        """Return the link to a disk's host, if any."""
        return self._links.get(disk)

    def all(self) -> list[Link]:
        """Return all links."""
        return list(self._links.values())

    def silent_disks(self, span_ms: float) -> set[str]:
        """Return the disks whose hosts have been silent for longer.

        :param span_ms: the tolerated silence.
        """
        return {
            disk
            for disk, link in self._links.items()
            if link.silent_ms() > span_ms
        }

    def connected_disks(self) -> set[str]:
        """Return the disks whose hosts are connected."""
        return {disk for disk, link in self._links.items() if link.is_connected}

    def probe(self) -> None:
        """Probe all connected hosts, which also refreshes their news."""
        for link in self.all():
            link.probe()

    def probe_silent(self, span_ms: float) -> None:
        """Probe the hosts that have been silent for longer.

        :param span_ms: the tolerated silence.
        """
        for disk in self.silent_disks(span_ms):
            self._links[disk].probe()

    def close(self) -> None:
        """Close all links."""
        self.apply(groups.Group())

    def _open(self, member: groups.Member) -> Link:
        return Link(
            member, self._timer, self._heartbeats, self._handle_disconnect
        ).__enter__()

    def _handle_disconnect(self) -> None:
        """Probe the other links, because they may have failed too."""
        self.last_disconnect_ms = self._timer.now_ms()
        self.probe()
