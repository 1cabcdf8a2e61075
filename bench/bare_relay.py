"""A bare relay: pass each request on to one engine, decide nothing.

``python -m bench.bare_relay IP PORT ENGINE_IP ENGINE_PORT`` serves until it
is told to stop.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from werkzeug import Request, Response  # noqa: E402

from carobfork import daemons  # noqa: E402
from carobfork.state import bundles  # noqa: E402
from carobfork.transport import connections, servers  # noqa: E402


class BareRelay:
    """Relay requests as a WSGI application.

    :param engine: where they go.
    """

    def __init__(self, engine: bundles.Address) -> None:
        """Remember the engine."""
        self._engine = engine

    def __call__(self, environ: dict, start_response):
        """Answer one request."""
        request = Request(environ)
        message = connections.HttpRequest(
            request.method, request.path, request.get_data()
        )
        exchange = connections.Exchange(self._engine, message)
        response = Response(_pieces(exchange), content_type='text/event-stream')
        return response(environ, start_response)


def _pieces(exchange: connections.Exchange):
    with exchange:
        yield from exchange.pieces()


def main() -> None:
    """Serve until told to stop."""
    ip, port, engine_ip, engine_port = sys.argv[1:]
    engine = bundles.Address(engine_ip, int(engine_port))
    own = bundles.Address(ip, int(port))
    daemons.run_until_stopped(servers.HttpServer(own, BareRelay(engine)))


if __name__ == '__main__':
    main()
