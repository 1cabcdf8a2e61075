"""Peers: encrypted messages between entry hosts over ZeroMQ.

Every host of a deployment holds the same CURVE key pair; connections with
another key are refused before any message is read.
"""

import itertools
from collections.abc import Callable
from types import TracebackType

import attrs
import gevent
import structlog
from gevent import event
from zmq import green as zmq

from carobfork import clock, exceptions
from carobfork.coordination import messages
from carobfork.protocol import wire
from carobfork.state import bundles
from carobfork.transport import admissions

SEND_QUEUE_LENGTH = 1000
_ONE_WAY = b''
_ID_BYTES = 8
_STEP = 'ask peer'

logger = structlog.get_logger(part='peers')


@attrs.frozen
class PeerKeys:
    """The deployment's CURVE key pair, in Z85."""

    public: str
    secret: str


@attrs.define
class Traffic:
    """What a link has sent, for the cost of control."""

    messages_sent: int = 0
    bytes_sent: int = 0


class PeerLink:
    """Exchange messages with other entry hosts, as a context manager.

    :param address: where to listen.
    :param keys: the deployment's key pair.
    """

    def __init__(self, address: bundles.Address, keys: PeerKeys) -> None:
        """Prepare the link; entering it listens."""
        self.traffic = Traffic()
        self._address = address
        self._keys = keys
        self._codec = wire.MessageCodec()
        self._context = zmq.Context()
        self._handlers: dict[type, Callable] = {}
        self._dealers: dict[bundles.Address, zmq.Socket] = {}
        self._replies: dict[bytes, event.AsyncResult] = {}
        self._numbers = itertools.count()
        self._greenlets: list[gevent.Greenlet] = []

    def __enter__(self) -> 'PeerLink':
        """Start listening."""
        admission = admissions.bind(self._context)
        self._spawn(admissions.run, admission, self._keys.public)
        router = self._socket(zmq.ROUTER)
        router.curve_server = True
        router.bind(f'tcp://{self._address}')
        self._spawn(self._serve, router)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening and drop what is queued."""
        gevent.killall(self._greenlets)
        self._context.destroy(linger=0)

    def on(self, kind: type, handler: Callable) -> None:
        """Call ``handler`` with each message of a kind.

        What it returns is the reply, if the sender waits for one.
        """
        self._handlers[kind] = handler

    def send(self, address: bundles.Address, message: object) -> None:
        """Send a message that needs no reply; it may get lost."""
        self._post(address, _ONE_WAY, message)

    def request(
        self, address: bundles.Address, message: object, timeout_ms: int
    ) -> object:
        """Send a message and return the reply.

        :raises ConnectionFailedError: no reply came in time; the peer may
            have acted on the message all the same.
        :raises CarobforkError: what the peer refused with.
        """
        number = next(self._numbers).to_bytes(_ID_BYTES, 'big')
        replied = event.AsyncResult()
        self._replies[number] = replied
        try:
            self._post(address, number, message)
            return self._checked(
                replied.get(timeout=clock.to_seconds(timeout_ms))
            )
        except gevent.Timeout:
            raise exceptions.ConnectionFailedError(
                'no reply came in time',
                sent=True,
                step=_STEP,
                peer=str(address),
            ) from None
        finally:
            self._replies.pop(number)

    def forget(self, address: bundles.Address) -> None:
        """Close the connection to a host that is gone."""
        dealer = self._dealers.pop(address, None)
        if dealer is not None:
            dealer.close(linger=0)

    def _post(
        self, address: bundles.Address, number: bytes, message: object
    ) -> None:
        packed = self._codec.encode(message)
        try:
            self._dealer(address).send_multipart(
                [number, packed], flags=zmq.NOBLOCK
            )
        except zmq.Again:
            logger.debug('A message was dropped.', peer=str(address))
            return
        self.traffic.messages_sent += 1
        self.traffic.bytes_sent += len(packed)

    def _dealer(self, address: bundles.Address) -> zmq.Socket:
        if address not in self._dealers:
            dealer = self._socket(zmq.DEALER)
            dealer.curve_serverkey = self._keys.public.encode()
            dealer.connect(f'tcp://{address}')
            self._dealers[address] = dealer
            self._spawn(self._collect, dealer)
        return self._dealers[address]

    def _socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.sndhwm = SEND_QUEUE_LENGTH
        socket.linger = 0
        socket.curve_publickey = self._keys.public.encode()
        socket.curve_secretkey = self._keys.secret.encode()
        return socket

    def _serve(self, router: zmq.Socket) -> None:
        while True:
            sender, number, packed = router.recv_multipart()
            gevent.spawn(self._answer, router, sender, number, packed)

    def _answer(
        self, router: zmq.Socket, sender: bytes, number: bytes, packed: bytes
    ) -> None:
        reply = self._reply_to(packed)
        if number != _ONE_WAY and reply is not None:
            encoded = self._codec.encode(reply)
            router.send_multipart([sender, number, encoded])
            self.traffic.messages_sent += 1
            self.traffic.bytes_sent += len(encoded)

    def _reply_to(self, packed: bytes) -> object:
        try:
            message = self._codec.decode(packed)
            handler = self._handlers.get(type(message), _refuse)
            return handler(message)
        except exceptions.CarobforkError as error:
            return messages.Failure(
                error.code, error.message, error.step, error.peer
            )
        except Exception:
            logger.exception('A message met an unexpected error.')
            return messages.Failure('internal', 'internal error')

    def _collect(self, dealer: zmq.Socket) -> None:
        while True:
            try:
                number, packed = dealer.recv_multipart()
            except zmq.ZMQError:
                return
            replied = self._replies.get(number)
            if replied is not None:
                replied.set(self._codec.decode(packed))

    def _checked(self, reply: object) -> object:
        if isinstance(reply, messages.Failure):
            raise exceptions.from_code(
                reply.code, reply.message, step=reply.step, peer=reply.peer
            )
        return reply

    def _spawn(self, loop: Callable, *arguments) -> None:
        self._greenlets.append(gevent.spawn(loop, *arguments))


def _refuse(message: object) -> None:
    raise exceptions.NotRunError(
        f'{type(message).__name__} is not served yet', step=_STEP
    )
