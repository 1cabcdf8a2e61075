"""Send requests, long ones while their answers may already arrive."""

import contextlib
import itertools
import socket as sockets
from collections.abc import Callable, Iterable
from types import TracebackType

import gevent
import structlog

from carobfork import exceptions
from carobfork.gateway import (
    connection_pools,
    contexts,
    histories,
    stalls,
)

MAX_BLOCKING_SEND_BYTES = 16_384
"""Longer requests are sent in the background, because the answer may arrive
before the request is complete."""
_STEP = 'relay'

logger = structlog.get_logger(part='exchange')


class HistoryLostError(exceptions.UnknownOutcomeError):
    """The history could not be read to its end while it was sent.

    The backend server got only a part of the request.
    """

    code = 'history_lost'
    http_status = 502


class OutgoingRequest:
    """A request to a backend server, as a context manager.

    Entering it reads the first page of the history, so that nothing is sent
    unless store hosts can be reached. While stored turns are read and sent, the
    server is not to blame for the time that passes.

    :param context: the request.
    :param reader: reads its history.
    :param watch: the watch on the progress of the exchange.
    """

    def __init__(
        self,
        context: contexts.RequestContext,
        reader: histories.HistoryReader,
        watch: stalls.Watch,
    ) -> None:
        """Create a request that is not sent yet."""
        self._context = context
        self._pages = reader.iter_pages(context.history)
        self._watch = watch
        self._first_page = b''
        self._sender: BackgroundSender | None = None

    def __enter__(self) -> 'OutgoingRequest':
        """Read the first page.

        :raises NotRunError: if it can't be read, or the host has no room.
        """
        if self._context.history.stored:
            self._watch.pause()
        self._first_page = next(self._pages)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the room of the pages, unless they are being read."""
        if self._sender is None:
            self._pages.close()

    def send(
        self, connection: connection_pools.Connection, head: bytes
    ) -> contextlib.AbstractContextManager:
        """Send the request, a long one in the background and without a copy.

        :param head: the encoded head.
        :raises OSError: if a short request can't be sent.
        """
        context = self._context
        pieces = itertools.chain(
            (head, self._first_page), self._pages, (context.body,)
        )
        if len(head) + context.body_bytes <= MAX_BLOCKING_SEND_BYTES:
            connection.sock.sendall(b''.join(pieces))
            return contextlib.nullcontext()
        is_paused = bool(context.history.stored)
        on_sent = self._watch.restart if is_paused else _do_nothing
        self._sender = BackgroundSender(
            connection, pieces, on_sent, self._pages.close
        )
        return self._sender


class BackgroundSender:
    """Send a request in the background, as a context manager.

    If the answer arrives before the request is complete, the connection can't
    be reused: the server may still wait for the rest of the request.

    :param connection: the connection to the backend server.
    :param pieces: the bytes of the request.
    :param on_sent: called once it was sent whole.
    :param on_end: called once nothing more is sent, for whatever reason.
    """

    def __init__(
        self,
        connection: connection_pools.Connection,
        pieces: Iterable[bytes],
        on_sent: Callable[[], None],
        on_end: Callable[[], None],
    ) -> None:
        """Create a sender; entering it starts to send."""
        self._connection = connection
        self._pieces = pieces
        self._on_sent = on_sent
        self._on_end = on_end
        self._failure: exceptions.CarobforkError | None = None
        self._writer: gevent.Greenlet | None = None

    def __enter__(self) -> 'BackgroundSender':
        """Start sending."""
        self._writer = gevent.spawn(self._send)
        self._writer.rawlink(lambda _writer: self._on_end())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop sending.

        :raises HistoryLostError: if there is no answer since a piece could
            not be read.
        """
        if not self._writer.ready():
            self._writer.kill(block=False)
            self._connection.has_partial_request = True
        is_broken = isinstance(error, (OSError, EOFError))
        if is_broken and self._failure is not None:
            raise HistoryLostError(
                self._failure.message,
                step=_STEP,
                peer=self._connection.worker.instance,
            ) from self._failure

    def _send(self) -> None:
        try:
            for piece in self._pieces:
                self._connection.sock.sendall(piece)
        except OSError as error:
            # Reading the answer fails for the same reason and reports it.
            logger.debug('request not sent whole', reason=str(error))
        except exceptions.CarobforkError as failure:
            self._fail(failure)
        else:
            self._on_sent()

    def _fail(self, failure: exceptions.CarobforkError) -> None:
        """End the connection, so that the server drops the request."""
        self._failure = failure
        self._connection.has_partial_request = True
        with contextlib.suppress(OSError):
            self._connection.sock.shutdown(sockets.SHUT_RDWR)


def _do_nothing() -> None:
    """Ignore that a request was sent."""
