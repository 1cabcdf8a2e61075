"""Accept the links of entry hosts and other store hosts."""

import contextlib
import socket as sockets

import attrs
import gevent
import structlog
from gevent import event, server, socket

from carobfork import exceptions
from carobfork.memory import accounts
from carobfork.storage import (
    chain_messages,
    connections,
    frame_rooms,
    messages,
    replicas,
)

_READ_BYTES = 65_536
"""A message waits for room once so much of it has been read."""
WRITE_TIMEOUT_SECONDS = 5
"""A peer that reads nothing for so long is considered lost."""
MAX_UNREAD_BYTES = 262_144
"""Replies that a peer may leave unread before its next request is handled."""
REPLY_COPIES = 2
"""A reply is held as its frame and in the batch that is written."""

logger = structlog.get_logger(part='listener')


class Listener:
    """A server that passes requests of other hosts to a replica.

    :param address: IP address and port to listen on.
    :param replica: handles the requests.
    :param room_bytes: room for large requests until they are answered.
    :param reply_bytes: room for replies that are not sent yet.
    """

    def __init__(
        self,
        address: tuple[str, int],
        replica: replicas.Replica,
        room_bytes: float,
        reply_bytes: float,
    ) -> None:
        """Create the listener; it does not listen yet."""
        self.unsent = UnsentReplies(reply_bytes)
        self.room = frame_rooms.FrameRoom(room_bytes)
        self._replica = replica
        self._server = server.StreamServer(address, self._serve)
        self._open_sockets: set[socket.socket] = set()

    def start(self) -> None:
        """Start listening."""
        self._server.init_socket()
        self.room.bound_listener(self._server.socket)
        self._server.start()

    def stop(self) -> None:
        """Close the listener and its connections."""
        self._server.stop(timeout=0)
        for sock in self._open_sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(sockets.SHUT_RDWR)

    def _serve(self, sock: socket.socket, address: tuple) -> None:
        connections.configure_socket(sock)
        sock.settimeout(None)
        writer = _ReplyWriter(sock, self.unsent)
        self._open_sockets.add(sock)
        try:
            self._read(sock, writer)
        except (OSError, exceptions.BadRequestError) as error:
            logger.info('link broke', peer=address[0], reason=str(error))
        finally:
            self._open_sockets.discard(sock)
            writer.close()
            sock.close()

    def _read(self, sock: socket.socket, writer: '_ReplyWriter') -> None:
        buffered = bytearray()
        holding = self.room.open(sock)
        try:
            while received := sock.recv(_READ_BYTES):
                buffered.extend(received)
                for frame in messages.pop_frames(buffered):
                    self.room.reserve(holding, len(frame))
                    writer.wait_until_read()
                    self._handle(frame, writer, holding)
                    holding = self.room.open(sock)
                self.room.reserve(holding, messages.begun_bytes(buffered))
                self.room.record_received(holding, len(buffered))
        finally:
            self.room.release(holding)

    def _handle(
        self, frame: bytes, writer: '_ReplyWriter', holding: accounts.Holding
    ) -> None:
        """Handle a request and release its room once it is answered."""
        holding.is_arriving = False
        try:
            envelope = messages.decode(frame)
        except messages.UnknownMessageError as error:
            logger.warning('unknown request', reason=error.message)
            self.room.release(holding)
            writer.reply_callback(error.number)(self._refusal(error.code))
            return
        send_reply = writer.reply_callback(envelope.number)

        def reply(message) -> None:  # noqa: WPS430
            self.room.release(holding)
            try:
                send_reply(message)
            except messages.MessageTooLongError as error:
                logger.warning('reply not sent', reason=error.message)
                send_reply(self._refusal('too_long'))

        if self.unsent.is_full and _reads_turns(envelope):
            reply(chain_messages.TurnBytes(None))
            return
        self._replica.receive(envelope, reply)

    def _refusal(self, reason: str) -> messages.Refused:
        return messages.Refused(reason, self._replica.group)


def _reads_turns(envelope: messages.Envelope) -> bool:
    return isinstance(envelope.message, chain_messages.ReadTurns)


@attrs.define
class UnsentReplies:
    """The bytes of replies that the peers of a host have not read.

    :param max_bytes: bound above which no more pages of turns are read.
    """

    max_bytes: float
    total_bytes: int = 0

    @property
    def is_full(self) -> bool:
        """Whether pages of turns have to wait."""
        return self.total_bytes * REPLY_COPIES > self.max_bytes


class _ReplyWriter:
    """Write the replies of one connection in the order of their completion.

    :param sock: the connection.
    :param unsent: what the replies of all connections fill.
    """

    def __init__(self, sock: socket.socket, unsent: UnsentReplies) -> None:
        self._sock = sock
        self._unsent = unsent
        self._pending_frames: list[bytes] = []
        self._pending_bytes = 0
        self._is_read = event.Event()
        self._is_read.set()
        self._writer: gevent.Greenlet | None = None
        self._is_closed = False

    def reply_callback(self, number: int):
        """Return a callback that sends the reply to a request.

        :param number: the request's number on this connection.
        """

        def reply(message) -> None:  # noqa: WPS430
            frame = messages.encode(messages.Envelope(number, 0, message))
            if self._is_closed:
                return
            self._pending_frames.append(frame)
            self._count(len(frame))
            if self._writer is None:
                self._writer = gevent.spawn(self._write)

        return reply

    def wait_until_read(self) -> None:
        """Wait while the peer leaves many replies unread."""
        self._is_read.wait()

    def close(self) -> None:
        """Stop writing; replies that are still pending are dropped."""
        self._is_closed = True
        self._pending_frames.clear()
        self._count(-self._pending_bytes)
        if self._writer is not None:
            self._writer.kill(block=False)

    def _write(self) -> None:
        while self._pending_frames:
            batch = b''.join(self._pending_frames)
            self._pending_frames.clear()
            try:
                with gevent.Timeout(WRITE_TIMEOUT_SECONDS):
                    self._sock.sendall(batch)
            except (OSError, gevent.Timeout) as error:
                logger.info('answer not sent', reason=str(error))
                self._sock.close()
                self.close()
                return
            self._count(-len(batch))
        self._writer = None

    def _count(self, added_bytes: int) -> None:
        self._pending_bytes += added_bytes
        self._unsent.total_bytes += added_bytes
        if self._pending_bytes > MAX_UNREAD_BYTES:
            self._is_read.clear()
        else:
            self._is_read.set()
