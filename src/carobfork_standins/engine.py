"""Engine: a stand-in for a model engine that streams chat completions."""

import json
import time
from collections.abc import Iterator

import attrs
import gevent
from werkzeug import Request, Response
from werkzeug import exceptions as http_exceptions
from werkzeug.routing import Rule

from carobfork import clock
from carobfork.state import bundles
from carobfork_standins import batching, caches, engine_orders, streams, web

TICK_MS = 50
_COMPLETIONS = '/v1/chat/completions'
_CACHE = '/cache/<owner>'
_BAD_REQUEST = 400
_CONFLICT = 409
_READ = ('GET',)


@attrs.frozen
class EngineSettings:
    """Settings of the engine stand-in.

    :param fencing: whether orders with an old fencing number are refused.
    """

    name: str
    address: bundles.Address
    pace: batching.Pace = attrs.Factory(batching.Pace)
    fencing: bool = True


@attrs.define
class Faults:
    """What is wrong with the engine at the moment.

    ``refuse_streams``, ``break_streams`` and ``lose_releases`` count down;
    a stream breaks after ``break_after_tokens``. Each ``event_gap``-th cache
    event is lost. With ``vary`` each attempt brings another text.
    """

    refuse_streams: int = 0
    break_streams: int = 0
    break_after_tokens: int = 0
    lose_releases: int = 0
    load_lag_ms: int = 0
    event_lag_ms: int = 0
    event_gap: int = 0
    vary: int = 0
    stalled: int = 0


