"""Engines: the client of model engines that stream chat completions."""

import json
from collections.abc import Iterator
from urllib.parse import quote

from carobfork import exceptions
from carobfork.coordination import cache_ports, ports
from carobfork.protocol import answers, sse
from carobfork.state import bundles
from carobfork.transport import connections, departures

SILENCE_TIMEOUT_MS = 30_000
CONTROL_TIMEOUT_MS = 2000
_COMPLETIONS = '/v1/chat/completions'
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
_HTTP_SERVER_ERROR = 500


class HttpModelBackend:
    """Reach model engines by the chat completions protocol."""

    def stream(
        self, worker: bundles.Worker, prompt: ports.Prompt
    ) -> Iterator[bytes]:
        """Yield whole server-sent events as they come."""
        request = connections.HttpRequest(
            method='POST',
            path=_COMPLETIONS,
            body=sse.encode_prompt(prompt),
            headers={
                'Content-Type': 'application/json',
                'X-Request-Id': prompt.attempt,
            },
            read_timeout_ms=SILENCE_TIMEOUT_MS,
        )
        yield from _events(worker, request)

    def resume(
        self, worker: bundles.Worker, attempt: str, offset: int
    ) -> Iterator[bytes]:
        """Yield the events of a stream from a text offset in bytes."""
        request = connections.HttpRequest(
            method='GET',
            path=f'{_COMPLETIONS}/{attempt}?offset={offset}',
            read_timeout_ms=SILENCE_TIMEOUT_MS,
        )
        yield from _events(worker, request)

    def cancel(self, worker: bundles.Worker, attempt: str) -> None:
        """End a stream."""
        _ask(worker, 'DELETE', f'{_COMPLETIONS}/{attempt}')

    def inventory(self, worker: bundles.Worker) -> cache_ports.Inventory:
        """Return what an engine holds."""
        fields = json.loads(_ask(worker, 'GET', '/inventory'))
        return cache_ports.Inventory(fields['blocks'], fields['streams'])

    def release(self, worker: bundles.Worker, program: str) -> None:
        """Cancel a program's streams and drop its cached blocks."""
        name = quote(program, safe='')
        _ask(worker, 'DELETE', f'/cache/{name}')

    def decode(self, events: bytes) -> ports.ModelAnswer:
        """Return the answer that the events spell."""
        return answers.decode_answer(events)

    def turn(self, messages: bytes, answer: bytes) -> bytes:
        """Return a turn's messages with the model's answer after them."""
        return sse.encode_turn(messages, answer)


def _events(
    worker: bundles.Worker, request: connections.HttpRequest
) -> Iterator[bytes]:
    """Yield the events of a response that must end with the closing one."""
    splitter = sse.EventSplitter()
    with connections.Exchange(worker.address, request) as exchange:
        departures.require_staying(exchange, worker.name)
        _check_status(exchange.status, worker)
        for piece in exchange.pieces():
            if events := splitter.feed(piece):
                yield events
    if not splitter.closed:
        raise exceptions.ConnectionFailedError(
            'the stream ended early', sent=True, step='stream', peer=worker.name
        )


def _check_status(status: int, worker: bundles.Worker) -> None:
    if status == _HTTP_OK:
        return
    message = f'the engine answered {status}'
    where = {'step': 'dispatch', 'peer': worker.name}
    if status == _HTTP_NOT_FOUND:
        raise exceptions.StreamLostError(message, **where)
    if status >= _HTTP_SERVER_ERROR:
        raise exceptions.ConnectionFailedError(message, sent=True, **where)
    raise exceptions.CallFailedError(message, **where)


def _ask(worker: bundles.Worker, method: str, path: str) -> bytes:
    request = connections.HttpRequest(
        method, path, read_timeout_ms=CONTROL_TIMEOUT_MS
    )
    with connections.Exchange(worker.address, request) as exchange:
        body = exchange.read()
        _check_status(exchange.status, worker)
        return body
