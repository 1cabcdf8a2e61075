"""Forwarders: pass a caller's request on to the program's home."""

from collections.abc import Iterator, Mapping

import attrs

from carobfork.protocol import headers
from carobfork.state import bundles
from carobfork.transport import connections

FORWARD_TIMEOUT_MS = 60_000


@attrs.frozen
class ForwardedReply:
    """A response whose body is still coming."""

    status: int
    headers: dict[str, str]
    pieces: Iterator[bytes]


class HttpForwarder:
    """Pass requests on over HTTP, each sent once."""

    def forward(
        self,
        address: bundles.Address,
        method: str,
        path: str,
        fields: Mapping[str, str],
        body: bytes,
    ) -> ForwardedReply:
        """Send a request and return the response once its head is there.

        :raises ConnectionFailedError: no response came.
        """
        request = connections.HttpRequest(
            method, path, body, fields, FORWARD_TIMEOUT_MS
        )
        pieces = _relay(connections.Exchange(address, request))
        exchange = next(pieces)
        names = ('Content-Type', headers.OUTCOME, headers.WORKER, 'Retry-After')
        kept = {name: exchange.header(name) for name in names}
        return ForwardedReply(
            status=exchange.status,
            headers={name: text for name, text in kept.items() if text},
            pieces=pieces,
        )


def _relay(exchange: connections.Exchange) -> Iterator:
    """Yield the exchange once it is open, then its body."""
    with exchange:
        yield exchange
        yield from exchange.pieces()
