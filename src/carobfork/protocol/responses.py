"""Responses: JSON answers and errors as HTTP responses."""

import json
import math
from urllib import parse as urls

from werkzeug import Request, Response
from werkzeug import exceptions as http_exceptions

from carobfork import clock, exceptions
from carobfork.protocol import headers

MAX_BODY_BYTES = 500_000
JSON_TYPE = 'application/json'
_READ = 'read request'


def json_response(fields: dict, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(json.dumps(fields), status=status, content_type=JSON_TYPE)


def error_response(error: exceptions.CarobforkError) -> Response:
    """Return the response that tells an error and its outcome class."""
    response = json_response({'error': error_fields(error)}, error.http_status)
    response.headers[headers.OUTCOME] = error.outcome
    if error.retry_after_ms is not None:
        response.headers['Retry-After'] = math.ceil(
            clock.to_seconds(error.retry_after_ms)
        )
    return response


def error_fields(error: exceptions.CarobforkError) -> dict:
    """Return an error's public fields."""
    return {
        'code': error.code,
        'outcome': error.outcome,
        'message': error.message,
        'step': error.step,
        'peer': error.peer,
        'retry_after_ms': error.retry_after_ms,
    }


def quoted_path(request: Request) -> str:
    """Return a request's path and query as they may travel on."""
    path = urls.quote(request.path)
    query = request.query_string.decode('latin-1')
    return f'{path}?{query}' if query else path


def bad_http(
    error: http_exceptions.HTTPException,
) -> exceptions.BadRequestError:
    """Return the error that an HTTP exception stands for."""
    if isinstance(error, http_exceptions.RequestEntityTooLarge):
        return exceptions.TooLargeError(
            f'the body exceeds {MAX_BODY_BYTES} bytes', step=_READ
        )
    bad_request = exceptions.BadRequestError(
        error.description or error.name, step=_READ
    )
    bad_request.http_status = error.code
    return bad_request
