"""Operators: the HTTP interface that operators use, apart from callers'."""

from collections.abc import Callable
from typing import Protocol

import structlog
from werkzeug import Request, Response
from werkzeug.routing import Map, Rule

from carobfork import logs
from carobfork.protocol import requests, responses

METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
DEFAULT_REASON = 'aborted by an operator'
MAX_REASON_CHARACTERS = 200

logger = structlog.get_logger(part='operators')


class Inspector(Protocol):
    """What operators may see of a process and do to it."""

    def describe_state(self) -> dict:
        """Return the state dump as JSON-ready fields."""

    def render_metrics(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""

    def show_program(self, program: str) -> dict:
        """Return a program's state as JSON-ready fields.

        :raises UnknownProgramError: it is not homed here.
        """

    def explain(self, program: str) -> list[str]:
        """Say in sentences what was decided about a program, and why.

        :raises UnknownProgramError: it is not homed here.
        """

    def abort(self, program: str, reason: str) -> None:
        """End a program.

        :raises UnknownProgramError: it is not homed here.
        """

    def drain(self) -> str:
        """Begin a planned stop and return the incarnation that stops."""


class OperatorApplication:
    """Serve operators as a WSGI application.

    :param inspector: the process.
    """

    def __init__(self, inspector: Inspector) -> None:
        """Build the URL map."""
        self._inspector = inspector
        self._urls = Map(
            [
                _rule('GET', '/state', self._state),
                _rule('GET', '/metrics', self._metrics),
                _rule('GET', '/programs/<program>', self._show),
                _rule('DELETE', '/programs/<program>', self._abort),
                _rule('GET', '/programs/<program>/explanation', self._explain),
                _rule('POST', '/drain', self._drain),
            ],
            merge_slashes=False,
        )

    def __call__(self, environ: dict, start_response: Callable):
        """Answer one request."""
        request = Request(environ)
        logs.begin(peer=request.remote_addr)
        try:
            response = self._route(request)
        except Exception as error:
            response = responses.refusal(request, error)
        return response(environ, start_response)

    def _route(self, request: Request) -> Response:
        matched = self._urls.bind_to_environ(request.environ).match()
        endpoint, arguments = matched
        return endpoint(request, **arguments)

    def _state(self, request: Request) -> Response:
        return responses.json_response(self._inspector.describe_state())

    def _metrics(self, request: Request) -> Response:
        rendered = self._inspector.render_metrics()
        return Response(rendered, content_type=METRICS_TYPE)

    def _show(self, request: Request, program: str) -> Response:
        shown = self._inspector.show_program(_checked(program))
        return responses.json_response(shown)

    def _explain(self, request: Request, program: str) -> Response:
        sentences = self._inspector.explain(_checked(program))
        return responses.json_response(
            {'program': program, 'sentences': sentences}
        )

    def _abort(self, request: Request, program: str) -> Response:
        reason = request.args.get('reason', DEFAULT_REASON)
        reason = reason[:MAX_REASON_CHARACTERS]
        self._inspector.abort(_checked(program), reason)
        logger.info('A program was aborted.', program=program, reason=reason)
        return responses.json_response({'program': program, 'reason': reason})

    def _drain(self, request: Request) -> Response:
        logger.info('An operator drains this host.')
        return responses.json_response({'host': self._inspector.drain()})


def _rule(method: str, path: str, endpoint: Callable) -> Rule:
    return Rule(path, methods=[method], endpoint=endpoint)


def _checked(program: str) -> str:
    requests.check_header('program', program)
    return program
