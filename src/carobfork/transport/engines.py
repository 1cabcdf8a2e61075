"""Engines: the client of model engines that stream chat completions."""

from collections.abc import Iterator

from carobfork import exceptions
from carobfork.coordination import ports
from carobfork.protocol import answers, sse
from carobfork.state import bundles
from carobfork.transport import connections, departures

SILENCE_TIMEOUT_MS = 30_000
_HTTP_OK = 200


class HttpModelBackend:
    """Reach model engines by the chat completions protocol."""

    def stream(
        self, worker: bundles.Worker, prompt: ports.Prompt
    ) -> Iterator[bytes]:
        """Yield whole server-sent events as they come."""
        request = connections.HttpRequest(
            method='POST',
            path='/v1/chat/completions',
            body=sse.encode_prompt(prompt),
            headers={
                'Content-Type': 'application/json',
                'X-Request-Id': prompt.attempt,
            },
            read_timeout_ms=SILENCE_TIMEOUT_MS,
        )
        with connections.Exchange(worker.address, request) as exchange:
            departures.require_staying(exchange, worker.name)
            if exchange.status != _HTTP_OK:
                raise exceptions.CallFailedError(
                    f'the engine answered {exchange.status}',
                    step='dispatch',
                    peer=worker.name,
                )
            splitter = sse.EventSplitter()
            for piece in exchange.pieces():
                if events := splitter.feed(piece):
                    yield events

    def decode(self, events: bytes) -> ports.ModelAnswer:
        """Return the answer that the events spell."""
        return answers.decode_answer(events)

    def turn(self, messages: bytes, answer: bytes) -> bytes:
        """Return a turn's messages with the model's answer after them."""
        return sse.encode_turn(messages, answer)
