"""Platforms: the client of the platform's object API.

Objects live under ``/objects/<key>``; their versions are entity tags, and
updates are conditional on them.
"""

import json
from urllib import parse as urls

from carobfork import exceptions
from carobfork.coordination import ports
from carobfork.state import bundles
from carobfork.transport import connections

REQUEST_TIMEOUT_MS = 2000
WATCH_TIMEOUT_MS = 30_000
_NOT_FOUND = 404
_CONFLICT = 412
_CLIENT_ERROR = 400
_PEER = 'platform'
_TAG = 'ETag'


class HttpObjectStore:
    """Reach the platform's object API over HTTP.

    :param address: the platform's address.
    """

    def __init__(self, address: bundles.Address) -> None:
        """Remember the address; each request connects anew."""
        self._address = address

    def fetch(self, key: str) -> ports.StoredObject | None:
        """Return an object, or nothing where it does not exist."""
        with self._exchange('GET', _object_path(key)) as exchange:
            if exchange.status == _NOT_FOUND:
                return None
            self._require_success(exchange)
            return ports.StoredObject(key, _version(exchange), exchange.read())

    def update(self, key: str, body: bytes, expected_version: int) -> int:
        """Replace an object of this version and return the new version."""
        condition = {'If-None-Match': '*'}
        if expected_version:
            condition = {'If-Match': f'"{expected_version}"'}
        with self._exchange('PUT', _object_path(key), body, condition) as reply:
            if reply.status == _CONFLICT:
                raise exceptions.ConflictError(
                    f'another version of {key} is in force',
                    current_version=_version(reply),
                    step='update',
                    peer=_PEER,
                )
            self._require_success(reply)
            return _version(reply)

    def delete(self, key: str) -> None:
        """Remove an object if it exists."""
        with self._exchange('DELETE', _object_path(key)) as exchange:
            if exchange.status != _NOT_FOUND:
                self._require_success(exchange)

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that start with ``prefix``, sorted."""
        query = urls.urlencode({'prefix': prefix})
        with self._exchange('GET', f'/objects?{query}') as exchange:
            self._require_success(exchange)
            return json.loads(exchange.read())['keys']

    def watch(
        self, prefix: str, since_revision: int
    ) -> tuple[int, list[ports.StoredObject]]:
        """Wait for changes after a revision."""
        query = urls.urlencode({'prefix': prefix, 'since': since_revision})
        with self._exchange('GET', f'/watch?{query}') as exchange:
            self._require_success(exchange)
            reply = json.loads(exchange.read())
        changes = [
            ports.StoredObject(
                change['key'], change['version'], change['body'].encode()
            )
            for change in reply['changes']
        ]
        return reply['revision'], changes

    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> '_PlatformExchange':
        timeout_ms = REQUEST_TIMEOUT_MS
        if path.startswith('/watch'):
            timeout_ms = WATCH_TIMEOUT_MS
        request = connections.HttpRequest(
            method, path, body, headers or {}, timeout_ms
        )
        return _PlatformExchange(self._address, request)

    def _require_success(self, exchange: connections.Exchange) -> None:
        if exchange.status >= _CLIENT_ERROR:
            raise exceptions.PlatformError(
                f'the platform answered {exchange.status}',
                step='exchange',
                peer=_PEER,
            )


class _PlatformExchange(connections.Exchange):
    """An exchange whose failures are the platform's."""

    def _failure(self, message: str) -> exceptions.CarobforkError:
        return exceptions.PlatformError(message, step='exchange', peer=_PEER)


def _object_path(key: str) -> str:
    return f'/objects/{urls.quote(key)}'


def _version(exchange: connections.Exchange) -> int:
    return int(exchange.header(_TAG).strip('"') or 0)
