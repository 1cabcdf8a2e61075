"""Engine: a stand-in for a model engine that streams chat completions."""

import json
from collections.abc import Iterator

import attrs
import gevent
from werkzeug import Request, Response
from werkzeug.routing import Rule

from carobfork.protocol import sse
from carobfork.state import bundles
from carobfork_standins import batching, web


@attrs.frozen
class EngineSettings:
    """Settings of the engine stand-in."""

    name: str
    address: bundles.Address
    pace: batching.Pace = attrs.Factory(batching.Pace)


class EngineApplication(web.Application):
    """Serve chat completions from a simulated batch.

    :param settings: name, address and pace.
    """

    def __init__(self, settings: EngineSettings) -> None:
        """Start with an empty batch."""
        super().__init__(
            [
                Rule('/v1/chat/completions', endpoint=self._chat),
                Rule('/load', methods=['GET'], endpoint=self._load),
                Rule(
                    '/cache/<owner>', methods=['DELETE'], endpoint=self._release
                ),
                Rule(
                    '/prompts/<owner>', methods=['GET'], endpoint=self._prompt
                ),
                Rule('/inventory', methods=['GET'], endpoint=self._inventory),
            ]
        )
        self._prompts: dict[str, list[dict]] = {}
        self._batch = batching.Batch(settings.pace)
        gevent.spawn(self._batch.run)

    def describe_state(self) -> dict:
        """Return what runs and what the cache holds."""
        return {
            'running': len(self._batch.sequences),
            'prefilled_tokens': self._batch.prefilled_tokens,
            'produced_tokens': self._batch.produced_tokens,
            'cached_blocks': len(self._batch.cache.owners),
        }

    def _chat(self, request: Request) -> Response:
        body = json.loads(request.get_data())
        self._prompts[body.get('user', '')] = body['messages']
        sequence = batching.Sequence(
            identifier=request.headers.get('X-Request-Id', ''),
            owner=body.get('user', ''),
            prompt=json.dumps(body['messages']).encode(),
            max_tokens=body['max_tokens'],
        )
        self._batch.add(sequence)
        return Response(_events(sequence), content_type='text/event-stream')

    def _load(self, request: Request) -> Response:
        return web.json_response(
            {
                'running': len(self._batch.sequences),
                'prefilled_tokens': self._batch.prefilled_tokens,
                'produced_tokens': self._batch.produced_tokens,
            }
        )

    def _prompt(self, request: Request, owner: str) -> Response:
        """Tell an owner's last prompt."""
        return web.json_response({'messages': self._prompts.get(owner, [])})

    def _release(self, request: Request, owner: str) -> Response:
        return web.json_response({'released': self._batch.cache.release(owner)})

    def _inventory(self, request: Request) -> Response:
        held: dict[str, int] = {}
        for owner in self._batch.cache.owners.values():
            held[owner] = held.get(owner, 0) + 1
        return web.json_response({'blocks': held})


def _events(sequence: batching.Sequence) -> Iterator[bytes]:
    """Yield the answer's events; closing cancels the sequence."""
    sent = 0
    try:
        while sent < sequence.max_tokens:
            if sent == len(sequence.produced):
                sequence.progress.clear()
                sequence.progress.wait()
            fresh = sequence.produced[sent:]
            sent += len(fresh)
            yield b''.join(sse.encode_text(token) for token in fresh)
    finally:
        sequence.cancelled = True
    yield sse.encode_event({'choices': [], 'usage': _usage(sequence)})
    yield sse.DONE


def _usage(sequence: batching.Sequence) -> dict:
    blocks = batching.prompt_blocks(sequence.prompt)
    prompt_tokens = len(blocks) * batching.BLOCK_TOKENS
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': len(sequence.produced),
        'total_tokens': prompt_tokens + len(sequence.produced),
        'prompt_tokens_details': {'cached_tokens': sequence.cached_tokens},
    }
