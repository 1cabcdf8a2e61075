"""Answer streams: a model's answer, resumed where a connection breaks.

A model call is safe to send again under its key: the system joins it to the
call under way, or answers from the record. The offset tells how much of the
answer has come, so that no byte comes twice.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

import gevent

from carobfork import clock, exceptions, replies, retry_budgets
from carobfork.protocol import headers, sse
from carobfork.transport import connections

_PATH = '/v1/chat/completions'
_TRANSIENT = (
    exceptions.NotRunError,
    exceptions.PlatformError,
    exceptions.UnknownOutcomeError,
)


class Connector(Protocol):
    """Reach the entry hosts."""

    retries: retry_budgets.RetryBudget

    def connect(
        self, method: str, path: str, body: bytes, fields: Mapping[str, str]
    ) -> connections.Exchange:
        """Return an exchange with one of the entry hosts."""

    def forget_addresses(self, fields: Mapping[str, str]) -> None:
        """Ask for the entry hosts again before the next such request."""

    def stream_delays_ms(self) -> Iterator[float]:
        """Yield the pause after each attempt that brought no text, in ms."""


class AnswerStream:
    """Read the answer to one model call.

    :param connector: how to reach the entry hosts.
    :param body: the request.
    :param fields: the request's headers.
    :param on_restart: called before the answer starts over, because its
        stream was lost; what came before is then void. Without it a lost
        stream is raised.
    """

    def __init__(
        self,
        connector: Connector,
        body: bytes,
        fields: Mapping[str, str],
        on_restart: Callable[[], None] | None = None,
    ) -> None:
        """Start with nothing received."""
        self.worker = ''
        self._connector = connector
        self._body = body
        self._fields = fields
        self._on_restart = on_restart
        self._offset = 0
        self._may_have_run = False

    def texts(self) -> Iterator[str]:
        """Yield the answer's pieces, each byte once.

        :raises StreamLostError: the answer must be asked for from its start.
        :raises CarobforkError: as the response tells.
        """
        delays_ms = self._connector.stream_delays_ms()
        self._connector.retries.earn()
        while True:
            try:
                for text in self._read_once():
                    self._offset += len(text.encode())
                    delays_ms = self._connector.stream_delays_ms()
                    yield text
                return
            except exceptions.CarobforkError as error:
                self._recover(self._note(error), next(delays_ms, None))

    def _read_once(self) -> Iterator[str]:
        fields = {**self._fields, headers.OFFSET: str(self._offset)}
        splitter = sse.EventSplitter()
        with self._connector.connect(
            'POST', _PATH, self._body, fields
        ) as exchange:
            if exchange.status >= replies.ERROR_STATUS:
                raise replies.decode_error(exchange.read())
            self.worker = exchange.header(headers.WORKER)
            for piece in exchange.pieces():
                yield from _decode(splitter.feed(piece))
        if not splitter.closed:
            raise exceptions.ConnectionFailedError(
                'the stream ended early', sent=True, step='read answer'
            )

    def _note(
        self, error: exceptions.CarobforkError
    ) -> exceptions.CarobforkError:
        """Return an error that tells of all attempts, not only of the last."""
        if isinstance(
            error, exceptions.ConnectionFailedError | exceptions.NotRunError
        ):
            self._connector.forget_addresses(self._fields)
        if isinstance(error, exceptions.ConnectionFailedError):
            error = replies.lost_connection(error)
        if error.outcome is exceptions.Outcome.unknown or self._offset:
            self._may_have_run = True
        if self._may_have_run:
            error.outcome = exceptions.Outcome.unknown
        return error

    def _recover(
        self, error: exceptions.CarobforkError, delay_ms: float | None
    ) -> None:
        if delay_ms is None or not _is_transient(error):
            raise error
        if isinstance(error, exceptions.NotRunError):
            self._connector.retries.spend(error)
        if isinstance(error, exceptions.StreamLostError) and self._offset:
            if self._on_restart is None:
                raise error
            self._on_restart()
            self._offset = 0
        pause_ms = max(delay_ms, error.retry_after_ms or 0)
        gevent.sleep(clock.to_seconds(pause_ms))


def _decode(events: bytes) -> Iterator[str]:
    for text in sse.texts(events):
        if isinstance(text, dict):
            raise replies.error_from_fields(text)
        if text:
            yield text


def _is_transient(error: exceptions.CarobforkError) -> bool:
    if isinstance(error, exceptions.CancelledError):
        return False
    return isinstance(error, _TRANSIENT)
