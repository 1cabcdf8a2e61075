"""Keep one connection to each store host, shared by all requests.

A link sends a heartbeat a few times a second. A peer that answers none for a
while is considered lost and its connection is closed: after a partition, an
old connection may stay silent for good while new ones work.
"""

import collections
import functools
import itertools
import socket as sockets
from collections.abc import Callable
from types import TracebackType
from typing import Any

import attrs
import gevent
import structlog
from gevent import event, queue, socket

from carobfork import clock, exceptions
from carobfork.storage import groups, messages

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
TCP_USER_TIMEOUT_MS = 1000
"""Kernel timeout for unacknowledged bytes, for the case that no heartbeat is
pending."""
READ_BYTES = 262_144

logger = structlog.get_logger(part='links')

ReplyCallback = Callable[[Any], None]


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

    def handle_reply(self, member: groups.Member, reply: Any) -> None:
        """Pass a reply on, unless the connection failed."""
        if reply is not None:
            self.on_reply(member, reply)


class Link:
    """A reconnecting connection to one store host, as a context manager.

    :param member: the store host.
    :param timer: measures silence.
    :param heartbeats: sent while the connection is open.
    :param on_disconnect: called each time that an open connection has ended.
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
        self._probe_requested = event.Event()
        self._request_numbers = itertools.count(1)
        self._reply_callbacks: dict[int, ReplyCallback] = {}
        self._outgoing: collections.deque[bytes] = collections.deque()
        self._has_outgoing = event.Event()
        self._runner: gevent.Greenlet | None = None

    def __enter__(self) -> 'Link':
        """Start connecting in the background."""
        self._runner = gevent.spawn(self._run)
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
        """Return how long ago the last bytes were received."""
        return self._timer.now_ms() - self.last_received_ms

    def send_request(self, message: Any, on_reply: ReplyCallback) -> None:
        """Send a request without waiting for the reply.

        :param on_reply: called once, with the reply, or with ``None`` if the
            connection is closed or fails.
        """
        if not self.is_connected:
            on_reply(None)
            return
        number = next(self._request_numbers)
        self._reply_callbacks[number] = on_reply
        envelope = messages.Envelope(number, self.epoch, message)
        self._outgoing.append(messages.encode(envelope))
        self._has_outgoing.set()

    def probe(self) -> None:
        """Send a heartbeat now and disconnect if nothing answers it."""
        if self.is_connected:
            self._probe_requested.set()

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
        greenlets: list[gevent.Greenlet] = []
        try:
            self._handle_connect(sock)
            greenlets.append(gevent.spawn(self._write, sock))
            greenlets.append(gevent.spawn(self._send_heartbeats, sock))
            self._read(sock)
        finally:
            gevent.killall(greenlets, block=False)
            sock.close()
            self._handle_disconnect()

    def _handle_connect(self, sock: socket.socket) -> None:
        configure_socket(sock)
        self._outgoing.clear()
        self.is_opening = False
        self.is_connected = True
        self.last_received_ms = self._timer.now_ms()
        logger.info('link is up', peer=self.member.node)

    def _handle_disconnect(self) -> None:
        if self.is_connected:
            logger.info(
                'link is down',
                peer=self.member.node,
                silent_ms=round(self.silent_ms()),
                waiting=len(self._reply_callbacks),
            )
        self.is_connected = False
        reply_callbacks = list(self._reply_callbacks.values())
        self._reply_callbacks.clear()
        for on_reply in reply_callbacks:
            on_reply(None)
        self._on_disconnect()

    def _read(self, sock: socket.socket) -> None:
        buffered = bytearray()
        while True:
            silence_ms = (
                self._heartbeats.interval_ms(self.member) + SILENCE_TIMEOUT_MS
            )
            sock.settimeout(clock.to_seconds(silence_ms))
            received = sock.recv(READ_BYTES)
            if not received:
                return
            self.last_received_ms = self._timer.now_ms()
            buffered.extend(received)
            for frame in messages.pop_frames(buffered):
                self._dispatch_reply(messages.decode(frame))

    def _dispatch_reply(self, envelope: messages.Envelope) -> None:
        on_reply = self._reply_callbacks.pop(envelope.number, None)
        if on_reply is not None:
            on_reply(envelope.message)

    def _write(self, sock: socket.socket) -> None:
        while True:
            self._has_outgoing.wait()
            self._has_outgoing.clear()
            batch = b''.join(self._outgoing)
            self._outgoing.clear()
            try:
                sock.sendall(batch)
            except OSError:
                # The reader reports the failure and disconnects.
                sock.close()
                return

    def _send_heartbeats(self, sock: socket.socket) -> None:
        while True:
            self.send_request(
                self._heartbeats.compose(self.member),
                functools.partial(self._heartbeats.handle_reply, self.member),
            )
            if self._probe_requested.is_set():
                self._probe_requested.clear()
                gevent.spawn_later(
                    clock.to_seconds(PROBE_TIMEOUT_MS),
                    self._close_if_silent,
                    sock,
                )
            self._probe_requested.wait(
                clock.to_seconds(self._heartbeats.interval_ms(self.member))
            )

    def _close_if_silent(self, sock: socket.socket) -> None:
        if self.silent_ms() >= PROBE_TIMEOUT_MS:
            # The reader fails on the closed connection and disconnects.
            sock.close()


def configure_socket(sock: socket.socket) -> None:
    """Set the options of every connection between hosts."""
    sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
    sock.setsockopt(
        sockets.IPPROTO_TCP, sockets.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


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
