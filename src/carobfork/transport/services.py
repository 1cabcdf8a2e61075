"""Services: the client of plain services."""

from carobfork.coordination import ports
from carobfork.state import bundles
from carobfork.transport import connections, departures


class HttpServiceBackend:
    """Reach plain services over HTTP, each request sent once."""

    def send(
        self,
        server: bundles.Server,
        request: ports.ServiceRequest,
        timeout_ms: int,
    ) -> ports.ServiceReply:
        """Send a request once and wait for its answer."""
        message = connections.HttpRequest(
            method=request.method,
            path=request.path,
            body=request.body,
            headers={
                'Content-Type': request.content_type,
                'Idempotency-Key': request.call,
            },
            read_timeout_ms=timeout_ms,
        )
        with connections.Exchange(server.address, message) as exchange:
            departures.require_staying(exchange, server.name)
            return ports.ServiceReply(
                status=exchange.status,
                body=exchange.read(),
                content_type=exchange.header('Content-Type'),
                leaving=departures.is_leaving(exchange),
            )
