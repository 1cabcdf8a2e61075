"""Backends: stand-ins for the platform's backend servers.

Each counts how often an attempt ran, streams numbered events, and can be
full, slow, or break off where a test says so.
"""

import collections
import json
import socket as sockets
import time

import attrs
import gevent
from gevent import event, pool, pywsgi
from werkzeug import Request, Response
from werkzeug import exceptions as http_exceptions
from werkzeug.routing import Rule

from carobfork_standins import web

EVENTS = 4
LARGE = 'large'
"""End of the paths that are answered with a large body."""
LARGE_BYTES = 1_000_000
_EVENT_SECONDS = 0.005
_HANG_SECONDS = 60
"""Longer than any deadline of the tests."""
_SHED = 503
_MISDIRECTED = 421


@attrs.define
class BackendFaults:
    """What is wrong with a server at the moment."""

    full: bool = False
    break_after: int | None = None
    """Events after which the next streams break off."""
    drop_answer: bool = False
    """Whether calls run and their connections end without an answer."""
    stray_attempt: str = ''
    """Another attempt that the answers echo."""
    delay_ms: int = 0
    hangs: bool = False
    """Whether requests are read and never answered."""
    crashes_on: bytes = b''
    """Body of the requests that end the server."""
    crash_after: int = 0
    """Events of such a request after which it does."""
    silent_ms: int = 0
    """How long the server is silent before it ends."""
    busy_ms: int = 0
    """How long it answers other requests before that."""
    limit_per_s: float | None = None
    """Request limit that the answers name."""
    comments: bool = False
    """Whether comments come between the events of streams."""
    leaving: bool = False
    """Whether all answers say that the server leaves."""
    hang_after: int | None = None
    """Events after which the next streams stop without an end."""
    silent_until: float = 0
    """Monotonic time until which nothing is sent; then all goes on."""


def _is_closed(sock: sockets.socket) -> bool:
    """Tell whether the host has closed a connection."""
    try:
        return not sock._sock.recv(1, sockets.MSG_PEEK | sockets.MSG_DONTWAIT)
    except BlockingIOError:
        return False


def _do_nothing() -> None:
    """Ignore a crash."""


