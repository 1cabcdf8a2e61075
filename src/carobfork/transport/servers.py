"""Servers: HTTP listeners that can be closed before they are stopped."""

from collections.abc import Callable
from types import TracebackType

from carobfork import clock
from carobfork.state import bundles
from carobfork.transport import readers

STOP_TIMEOUT_MS = 30_000


class HttpServer:
    """Serve a WSGI application on one address, as a context manager.

    :param address: where to listen.
    :param application: a WSGI application.
    :param limits: what the listener accepts.
    """

    def __init__(
        self,
        address: bundles.Address,
        application: Callable,
        limits: readers.Limits | None = None,
    ) -> None:
        """Prepare the server; entering it listens."""
        self._server = readers.BoundedServer(
            address, application, limits or readers.Limits()
        )

    def traffic(self) -> readers.Traffic:
        """Return what the listener holds and has sent."""
        return self._server.traffic()

    def __enter__(self) -> 'HttpServer':
        """Start listening."""
        self._server.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening and wait for the requests in progress."""
        self._server.stop(timeout=clock.to_seconds(STOP_TIMEOUT_MS))
