"""Web: the frame of the stand-ins' HTTP interfaces."""

import json
from collections.abc import Callable, Sequence

from werkzeug import Request, Response
from werkzeug import exceptions as http_exceptions
from werkzeug.routing import Map, Rule


class Application:
    """Serve a stand-in's endpoints as a WSGI application.

    :param rules: the endpoints; each is called with the request.
    """

    def __init__(self, rules: Sequence[Rule]) -> None:
        """Build the URL map."""
        state = Rule('/state', methods=['GET'], endpoint=self._show_state)
        self._urls = Map([state, *rules])

    def __call__(self, environ: dict, start_response: Callable):
        """Answer one request."""
        request = Request(environ)
        try:
            response = self.answer(request)
        except http_exceptions.HTTPException as error:
            response = error.get_response()
        return response(environ, start_response)

    def answer(self, request: Request) -> Response:
        """Call the endpoint that a request names."""
        endpoint, arguments = self._urls.bind_to_environ(
            request.environ
        ).match()
        return endpoint(request, **arguments)

    def describe_state(self) -> dict:
        """Return the stand-in's state as JSON-ready fields."""
        return {}

    def _show_state(self, request: Request) -> Response:
        return json_response(self.describe_state())


def json_response(fields, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(
        json.dumps(fields), status=status, content_type='application/json'
    )
