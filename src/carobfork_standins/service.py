"""Service: a stand-in for a plain service.

It counts how often each call really ran, and can hang, be slow, or drop
the connection after a call has run.
"""

import collections
import json

import attrs
import gevent
from werkzeug import Request, Response
from werkzeug import exceptions as http_exceptions
from werkzeug.routing import Rule

from carobfork import clock
from carobfork.state import bundles
from carobfork.transport import departures
from carobfork_standins import web


@attrs.frozen
class ServiceSettings:
    """Settings of the service stand-in."""

    name: str
    address: bundles.Address


@attrs.define
class Faults:
    """What is wrong with the service at the moment."""

    delay_before_ms: int = 0
    delay_after_ms: int = 0
    failing_status: int = 0
    leaving: int = 0
    """Whether calls are refused because the server leaves."""


class ServiceApplication(web.Application):
    """Serve any operation and count the calls.

    :param settings: name and address.
    """

    def __init__(self, settings: ServiceSettings) -> None:
        """Start without calls."""
        super().__init__(
            [
                Rule('/faults', methods=['PUT'], endpoint=self._set_faults),
                Rule('/counts', methods=['GET'], endpoint=self._show_counts),
                Rule('/<path:path>', endpoint=self._run),
            ]
        )
        self._name = settings.name
        self._counts: collections.Counter[str] = collections.Counter()
        self._faults = Faults()

    def describe_state(self) -> dict:
        """Return how many calls ran and the faults."""
        return {
            'server': self._name,
            'calls': len(self._counts),
            'runs': self._counts.total(),
            'faults': attrs.asdict(self._faults),
        }

    def _run(self, request: Request, path: str) -> Response:
        faults = self._faults
        if faults.leaving:
            return Response(status=503, headers={departures.HEADER: '1'})
        gevent.sleep(clock.to_seconds(faults.delay_before_ms))
        key = request.headers.get('Idempotency-Key', '')
        self._counts[key] += 1
        gevent.sleep(clock.to_seconds(faults.delay_after_ms))
        if faults.failing_status:
            http_exceptions.abort(faults.failing_status)
        return web.json_response(
            {
                'server': self._name,
                'operation': path,
                'request': request.get_data(as_text=True),
                'run': self._counts[key],
            }
        )

    def _set_faults(self, request: Request) -> Response:
        self._faults = Faults(**json.loads(request.get_data()))
        return web.json_response(attrs.asdict(self._faults))

    def _show_counts(self, request: Request) -> Response:
        return web.json_response(dict(self._counts))
