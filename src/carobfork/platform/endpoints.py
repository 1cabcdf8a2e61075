"""Serve HTTP endpoints for readiness, host addresses and metrics."""

from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import gevent
import msgspec
import structlog
from gevent import server, socket

from carobfork import clock, exceptions
from carobfork.gateway import (
    call_previews,
    connection_limits,
    framing,
    message_readers,
    rooms,
    servers,
    start_lines,
)

CONNECTION_TIMEOUT_SECONDS = 30
"""Longest life of a connection."""
MAX_CONNECTIONS = 64
"""Open connections of one address; callers ask once and leave."""
WRITE_TIMEOUT_SECONDS = 5
"""A caller that reads nothing for this long is treated as disconnected."""
_UNAVAILABLE = 503
_NOT_FOUND = 404
_HEAD_BYTES = 16_384
_JSON = 'application/json'

Answer = tuple[int, str, bytes]
Endpoint = Callable[[Mapping[str, str], str], Answer]
"""Called with the fields of the query and the IP address that they came from;
returns status, type and body."""

logger = structlog.get_logger(part='endpoints')


class EndpointServer:
    """HTTP server of endpoints on one address.

    :param address: IP address and port to listen on.
    :param endpoints: the endpoints by path.
    """

    def __init__(
        self, address: tuple[str, int], endpoints: dict[str, Endpoint]
    ) -> None:
        """Create the listener without opening it."""
        self._endpoints = endpoints
        self._connections = connection_limits.ConnectionLimiter(
            MAX_CONNECTIONS, clock.SystemClock()
        )
        self._server = server.StreamServer(address, self._serve)
        self._server.max_accept = connection_limits.MAX_ACCEPTS

    def start(self) -> None:
        """Start listening."""
        self._server.init_socket()
        rooms.bound_listener(self._server.socket, rooms.MIN_BUFFER_BYTES)
        self._server.start()

    def stop(self) -> None:
        """Close the listener."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, address: tuple) -> None:
        with self._connections.admit(sock) as is_admitted:
            if is_admitted:
                self._serve_requests(sock, address[0])

    def _serve_requests(self, sock: socket.socket, peer_ip: str) -> None:
        reader = message_readers.Reader(sock)
        try:
            rooms.bound_buffers(sock, rooms.MIN_BUFFER_BYTES)
            with gevent.Timeout(CONNECTION_TIMEOUT_SECONDS, exception=False):
                is_open = True
                while is_open:
                    is_open = self._serve_one(sock, reader, peer_ip)
                    # More requests may have arrived already.
                    gevent.sleep(0)
        except (OSError, EOFError, exceptions.BadRequestError) as error:
            logger.debug('connection ended', reason=str(error))

    def _serve_one(
        self,
        sock: socket.socket,
        reader: message_readers.Reader,
        peer_ip: str,
    ) -> bool:
        with self._connections.wait(sock, self._connections.in_head):
            head = reader.read_head(_HEAD_BYTES)
        if head is None:
            return False
        start_lines.check_request(head)
        url = urlsplit(head.first[1])
        endpoint = self._endpoints.get(url.path)
        if endpoint is None:
            status, kind, body = _NOT_FOUND, 'text/plain', b'no such page\n'
        else:
            status, kind, body = endpoint(dict(parse_qsl(url.query)), peer_ip)
        phrase = servers.REASON_PHRASES.get(status, 'Status')
        fields = [('Content-Type', kind), ('Content-Length', str(len(body)))]
        answer = framing.encode_head(f'HTTP/1.1 {status} {phrase}', fields)
        self._write(sock, answer + body)
        return head.keeps_open

    def _write(self, sock: socket.socket, payload: bytes) -> None:
        sock.settimeout(WRITE_TIMEOUT_SECONDS)
        with self._connections.wait(sock, self._connections.unread):
            sock.sendall(payload)
        sock.settimeout(None)


def ready_endpoint(is_ready: Callable[[], bool]) -> dict[str, Endpoint]:
    """Return the endpoint that tells whether this process is ready.

    :param is_ready: called for each request.
    """

    def answer(  # noqa: WPS430
        _query: Mapping[str, str], _peer_ip: str
    ) -> Answer:
        if is_ready():
            return 200, 'text/plain', b'ready\n'
        return _UNAVAILABLE, 'text/plain', b'not ready\n'

    return {'/ready': answer}


def directory_endpoint(
    addresses: Callable[[str, str], list[str]], ttl_ms: float
) -> dict[str, Endpoint]:
    """Return the endpoint that tells callers where to connect.

    :param addresses: returns the addresses for a caller, by its failure domain
        and its IP address.
    :param ttl_ms: how long callers may keep the answer.
    """

    def answer(  # noqa: WPS430
        query: Mapping[str, str], peer_ip: str
    ) -> Answer:
        found = addresses(query.get('Zone', ''), peer_ip)
        if not found:
            return _UNAVAILABLE, 'text/plain', b'no host is ready\n'
        # TtlS is for how many whole seconds callers keep the answer.
        body = {'Addresses': found, 'TtlS': max(1, int(ttl_ms // 1000))}
        return 200, _JSON, msgspec.json.encode(body)

    return {'/resolve': answer}


def explain_endpoint(
    explain: Callable[[call_previews.PreviewRequest], dict[str, Any]],
) -> dict[str, Endpoint]:
    """Return the endpoint that explains where a call would go.

    :param explain: called for each request.
    """

    def answer(  # noqa: WPS430
        query: Mapping[str, str], _peer_ip: str
    ) -> Answer:
        request = call_previews.PreviewRequest(
            query.get('host', ''),
            query.get('path', ''),
            query.get('program', ''),
            query.get('tenant', ''),
        )
        try:
            return 200, _JSON, msgspec.json.encode(explain(request))
        except exceptions.CarobforkError as error:
            fields = {
                'code': error.code,
                'message': error.message,
                'step': error.step,
                'peer': error.peer,
                'outcome': error.outcome.value,
                'retry_after_ms': error.retry_after_ms,
            }
            body = msgspec.json.encode({'error': fields})
            return error.http_status, _JSON, body

    return {'/explain': answer}


def metrics_endpoint(render: Callable[[], bytes]) -> dict[str, Endpoint]:
    """Return the endpoint of a process's metrics.

    :param render: returns the metrics in the Prometheus text format.
    """

    def answer(  # noqa: WPS430
        _query: Mapping[str, str], _peer_ip: str
    ) -> Answer:
        return 200, 'text/plain; version=0.0.4', render()

    return {'/metrics': answer}
