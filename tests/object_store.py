"""Object store: a stand-in for the platform's store of objects.

It lists in pages, watches, and makes conditional writes. Tests make it
unreachable, let it lose answers, or drop its history.
"""

import collections
import json

import attrs
import gevent
from gevent import event, pywsgi
from werkzeug import Request, Response
from werkzeug import exceptions as http_exceptions
from werkzeug.routing import Rule

from carobfork_standins import web

PAGE = 50
_CREATED = 201


@attrs.define
class StoreFaults:
    """What is wrong with the store at the moment."""

    down: bool = False
    lost_answers: int = 0
    """How many of the next writes are made without an answer."""


class ObjectStoreApplication(web.Application):
    """Serve objects by kind and name."""

    def __init__(self) -> None:
        """Start without objects, at a revision above 0."""
        super().__init__(
            [
                Rule('/objects/<kind>', methods=['GET'], endpoint=self._list),
                Rule(
                    '/objects/<kind>', methods=['POST'], endpoint=self._create
                ),
                Rule(
                    '/objects/<kind>/<name>',
                    methods=['GET'],
                    endpoint=self._fetch,
                ),
                Rule(
                    '/objects/<kind>/<name>',
                    methods=['PUT'],
                    endpoint=self._replace,
                ),
                Rule(
                    '/objects/<kind>/<name>/status',
                    methods=['PUT'],
                    endpoint=self._replace_status,
                ),
                Rule(
                    '/objects/<kind>/<name>',
                    methods=['DELETE'],
                    endpoint=self._remove,
                ),
            ]
        )
        self.faults = StoreFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._stored: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, bool, dict]] = []
        self._oldest = 0
        self._revision = 7
        self._changed = event.Event()
        self._encoded: dict[str, str] = {}

    def answer(self, request: Request) -> Response:
        """Apply the faults, then answer."""
        self.calls[request.method] += 1
        if self.faults.down:
            raise http_exceptions.ServiceUnavailable
        response = super().answer(request)
        if request.method != 'GET' and self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise http_exceptions.GatewayTimeout
        for marker, text in self._encoded.items():
            response.set_data(
                response.get_data().replace(
                    json.dumps(marker).encode(), text.encode('latin-1')
                )
            )
        return response

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as the operator or a backend server does."""
        known = self._stored.get((kind, name))
        self._store(kind, name, spec, known['Status'] if known else None)

    def put_encoded(self, kind: str, name: str, text: str) -> None:
        """Write an object whose content no encoder of this stand-in makes.

        :param text: the encoded content.
        """
        marker = f'@encoded {len(self._encoded)}@'
        self._encoded[marker] = text
        self.put(kind, name, marker)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        removed = self._stored.pop((kind, name))
        self._revision += 1
        self._note(kind, True, removed)

    def get(self, kind: str, name: str) -> dict | None:
        """Return an object, if it exists."""
        return self._stored.get((kind, name))

    def compact(self) -> None:
        """Drop the history and cut the watches."""
        self._oldest = self._revision
        self._history.clear()
        self._wake()

    def _store(self, kind: str, name: str, spec, status) -> dict:
        self._revision += 1
        known = self._stored.get((kind, name))
        created = known['Metadata']['Created'] if known else self._revision
        meta = {
            'Name': name,
            'Rev': self._revision,
            'Created': created,
            'Finalizers': [],
            'Deleting': False,
        }
        stored = {'Metadata': meta, 'Spec': spec, 'Status': status}
        self._stored[(kind, name)] = stored
        self._note(kind, False, stored)
        return stored

    def _note(self, kind: str, is_removed: bool, stored: dict) -> None:
        self._history.append((self._revision, kind, is_removed, stored))
        self._wake()

    def _wake(self) -> None:
        changed = self._changed
        self._changed = event.Event()
        changed.set()

    def _list(self, request: Request, kind: str) -> Response:
        if 'Watch' in request.args:
            return self._watch(request, kind)
        after = request.args.get('after', '')
        names = sorted(
            name
            for known, name in self._stored
            if known == kind and name > after
        )
        return web.json_response(
            {
                'items': [self._stored[(kind, name)] for name in names[:PAGE]],
                'MorePages': len(names) > PAGE,
                'CurrentRev': self._revision,
            }
        )

    def _watch(self, request: Request, kind: str) -> Response:
        since = int(request.args['Watch'])
        wait_seconds = int(request.args.get('WaitMs', 0)) / 1000
        with gevent.Timeout(wait_seconds, exception=False):
            while not self._events(kind, since):
                self._changed.wait()
        return web.json_response(
            {
                'events': self._events(kind, since),
                'CurrentRev': self._revision,
            }
        )

    def _events(self, kind: str, since: int) -> list[dict]:
        if since < self._oldest:
            raise http_exceptions.Gone
        return [
            {'Object': stored, 'Removed': is_removed}
            for revision, known, is_removed, stored in self._history
            if known == kind and revision > since
        ]

    def _fetch(self, request: Request, kind: str, name: str) -> Response:
        return web.json_response(self._known(kind, name))

    def _create(self, request: Request, kind: str) -> Response:
        fields = json.loads(request.get_data())
        name = fields['Metadata']['Name']
        known = self._stored.get((kind, name))
        if known is not None:
            return web.json_response(known, 409)
        created = self._store(kind, name, fields.get('Spec'), None)
        return web.json_response(created, _CREATED)

    def _replace(self, request: Request, kind: str, name: str) -> Response:
        known = self._known(kind, name)
        fields = json.loads(request.get_data())
        if self._is_outdated(fields, known):
            return web.json_response(known, 409)
        return web.json_response(
            self._store(kind, name, fields['Spec'], known['Status'])
        )

    def _replace_status(
        self, request: Request, kind: str, name: str
    ) -> Response:
        known = self._known(kind, name)
        fields = json.loads(request.get_data())
        if self._is_outdated(fields, known):
            return web.json_response(known, 409)
        return web.json_response(
            self._store(kind, name, known['Spec'], fields['Status'])
        )

    def _remove(self, request: Request, kind: str, name: str) -> Response:
        known = self._known(kind, name)
        self.remove(kind, name)
        return web.json_response(known)

    def _known(self, kind: str, name: str) -> dict:
        if (kind, name) not in self._stored:
            raise http_exceptions.NotFound
        return self._stored[(kind, name)]

    def _is_outdated(self, fields: dict, known: dict) -> bool:
        expected = fields['Metadata'].get('Rev')
        return expected is not None and expected != known['Metadata']['Rev']


def serve(
    application: ObjectStoreApplication, address: tuple[str, int]
) -> pywsgi.WSGIServer:
    """Return a started server of a store."""
    server = pywsgi.WSGIServer(address, application, log=None)
    server.start()
    return server