class EngineApplication(web.Application):
    """Serve chat completions from a simulated batch.

    :param settings: name, address and pace.
    """

    def __init__(self, settings: EngineSettings) -> None:
        """Start with an empty batch."""
        super().__init__(self._rules())
        self._name = settings.name
        self._faults = Faults()
        self._prompts: dict[str, list[dict]] = {}
        self._batch = batching.Batch(settings.pace)
        self._cache = self._batch.cache
        self._cache.now_ms = _now_ms()
        self._waste = caches.WasteMeter(self._cache)
        self._streams = streams.StreamTable(settings.pace.linger_ms)
        self._orders = engine_orders.OrderBook(settings.fencing)
        self._report: dict = {}
        self._reported_ms = 0
        gevent.spawn(self._batch.run)
        gevent.spawn(self._tick)

    def describe_state(self) -> dict:
        """Return what runs and what the cache holds."""
        return {
            'running': len(self._batch.sequences),
            'prefilled_tokens': self._batch.prefilled_tokens,
            'produced_tokens': self._batch.produced_tokens,
            'cached_blocks': len(self._cache),
        }

    def _rules(self) -> list[Rule]:
        stream = f'{_COMPLETIONS}/<identifier>'
        return [
            Rule(_COMPLETIONS, methods=['POST'], endpoint=self._chat),
            Rule(stream, methods=_READ, endpoint=self._resume),
            Rule(stream, methods=['DELETE'], endpoint=self._cancel),
            Rule('/load', methods=_READ, endpoint=self._load),
            Rule('/usage', methods=_READ, endpoint=self._usage),
            Rule(_CACHE, methods=['DELETE'], endpoint=self._release),
            Rule(_CACHE, methods=_READ, endpoint=self._export),
            Rule(_CACHE, methods=['PUT'], endpoint=self._import),
            Rule('/prompts/<owner>', methods=_READ, endpoint=self._prompt),
            Rule('/inventory', methods=_READ, endpoint=self._inventory),
            Rule('/events', methods=_READ, endpoint=self._events),
            Rule('/gone', methods=['PUT'], endpoint=self._set_gone),
            Rule('/orders', methods=_READ, endpoint=self._show_orders),
            Rule('/orders', methods=['POST'], endpoint=self._order),
            Rule('/faults', methods=['PUT'], endpoint=self._set_faults),
        ]

    def _chat(self, request: Request) -> Response:
        if self._faults.refuse_streams:
            self._faults.refuse_streams -= 1
            raise http_exceptions.ServiceUnavailable()
        body = json.loads(request.get_data())
        identifier = request.headers.get('X-Request-Id', '')
        self._prompts[body.get('user', '')] = body['messages']
        sequence = batching.Sequence(
            identifier=identifier,
            owner=body.get('user', ''),
            prompt=json.dumps(body['messages']).encode(),
            max_tokens=body['max_tokens'],
            salt=f'{self._name}{identifier}' if self._faults.vary else '',
        )
        self._batch.add(sequence)
        stream = self._streams.add(sequence)
        return self._stream_response(self._streams.follow(stream, 0))

    def _resume(self, request: Request, identifier: str) -> Response:
        stream = self._streams.streams.get(identifier)
        if stream is None:
            raise http_exceptions.NotFound()
        offset = int(request.args.get('offset', '0'))
        return self._stream_response(self._streams.follow(stream, offset))

    def _stream_response(self, events: Iterator[bytes]) -> Response:
        if self._faults.break_streams:
            self._faults.break_streams -= 1
            events = _broken(events, self._faults.break_after_tokens)
        return Response(events, content_type='text/event-stream')

    def _cancel(self, request: Request, identifier: str) -> Response:
        return web.json_response(
            {'cancelled': self._streams.cancel(identifier)}
        )

    def _load(self, request: Request) -> Response:
        now_ms = _now_ms()
        if now_ms - self._reported_ms >= self._faults.load_lag_ms:
            self._reported_ms = now_ms
            self._report = {
                'running': len(self._batch.sequences),
                'prefilled_tokens': self._batch.prefilled_tokens,
                'produced_tokens': self._batch.produced_tokens,
                'gone_block_seconds': self._waste.block_seconds,
            }
        return web.json_response(self._report)

    def _usage(self, request: Request) -> Response:
        return web.json_response(dict(self._batch.billed))

    def _release(self, request: Request, owner: str) -> Response:
        if self._faults.lose_releases:
            self._faults.lose_releases -= 1
            return web.json_response({'released': 0})
        self._streams.cancel_all(owner)
        return web.json_response({'released': self._cache.release(owner)})

    def _export(self, request: Request, owner: str) -> Response:
        blocks = [block.hex() for block in self._cache.blocks_of(owner)]
        return web.json_response({'blocks': blocks})

    def _import(self, request: Request, owner: str) -> Response:
        blocks = json.loads(request.get_data())['blocks']
        self._cache.insert([bytes.fromhex(block) for block in blocks], owner)
        return web.json_response({'imported': len(blocks)})

    def _inventory(self, request: Request) -> Response:
        return web.json_response(
            {
                'blocks': dict(self._cache.held),
                'streams': dict(self._streams.running()),
            }
        )

    def _prompt(self, request: Request, owner: str) -> Response:
        """Tell an owner's last prompt."""
        return web.json_response({'messages': self._prompts.get(owner, [])})

    def _events(self, request: Request) -> Response:
        since = int(request.args.get('since', '0'))
        latest_ms = _now_ms() - self._faults.event_lag_ms
        gap = self._faults.event_gap
        events = [
            attrs.asdict(event)
            for event in self._cache.events
            if event.number > since
            and event.at_ms <= latest_ms
            and (not gap or event.number % gap)
        ]
        return web.json_response({'events': events})

    def _set_gone(self, request: Request) -> Response:
        self._waste.gone.update(json.loads(request.get_data())['programs'])
        return web.json_response({'gone': len(self._waste.gone)})

    def _show_orders(self, request: Request) -> Response:
        in_force = self._orders.in_force.values()
        return web.json_response(
            {
                'orders': [attrs.asdict(order) for order in in_force],
                'highest_fencing': self._orders.highest_fencing,
                'accepted': self._orders.accepted,
            }
        )

    def _order(self, request: Request) -> Response:
        order = engine_orders.Order(**json.loads(request.get_data()))
        if order.kind not in engine_orders.KINDS:
            return web.json_response({'error': 'unknown kind'}, _BAD_REQUEST)
        if not self._orders.accept(order):
            highest = {'highest_fencing': self._orders.highest_fencing}
            return web.json_response(highest, _CONFLICT)
        return web.json_response(attrs.asdict(order))

    def _set_faults(self, request: Request) -> Response:
        self._faults = Faults(**json.loads(request.get_data()))
        self._batch.stalled = bool(self._faults.stalled)
        return web.json_response(attrs.asdict(self._faults))

    def _tick(self) -> None:
        last_ms = _now_ms()
        while True:
            gevent.sleep(clock.to_seconds(TICK_MS))
            now_ms = _now_ms()
            self._cache.now_ms = now_ms
            self._waste.add_span(now_ms - last_ms)
            last_ms = now_ms


def _broken(events: Iterator[bytes], tokens: int) -> Iterator[bytes]:
    """Yield some of the events, then break the connection off."""
    left = tokens
    for piece in events:
        if left <= 0:
            break
        left -= piece.count(b'data: ')
        yield piece
    raise ConnectionAbortedError('broken off as told')


def _now_ms() -> float:
    return time.monotonic() * clock.MS_PER_SECOND
