"""Relay the events of a stream from a backend server to the caller."""

from carobfork import exceptions
from carobfork.gateway import (
    connection_pools,
    contexts,
    events,
    failures,
    framing,
    ports,
    rooms,
    stalls,
)
from carobfork.memory import accounts

_STEP = 'relay'
_EVENT_STREAM = 'text/event-stream'
_SHOWN_BYTES = 80
"""Length of the part of a malformed event that an error shows."""


class StreamRelay:
    """Relay one server's part of a stream.

    :param context: the request.
    :param connection: the connection on which the server answers.
    :param response: the writer of the caller's response.
    :param watch: the watch on the progress of the exchange.
    :param room: the room for what is kept of the stream.
    """

    def __init__(
        self,
        context: contexts.RequestContext,
        connection: connection_pools.Connection,
        response: ports.ResponseWriter,
        watch: stalls.Watch,
        room: rooms.MessageRoom,
    ) -> None:
        """Create a relay that has passed nothing on."""
        self._room = room
        self._idle_bytes = 0
        self._context = context
        self._connection = connection
        self._response = response
        self._watch = watch
        self._goes_on = context.has_events

    def run(self, shape: framing.BodyShape) -> None:
        """Pass on complete events as they arrive, until the stream ends.

        :param shape: the framing of the body.
        :raises ConnectionFailedError: if it breaks off, skips an event or ends
            inside one.
        :raises AnswerDroppedError: if it is longer than the host has room for.
        """
        splitter = events.EventSplitter()
        with failures.raise_as_failure(self._context.worker):
            for piece in self._connection.reader.iter_body(shape):
                self._pass_on(splitter.feed(piece))
                self._reserve(len(splitter.remainder))
            self._watch.pause()
            if splitter.is_inside_event:
                raise EOFError('the stream ended inside an event')

    def _pass_on(self, received: list[events.Event]) -> None:
        if received and not self._context.has_output:
            check_process(self._context, self._connection, sent=True)
            self._wait_for_record()
        accepted: list[events.Event] = []
        try:
            for event in received:
                if self._is_new(event):
                    accepted.append(event)
        except events.EventOrderError as error:
            raise exceptions.ConnectionFailedError(
                error.message, sent=True, step=_STEP, peer=self._context.worker
            ) from error
        finally:
            # The next server goes on after the last event that was accepted.
            self._send(accepted)

    def _reserve(self, incomplete_bytes: int) -> None:
        """Reserve room for a long stream's content and incomplete event.

        :raises NoRoomError: if there is none in time.
        """
        kept_bytes = self._context.event_log.content_bytes + incomplete_bytes
        if kept_bytes > accounts.SMALL_BYTES:
            self._room.grow(kept_bytes)

    def _wait_for_record(self) -> None:
        if self._context.turn is not None:
            self._watch.pause()
            self._context.turn.wait_for_record()

    def _is_new(self, event: events.Event) -> bool:
        """Record an event and tell whether it is new to the caller.

        :raises EventOrderError: if an event before it is missing, or its place
            in a stream that another server began is unknown.
        """
        if self._goes_on and event.number is None and event.payload:
            raise events.EventOrderError(
                f'an event without a number: {event.raw[:_SHOWN_BYTES]!r}',
                step=_STEP,
            )
        return self._context.event_log.accept(event)

    def _send(self, accepted: list[events.Event]) -> None:
        """Send events; those without content are no progress.

        :raises EventTooLargeError: if the stream goes on without an event.
        """
        if not accepted:
            return
        has_content = any(event.has_content for event in accepted)
        new_bytes = b''.join(event.raw for event in accepted)
        self._idle_bytes = (
            0 if has_content else self._idle_bytes + len(new_bytes)
        )
        if self._idle_bytes > events.MAX_EVENT_BYTES:
            raise events.EventTooLargeError(
                f'{self._idle_bytes} bytes without an event', step=_STEP
            )
        if has_content:
            self._watch.record_progress()
        self._context.record_output()
        self._context.require_version(self._context.server_version)
        if self._context.turn is not None:
            self._watch.pause()
            self._context.turn.record_events(accepted)
        self._response.send(new_bytes)
        if has_content:
            self._watch.expect_next()


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


def check_is_stream(
    context: contexts.RequestContext, head: framing.Head
) -> None:
    """Refuse an answer that would not go on with the caller's stream.

    The caller adds the body to the events that it already has.

    :param head: the head of a successful answer.
    :raises ConnectionFailedError: if the caller has events of the stream, and
        the body holds none.
    """
    kind = head.get('content-type').partition(';')[0].strip().lower()
    if context.has_events and (head.first[1] != '200' or kind != _EVENT_STREAM):
        raise exceptions.ConnectionFailedError(
            'the server went on with a stream by an answer with status'
            f' {head.first[1]} and content type {kind!r}',
            sent=True,
            step=_STEP,
            peer=context.worker,
        )
