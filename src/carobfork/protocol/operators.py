"""Operators: the HTTP interface that operators use, apart from callers'."""

from collections.abc import Callable

from werkzeug import Request

from carobfork.protocol import responses


class OperatorApplication:
    """Serve the state dump as a WSGI application.

    :param describe: returns the process's state.
    """

    def __init__(self, describe: Callable[[], dict]) -> None:
        """Remember whom to ask."""
        self._describe = describe

    def __call__(self, environ: dict, start_response: Callable):
        """Answer one request."""
        request = Request(environ)
        status = 200
        fields = self._describe()
        if request.path != '/state':
            status = 404
            fields = {'error': f'{request.path} is not served here'}
        return responses.json_response(fields, status)(environ, start_response)
