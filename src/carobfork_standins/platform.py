"""Platform: a stand-in for the object API.

It keeps versions, conditional updates and watches in memory, limits its
rates, and can be down, slow, or lose answers after they took effect.
"""

import collections
import json

import attrs
import gevent
from gevent import event
from werkzeug import Request, Response
from werkzeug import exceptions as http_exceptions
from werkzeug.routing import Rule

from carobfork import clock
from carobfork.state import bundles
from carobfork_standins import web

MAX_BODY_BYTES = 1_000_000
WATCH_SECONDS = 10
_CREATED = 201


@attrs.frozen
class PlatformSettings:
    """Settings of the platform stand-in."""

    address: bundles.Address
    writes_per_second: int = 400
    reads_per_second: int = 2000


@attrs.define
class Faults:
    """What is wrong with the platform at the moment."""

    down: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    """How many of the next writes take effect without an answer."""


@attrs.frozen
class _Object:
    version: int
    revision: int
    body: bytes


class RateLimit:
    """Allow so many calls in each second."""

    def __init__(self, per_second: int, timer: clock.Clock) -> None:
        """Start with a full second's allowance."""
        self._per_second = per_second
        self._timer = timer
        self._second = 0
        self._used = 0

    def take(self) -> None:
        """Count a call.

        :raises TooManyRequests: this second's allowance is used up.
        """
        second = int(self._timer.now_ms() // clock.MS_PER_SECOND)
        if second != self._second:
            self._second = second
            self._used = 0
        self._used += 1
        if self._used > self._per_second:
            raise http_exceptions.TooManyRequests


class PlatformApplication(web.Application):
    """Serve the object API.

    :param settings: address and rates.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        """Start without objects."""
        super().__init__(
            [
                Rule('/objects', methods=['GET'], endpoint=self._list),
                Rule(
                    '/objects/<path:key>', methods=['GET'], endpoint=self._fetch
                ),
                Rule(
                    '/objects/<path:key>',
                    methods=['PUT'],
                    endpoint=self._update,
                ),
                Rule(
                    '/objects/<path:key>',
                    methods=['DELETE'],
                    endpoint=self._delete,
                ),
                Rule('/watch', methods=['GET'], endpoint=self._watch),
                Rule('/faults', methods=['PUT'], endpoint=self._set_faults),
                Rule('/counts', methods=['GET'], endpoint=self._show_counts),
            ]
        )
        self._stored: dict[str, _Object] = {}
        self._revision = 0
        self._changed = event.Event()
        self._faults = Faults()
        self._counts: collections.Counter[str] = collections.Counter()
        timer = clock.SystemClock()
        self._writes = RateLimit(settings.writes_per_second, timer)
        self._reads = RateLimit(settings.reads_per_second, timer)

    def answer(self, request: Request) -> Response:
        """Apply the faults, then answer."""
        if request.path in {'/faults', '/counts', '/state'}:
            return super().answer(request)
        is_write = request.method in {'PUT', 'DELETE'}
        try:
            self._admit(self._writes if is_write else self._reads)
        except http_exceptions.HTTPException:
            self._counts['refused'] += 1
            raise
        response = super().answer(request)
        if is_write and self._faults.lost_answers:
            self._faults.lost_answers -= 1
            raise http_exceptions.GatewayTimeout
        return response

    def describe_state(self) -> dict:
        """Return how many objects there are, the counts and the faults."""
        return {
            'objects': len(self._stored),
            'revision': self._revision,
            'counts': dict(self._counts),
            'faults': attrs.asdict(self._faults),
        }

    def _admit(self, limit: RateLimit) -> None:
        """Refuse a call while down or above its rate, and delay it."""
        if self._faults.down:
            raise http_exceptions.ServiceUnavailable
        gevent.sleep(clock.to_seconds(self._faults.delay_ms))
        limit.take()

    def _list(self, request: Request) -> Response:
        self._counts['lists'] += 1
        prefix = request.args['prefix']
        keys = sorted(key for key in self._stored if key.startswith(prefix))
        return web.json_response({'keys': keys})

    def _fetch(self, request: Request, key: str) -> Response:
        self._counts['reads'] += 1
        if key not in self._stored:
            raise http_exceptions.NotFound
        found = self._stored[key]
        return Response(found.body, headers={'ETag': f'"{found.version}"'})

    def _update(self, request: Request, key: str) -> Response:
        self._counts['writes'] += 1
        body = request.get_data()
        if len(body) > MAX_BODY_BYTES:
            raise http_exceptions.RequestEntityTooLarge
        found = self._stored.get(key)
        version = found.version if found else 0
        expected = request.headers.get('If-Match', '"0"').strip('"')
        if int(expected) != version:
            return Response(status=412, headers={'ETag': f'"{version}"'})
        self._put(key, version + 1, body)
        return Response(status=_CREATED, headers={'ETag': f'"{version + 1}"'})

    def _put(self, key: str, version: int, body: bytes) -> None:
        self._revision += 1
        self._stored[key] = _Object(version, self._revision, body)
        changed = self._changed
        self._changed = event.Event()
        changed.set()

    def _delete(self, request: Request, key: str) -> Response:
        self._counts['writes'] += 1
        self._counts['deletes'] += 1
        self._stored.pop(key, None)
        return Response(status=204)

    def _watch(self, request: Request) -> Response:
        self._counts['watches'] += 1
        prefix = request.args['prefix']
        since = int(request.args['since'])
        changes = self._changes(prefix, since)
        with gevent.Timeout(WATCH_SECONDS, exception=False):
            while not changes:
                self._changed.wait()
                changes = self._changes(prefix, since)
        if self._faults.down:
            raise http_exceptions.ServiceUnavailable
        return web.json_response(
            {'revision': self._revision, 'changes': changes}
        )

    def _changes(self, prefix: str, since: int) -> list[dict]:
        return [
            {'key': key, 'version': found.version, 'body': found.body.decode()}
            for key, found in self._stored.items()
            if key.startswith(prefix) and found.revision > since
        ]

    def _set_faults(self, request: Request) -> Response:
        self._faults = Faults(**json.loads(request.get_data()))
        return web.json_response(attrs.asdict(self._faults))

    def _show_counts(self, request: Request) -> Response:
        return web.json_response(dict(self._counts))
