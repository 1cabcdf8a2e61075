"""Relay the events of a stream from a backend server to the caller."""

from carobfork import exceptions
from carobfork.gateway import (
    connection_pools,
    contexts,
    events,
    failures,
    framing,
    ports,
    stalls,
)

_STEP = 'relay'


class StreamRelay:
    """Relay one server's part of a stream.

    :param context: the request.
    :param connection: the connection on which the server answers.
    :param response: the writer of the caller's response.
    :param watch: the watch on the progress of the exchange.
    """

    def __init__(
        self,
        context: contexts.RequestContext,
        connection: connection_pools.Connection,
        response: ports.ResponseWriter,
        watch: stalls.Watch,
    ) -> None:
        """Create a relay that has passed nothing on."""
        self._context = context
        self._connection = connection
        self._response = response
        self._watch = watch

    def run(self, shape: framing.BodyShape) -> None:
        """Pass on complete events as they arrive, until the stream ends.

        :param shape: the framing of the body.
        :raises ConnectionFailedError: if it breaks off, skips an event or
            ends inside one.
        """
        splitter = events.EventSplitter()
        with failures.raise_as_failure(self._context.worker):
            for piece in self._connection.reader.iter_body(shape):
                self._pass_on(splitter.feed(piece))
            self._watch.pause()
            if splitter.remainder:
                raise EOFError('the stream ended inside an event')

    def _pass_on(self, received: list[events.Event]) -> None:
        new_bytes = self._accept_new(received)
        if not new_bytes:
            return
        self._watch.record_progress()
        if not self._context.has_output:
            check_process(self._context, self._connection, sent=True)
        self._context.has_output = True
        self._context.require_version(self._context.server_version)
        self._response.send(new_bytes)
        self._watch.expect_next()

    def _accept_new(self, received: list[events.Event]) -> bytes:
        """Return the bytes of the events that are new to the caller.

        :raises ConnectionFailedError: if an event is missing in the stream.
        """
        event_log = self._context.event_log
        try:
            return b''.join(
                event.raw for event in received if event_log.accept(event)
            )
        except events.EventOrderError as error:
            raise exceptions.ConnectionFailedError(
                error.message, sent=True, step=_STEP, peer=self._context.worker
            ) from error


def check_process(
    context: contexts.RequestContext,
    connection: connection_pools.Connection,
    *,
    sent: bool,
) -> None:
    """Refuse to begin a stream at a process of an unknown version.

    The process that the server's name stood for has been replaced by another
    one, and the connection may lead to either of them.

    :param sent: whether the request was sent on the connection.
    :raises ConnectionFailedError: if the stream can be resumed.
    """
    worker = connection.worker
    if worker.is_replaced and context.route.is_resumable:
        raise exceptions.ConnectionFailedError(
            f'another process than that of version {worker.entry.version!r}'
            ' has taken the name of the server',
            sent=sent,
            step=_STEP,
            peer=worker.instance,
        )
