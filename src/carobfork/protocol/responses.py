"""Responses: JSON answers and errors as HTTP responses."""

import json
import math
from urllib import parse as urls

import structlog
from werkzeug import Request, Response
from werkzeug import exceptions as http_exceptions

from carobfork import clock, exceptions
from carobfork.protocol import headers

MAX_BODY_BYTES = 500_000
JSON_TYPE = 'application/json'
_READ = 'read request'

logger = structlog.get_logger(part='responses')


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


def refusal(request: Request, error: Exception) -> Response:
    """Return the response for whatever a request failed with."""
    known = _as_known(error)
    known.peer = known.peer or f'caller {request.remote_addr}'
    return error_response(known)


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


def _as_known(error: Exception) -> exceptions.CarobforkError:
    if isinstance(error, exceptions.CarobforkError):
        return error
    if isinstance(error, http_exceptions.HTTPException):
        return _bad_http(error)
    logger.error('A request met an unexpected error.', exc_info=error)
    return exceptions.CarobforkError('internal error', step='serve')


def _bad_http(
    error: http_exceptions.HTTPException,
) -> exceptions.BadRequestError:
    if isinstance(error, http_exceptions.RequestEntityTooLarge):
        return exceptions.TooLargeError(
            f'the body exceeds {MAX_BODY_BYTES} bytes', step=_READ
        )
    bad_request = exceptions.BadRequestError(
        error.description or error.name, step=_READ
    )
    bad_request.http_status = error.code
    return bad_request
