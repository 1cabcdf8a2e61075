"""Send requests to one store host on a connection, and match the replies."""

import collections
import contextlib
import itertools
import socket as sockets
from collections.abc import Callable
from types import TracebackType
from typing import Any

import gevent
import structlog
from gevent import event, socket

from carobfork import clock
from carobfork.memory import accounts
from carobfork.storage import messages

TCP_USER_TIMEOUT_MS = 1000
"""Kernel timeout for unacknowledged bytes, for the case that no heartbeat is
pending."""
READ_BYTES = 262_144
MAX_UNSENT_BYTES = messages.MAX_FRAME_BYTES
"""Bytes of requests that wait on a connection, beyond which a long one is given
up. The other members of a quorum may store many long turns before a peer that
reads nothing counts as lost."""
SILENCE_STEPS = (0.7, 0.1, 0.1, 0.1)
"""Parts of a span in which silence is counted. After a pause of this host's own
process a timeout ends before replies that have arrived are read; it costs one
step. The first one is longer than the pause between two heartbeats."""

logger = structlog.get_logger(part='links')

ReplyCallback = Callable[[Any], None]


def configure_socket(sock: socket.socket) -> None:
    """Set the options of every connection between hosts."""
    sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
    sock.setsockopt(
        sockets.IPPROTO_TCP, sockets.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


def sleep_in_steps(span_ms: float) -> None:
    """Sleep without counting pauses of this process as more than a step."""
    for part in SILENCE_STEPS:
        gevent.sleep(clock.to_seconds(span_ms * part))


class Connection:
    """A connection with requests that wait for replies, as a context manager.

    :ivar unsent_bytes: bytes of requests that the peer has not taken.
    :param sock: a connected socket, which the connection closes.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Create a connection without requests; entering it starts to write."""
        self._sock = sock
        self._request_numbers = itertools.count(1)
        self._reply_callbacks: dict[int, ReplyCallback] = {}
        self.unsent_bytes = 0
        self._outgoing: collections.deque[bytes] = collections.deque()
        self._has_outgoing = event.Event()
        self._writer: gevent.Greenlet | None = None

    def __enter__(self) -> 'Connection':
        """Start writing requests in the background."""
        configure_socket(self._sock)
        self._writer = gevent.spawn(self._write)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection; pending requests get no reply."""
        self._writer.kill(block=False)
        self.close()
        reply_callbacks = list(self._reply_callbacks.values())
        self._reply_callbacks.clear()
        for on_reply in reply_callbacks:
            on_reply(None)

    @property
    def pending_count(self) -> int:
        """The number of requests without a reply."""
        return len(self._reply_callbacks)

    def send(self, epoch: int, message: Any, on_reply: ReplyCallback) -> None:
        """Send a request without waiting for the reply.

        :param epoch: the epoch of the storage group that this host knows.
        :param on_reply: called once, with the reply, or with ``None`` if the
            connection ends before, the reply is unknown or there is no room
            for a long message behind others.
        :raises MessageTooLongError: if the message does not fit a frame.
        """
        number = next(self._request_numbers)
        envelope = messages.Envelope(number, epoch, message)
        frame = messages.encode(envelope)
        if not self._has_room(len(frame)):
            on_reply(None)
            return
        self._outgoing.append(frame)
        self.unsent_bytes += len(frame)
        self._reply_callbacks[number] = on_reply
        self._has_outgoing.set()

    def read(
        self,
        max_silence_ms: Callable[[], float],
        on_received: Callable[[], None],
    ) -> None:
        """Read replies until the peer closes the connection.

        :param max_silence_ms: returns the longest time without any bytes.
        :param on_received: called when bytes have arrived.
        :raises OSError: if the connection fails or is silent for too long.
        :raises BadRequestError: if the peer sends something else than replies.
        """
        buffered = bytearray()
        while True:
            received = self._receive(max_silence_ms())
            if not received:
                return
            on_received()
            buffered.extend(received)
            for frame in messages.pop_frames(buffered):
                self._dispatch_reply(frame)

    def close(self) -> None:
        """Close the socket, on which reading then fails."""
        self._sock.close()

    def _receive(self, max_silence_ms: float) -> bytes:
        # It holds for writes as well.
        self._sock.settimeout(clock.to_seconds(max_silence_ms))
        for part in SILENCE_STEPS:
            step = gevent.Timeout(
                clock.to_seconds(max_silence_ms * part), False
            )
            with contextlib.suppress(TimeoutError), step:
                return self._sock.recv(READ_BYTES)
        raise TimeoutError(f'silent for {max_silence_ms} ms')

    def _dispatch_reply(self, frame: bytes) -> None:
        try:
            envelope = messages.decode(frame)
        except messages.UnknownMessageError as error:
            logger.warning('unknown reply', reason=error.message)
            envelope = messages.Envelope(error.number, 0, None)
        on_reply = self._reply_callbacks.pop(envelope.number, None)
        if on_reply is not None:
            on_reply(envelope.message)

    def _has_room(self, length: int) -> bool:
        """Return whether a message may wait behind others."""
        if not self.unsent_bytes or length <= accounts.SMALL_BYTES:
            return True
        return self.unsent_bytes + length <= MAX_UNSENT_BYTES

    def _write(self) -> None:
        while True:
            self._has_outgoing.wait()
            self._has_outgoing.clear()
            while self._outgoing:
                batch = self._take_batch()
                try:
                    self._sock.sendall(batch)
                except OSError:
                    # The reader fails, too, and reports it.
                    self.close()
                    return
                self.unsent_bytes -= len(batch)

    def _take_batch(self) -> bytes:
        """Remove what is sent next: a long message, or several short ones."""
        batch = [self._outgoing.popleft()]
        batch_bytes = len(batch[0])
        while self._outgoing and batch_bytes <= accounts.SMALL_BYTES:
            batch.append(self._outgoing.popleft())
            batch_bytes += len(batch[-1])
        return batch[0] if len(batch) == 1 else b''.join(batch)
