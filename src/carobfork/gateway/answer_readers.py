"""Read the heads of backend servers' answers.

What a head tells of its server is known before its body, also if the answer
belongs to another request, is unusable or breaks off.
"""

from collections.abc import Callable

import attrs
import structlog

from carobfork.gateway import (
    calls,
    connection_pools,
    contexts,
    framing,
    ports,
    workers,
)

MAX_STRAY_ANSWERS = 2
"""Maximum number of late answers to other requests that are skipped while one
answer is awaited."""
MAX_INFORMATIONAL_HEADS = 4
"""Maximum number of informational responses before an answer."""
MAX_ANSWER_BYTES = 1_048_576
"""Maximum size of an answer that is read completely before it is passed on."""
_STEP = 'relay'

logger = structlog.get_logger(part='exchange')


@attrs.frozen
class Answer:
    """A response head.

    :param head: the head as received.
    :param told: the metadata that it carries.
    :param shape: the framing of the body.
    """

    head: framing.Head
    told: calls.ServerAnswer
    shape: framing.BodyShape

    @property
    def keeps_open(self) -> bool:
        """Whether the connection can be reused after the body."""
        return self.head.keeps_open and not self.shape.ends_with_connection


class AnswerReader:
    """Read the head that answers a request.

    :param codec: decodes heads.
    :param on_leaving: called with a worker that says that it leaves.
    """

    def __init__(
        self,
        codec: ports.Codec,
        on_leaving: Callable[[workers.Worker], None],
    ) -> None:
        """Create a reader."""
        self._codec = codec
        self._on_leaving = on_leaving

    def read(
        self,
        context: contexts.RequestContext,
        connection: connection_pools.Connection,
    ) -> Answer:
        """Return the answer to a request; skip late answers to others.

        :raises framing.FramingError: if there is no usable answer.
        :raises EOFError: if the connection ended before it.
        """
        is_first = not connection.is_reused
        for _ in range(MAX_STRAY_ANSWERS + 1):
            answer = self._read_answer(context, connection)
            if answer.told.is_for(context.call.attempt, is_first=is_first):
                return answer
            is_first = False
            logger.warning(
                'stray answer',
                request=context.call.attempt,
                other=answer.told.attempt,
                worker=context.worker,
            )
            if not (answer.told.attempt or answer.told.not_run):
                # It names no attempt, so it is not a late answer and no other
                # answer will follow.
                break
            connection.reader.read_body(answer.shape, MAX_ANSWER_BYTES)
        raise framing.FramingError(
            f'no answer to attempt {context.call.attempt!r}', step=_STEP
        )

    def _read_answer(
        self,
        context: contexts.RequestContext,
        connection: connection_pools.Connection,
    ) -> Answer:
        head, decoded = self._read_final_head(connection)
        if decoded.is_encoded:
            raise framing.FramingError(
                'the answer has a content encoding', step=_STEP
            )
        shape = framing.response_shape(head, context.request.head.first[0])
        return Answer(head, decoded, shape)

    def _read_final_head(
        self, connection: connection_pools.Connection
    ) -> tuple[framing.Head, calls.ServerAnswer]:
        """Return the head of an answer after a few informational ones."""
        for _ in range(MAX_INFORMATIONAL_HEADS + 1):
            head = connection.reader.read_head(framing.MAX_HEAD_BYTES)
            if head is None:
                raise EOFError(
                    'the server closed the connection before its answer'
                )
            decoded = self._codec.decode_answer(head)
            if decoded.tells_leaving(connection.worker.instance):
                self._on_leaving(connection.worker)
            if not decoded.is_informational:
                return head, decoded
        raise framing.FramingError(
            f'more than {MAX_INFORMATIONAL_HEADS} informational responses',
            step=_STEP,
        )