class BackendApplication(web.Application):
    """Serve calls and streams of one server.

    Each event names the version of the software in a comment line.

    :param instance: the server's identifier.
    :param version: the version of its software.
    """

    def __init__(self, instance: str, version: str = 'v1') -> None:
        """Start without calls."""
        super().__init__(
            [
                Rule('/report', endpoint=self._report),
                Rule('/<path:path>', endpoint=self._run),
            ]
        )
        self.started_ms = 1
        self.instance = instance
        self.version = version
        self.faults = BackendFaults()
        self.runs: collections.Counter[str] = collections.Counter()
        # The starts of the processes that an attempt has reached.
        self.reached: dict[str, list[int]] = collections.defaultdict(list)
        self.bodies: dict[str, bytes] = {}
        self.heads: dict[str, dict] = {}
        self.cancelled = 0
        self.arrivals: list[float] = []
        self.run_moments: dict[str, list[float]] = collections.defaultdict(list)
        self.crashes: list[float] = []
        self.deadly_arrivals: list[float] = []
        self.on_crash = _do_nothing
        self._is_speaking = event.Event()
        self._is_speaking.set()

    def restart(self) -> None:
        """Take the place of a new process, which does not leave."""
        self.started_ms += 1
        self.faults.leaving = False

    def pause(self, seconds: float) -> None:
        """Fall silent for a while, then go on."""
        self._is_speaking.clear()
        gevent.spawn_later(seconds, self.resume)

    def resume(self) -> None:
        """Go on after a pause, or as a new process."""
        self._is_speaking.set()

    def _report(self, request: Request) -> Response:
        self._is_speaking.wait()
        response = web.json_response({'Busy': False, 'born': self.started_ms})
        response.headers.extend(self._state_headers())
        return response

    def _run(self, request: Request, path: str) -> Response:
        attempt = request.headers['X-Attempt-Id']
        expected = request.headers.get('X-Expect-Instance')
        if expected != self.instance:
            return Response(
                status=_MISDIRECTED,
                headers={'X-Instance-Id': self.instance},
            )
        self.arrivals.append(time.monotonic())
        if self._is_deadly(request):
            self.deadly_arrivals.append(self.arrivals[-1])
        self._is_speaking.wait()
        if _is_closed(request.environ['backends.socket']):
            return Response(status=_SHED)
        self.reached[attempt].append(self.started_ms)
        if self.faults.full:
            return Response(
                status=_SHED,
                headers={
                    'X-Not-Run': '1',
                    'X-Attempt-Id': attempt,
                    **self._state_headers(),
                },
            )
        self.runs[attempt] += 1
        self.run_moments[attempt].append(self.arrivals[-1])
        self.bodies[attempt] = request.get_data()
        if self._is_deadly(request) and not self.faults.crash_after:
            self._crash(request)
        self.heads[attempt] = dict(request.headers)
        self._delay_answer()
        headers = {
            'X-Attempt-Id': self.faults.stray_attempt or attempt,
            'X-Response-Stamp': f'{self.instance}.{attempt}',
            'X-Server-Load': '1,0,8',
            **self._state_headers(),
        }
        if request.headers.get('Accept') == 'text/event-stream':
            first = int(request.headers.get('Last-Event-Id') or 0) + 1
            return Response(
                self._events(first, request),
                headers=headers,
                content_type='text/event-stream',
            )
        body = json.dumps({'server': self.instance, 'path': path})
        if path.endswith(LARGE):
            body = body.ljust(LARGE_BYTES)
        return Response(body, headers=headers)

    def _is_deadly(self, request: Request) -> bool:
        deadly = self.faults.crashes_on
        return bool(deadly) and request.get_data() == deadly

    def _crash(self, request: Request) -> None:
        """End the server, of which no more is heard from now on."""
        started_ms = self.started_ms
        gevent.sleep(self.faults.busy_ms / 1000)
        if self.started_ms != started_ms:
            gevent.sleep(_HANG_SECONDS)
        self.crashes.append(time.monotonic())
        self._is_speaking.clear()
        gevent.sleep(self.faults.silent_ms / 1000)
        self.on_crash()
        request.environ['backends.socket'].shutdown(sockets.SHUT_RDWR)
        gevent.sleep(_HANG_SECONDS)

    def _state_headers(self) -> dict[str, str]:
        headers = {}
        if self.faults.limit_per_s is not None:
            headers['Server-Limit'] = str(self.faults.limit_per_s)
        if self.faults.leaving:
            headers['Server-Leaving'] = '1'
        return headers

    def _delay_answer(self) -> None:
        gevent.sleep(self.faults.delay_ms / 1000)
        self._wait_while_silent()
        if self.faults.hangs:
            gevent.sleep(_HANG_SECONDS)
        if self.faults.drop_answer:
            raise http_exceptions.BadGateway

    def _events(self, first: int, request: Request):
        finished = False
        crash_after = self.faults.crash_after
        is_deadly = bool(crash_after) and self._is_deadly(request)
        try:
            for number in range(first, EVENTS + 1):
                if is_deadly and number > crash_after:
                    self._crash(request)
                self._is_speaking.wait()
                self._delay_event(number)
                if self.faults.comments:
                    yield b': comment\n\n\n'
                yield (
                    f': {self.version}\nid: {number}\ndata: word{number}\n\n'
                ).encode()
            finished = True
        finally:
            self.cancelled += not finished

    def _delay_event(self, number: int) -> None:
        breaking, hanging = self.faults.break_after, self.faults.hang_after
        if breaking is not None and number > breaking:
            raise ConnectionResetError('broken off by the test')
        if hanging is not None and number > hanging:
            gevent.sleep(_HANG_SECONDS)
        gevent.sleep(_EVENT_SECONDS + self.faults.delay_ms / 1000)
        self._wait_while_silent()

    def _wait_while_silent(self) -> None:
        gevent.sleep(max(0, self.faults.silent_until - time.monotonic()))


class _Handler(pywsgi.WSGIHandler):
    """Handler that lets the application end its connection."""

    def get_environ(self):
        """Return the environment with the connection's socket."""
        return {**super().get_environ(), 'backends.socket': self.socket}


def serve(
    application: BackendApplication, address: tuple[str, int]
) -> pywsgi.WSGIServer:
    """Return a started server of a backend."""
    server = pywsgi.WSGIServer(
        address,
        application,
        log=None,
        error_log=None,
        spawn=pool.Pool(),
        handler_class=_Handler,
    )
    server.start()
    return server
