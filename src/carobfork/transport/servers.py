"""Servers: HTTP listeners that finish their requests before they stop.

The WSGI server waits for connections, and an idle keep-alive connection
never ends. Requests are counted here instead, so that a stop waits for the
requests in progress and for nothing else.
"""

from collections.abc import Callable, Iterator
from types import TracebackType

import gevent
from gevent import event

from carobfork import clock
from carobfork.state import bundles
from carobfork.transport import readers

STOP_TIMEOUT_MS = 30_000
FIRST_REQUEST_TIMEOUT_MS = 500
_POLL_MS = 10


class HttpServer:
    """Serve a WSGI application on one address, as a context manager.

    :param address: where to listen.
    :param application: a WSGI application.
    :param limits: what the listener accepts.
    :param stop_timeout_ms: how long a stop waits for requests in progress.
    """

    def __init__(
        self,
        address: bundles.Address,
        application: Callable,
        limits: readers.Limits | None = None,
        stop_timeout_ms: int = STOP_TIMEOUT_MS,
    ) -> None:
        """Prepare the server; entering it listens."""
        self._stop_timeout_ms = stop_timeout_ms
        self.requests = RequestCounter(application)
        self._server = readers.BoundedServer(
            address, self.requests, limits or readers.Limits()
        )
        self._server.handler_class = _Handler

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
        self.drain()
        self._server.stop(timeout=0)

    def drain(self) -> None:
        """Stop listening and wait for the requests in progress."""
        self.stop_listening()
        self.requests.closing = True
        self.requests.wait_for_first_requests()
        self.requests.wait_until_none(self._stop_timeout_ms)

    def stop_listening(self) -> None:
        """Close the listener once it has accepted every waiting connection.

        A connection that is complete in the kernel but never accepted would
        be reset, and its caller could not tell whether its request ran.
        """
        if self._server.closed:
            return
        self._server.stop_accepting()
        while (accepted := self._server.do_read()) is not None:
            self._server.do_handle(*accepted)
        self._server.close()


class RequestCounter:
    """Count the requests in progress around a WSGI application.

    :param application: the WSGI application.
    """

    def __init__(self, application: Callable) -> None:
        """Start without requests."""
        self.closing = False
        """Whether responses ask their callers to connect anew."""
        self.in_progress = 0
        self.fresh_connections = 0
        """Connections on which no request has arrived yet."""
        self._application = application
        self._none = event.Event()
        self._none.set()

    def __call__(self, environ: dict, start_response: Callable):
        """Answer one request, counted until its response is closed."""

        def respond(status: str, fields: list, *failure):  # noqa: WPS430
            closing = [('Connection', 'close')] if self.closing else []
            return start_response(status, [*fields, *closing], *failure)

        self._enter()
        try:
            body = self._application(environ, respond)
        except BaseException:
            self._leave()
            raise
        return _CountedBody(body, self._leave)

    def wait_until_none(self, timeout_ms: int) -> bool:
        """Wait until no request is in progress; tell whether that came."""
        return self._none.wait(timeout=clock.to_seconds(timeout_ms))

    def wait_for_first_requests(self) -> None:
        """Give accepted connections a moment to send their request."""
        for _ in range(FIRST_REQUEST_TIMEOUT_MS // _POLL_MS):
            if not self.fresh_connections:
                return
            gevent.sleep(clock.to_seconds(_POLL_MS))

    def _enter(self) -> None:
        self.in_progress += 1
        self._none.clear()

    def _leave(self) -> None:
        self.in_progress -= 1
        if not self.in_progress:
            self._none.set()


class _Handler(readers.BoundedHandler):
    """Tell the request counter when a connection's first request is here."""

    def handle(self) -> None:
        """Serve a connection's requests."""
        self._is_fresh = True
        self.server.application.fresh_connections += 1
        try:
            super().handle()
        finally:
            self._note_request()

    def handle_one_response(self) -> None:
        """Answer a request whose head has arrived."""
        self._note_request()
        super().handle_one_response()

    def _note_request(self) -> None:
        if self._is_fresh:
            self._is_fresh = False
            self.server.application.fresh_connections -= 1


class _CountedBody:
    """A response's body that reports when it is closed."""

    def __init__(self, body, on_close: Callable[[], None]) -> None:
        self._body = body
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the body's pieces."""
        return iter(self._body)

    def close(self) -> None:
        """Close the body; the WSGI server calls this once, always."""
        try:
            if hasattr(self._body, 'close'):
                self._body.close()
        finally:
            self._on_close()
