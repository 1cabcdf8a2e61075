"""Callers: the HTTP interface that callers use."""

import json
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs
import structlog
from werkzeug import Request, Response
from werkzeug import exceptions as http_exceptions
from werkzeug.routing import Map, Rule

from carobfork import exceptions
from carobfork.coordination import (
    calls,
    gone_programs,
    homes,
    model_calls,
    routing,
    service_calls,
)
from carobfork.protocol import headers, responses, sse
from carobfork.state import bundles

DEFAULT_MAX_TOKENS = 1024
MAX_COUNT = 1_000_000_000
EVENT_STREAM_TYPE = 'text/event-stream'
_HTTP_CREATED = 201
_READ = 'read request'

logger = structlog.get_logger(part='callers')


class Forwarder(Protocol):
    """Pass a request on to another host."""

    def forward(
        self,
        address: bundles.Address,
        method: str,
        path: str,
        header_fields: dict[str, str],
        body: bytes,
    ):
        """Return the other host's response once its head is there."""


@attrs.frozen
class CallerParts:
    """What the callers' interface needs from the rest of the host."""

    home: homes.Home
    router: routing.Router
    models: model_calls.ModelCaller
    services: service_calls.ServiceCaller
    gone: gone_programs.GonePrograms
    forwarder: Forwarder


class CallerApplication:
    """Serve callers as a WSGI application.

    :param parts: what the endpoints act upon.
    """

    def __init__(self, parts: CallerParts) -> None:
        """Build the URL map."""
        self._parts = parts
        self._urls = Map(
            [
                Rule(
                    '/v1/addresses', methods=['GET'], endpoint=self._addresses
                ),
                Rule('/v1/programs', methods=['POST'], endpoint=self._open),
                Rule(
                    '/v1/programs/<program>',
                    methods=['DELETE'],
                    endpoint=self._close,
                ),
                Rule(
                    '/v1/chat/completions',
                    methods=['POST'],
                    endpoint=self._chat,
                ),
                Rule(
                    '/v1/services/<service>/<path:path>', endpoint=self._service
                ),
            ]
        )

    def __call__(self, environ: dict, start_response: Callable):
        """Answer one request."""
        response = self._respond(Request(environ))
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        try:
            return self._route(request)
        except exceptions.CarobforkError as error:
            return responses.error_response(error)
        except http_exceptions.HTTPException as error:
            return responses.error_response(responses.bad_http(error))
        except Exception:
            logger.exception('A request met an unexpected error.')
            return responses.error_response(
                exceptions.CarobforkError('internal error', step='serve')
            )

    def _route(self, request: Request) -> Response:
        request.max_content_length = responses.MAX_BODY_BYTES
        matched = self._urls.bind_to_environ(request.environ).match()
        endpoint, arguments = matched
        program = arguments.get('program') or request.headers.get(
            headers.PROGRAM
        )
        if program:
            address = self._parts.router.resolve(program)
            if address is not None:
                return self._forward(request, address)
        return endpoint(request, **arguments)

    def _forward(self, request: Request, address: bundles.Address) -> Response:
        if headers.FORWARDED in request.headers:
            raise exceptions.UnknownProgramError(
                'the program is not homed here', step='forward'
            )
        names = (*headers.PASSED_ON, 'Content-Type')
        fields = {
            name: request.headers[name]
            for name in names
            if name in request.headers
        }
        fields[headers.FORWARDED] = '1'
        try:
            reply = self._parts.forwarder.forward(
                address,
                request.method,
                request.full_path,
                fields,
                request.get_data(),
            )
        except exceptions.ConnectionFailedError as error:
            raise _lost_home(error) from error
        return Response(
            reply.pieces, status=reply.status, headers=reply.headers
        )

    def _addresses(self, request: Request) -> Response:
        answer = self._parts.router.addresses(request.args.get('program', ''))
        return responses.json_response(attrs.asdict(answer))

    def _open(self, request: Request) -> Response:
        body = _json_object(request)
        kind = _text_field(body, 'kind')
        if headers.PROGRAM in request.headers:
            opened = self._open_sub_agent(request, body, kind)
        else:
            opened = self._parts.home.open_program(kind)
        return responses.json_response(
            attrs.asdict(opened), status=_HTTP_CREATED
        )

    def _open_sub_agent(
        self, request: Request, body: dict, kind: str
    ) -> homes.OpenedProgram:
        parent = self._parts.home.authorise(
            request.headers[headers.PROGRAM],
            _required_header(request, headers.TOKEN),
        )
        share = bundles.Budget(
            tokens=_count_field(body, 'tokens'),
            calls=_count_field(body, 'calls'),
            time_ms=_count_field(body, 'time_ms'),
        )
        return self._parts.home.open_sub_agent(parent, kind, share)

    def _close(self, request: Request, program: str) -> Response:
        token = _required_header(request, headers.TOKEN)
        self._parts.home.authorise(program, token)
        self._parts.gone.end(program, 'closed by its caller')
        return responses.json_response({'program': program})

    def _chat(self, request: Request) -> Response:
        offset = _offset(request)
        run = self._parts.models.start(_model_call(request), offset)
        events = run.follow()
        if run.answer is not None:
            events = iter([sse.encode_text(run.answer.body.decode())])
        followed = sse.skip_text(events, offset)
        # Waiting for the first event lets a refusal be a plain HTTP error.
        first = next(followed, b'')
        return _event_stream(_closing_with_done(first, followed), run.worker)

    def _service(self, request: Request, service: str, path: str) -> Response:
        call = calls.ServiceCall(
            program=_required_header(request, headers.PROGRAM),
            token=_required_header(request, headers.TOKEN),
            key=_required_header(request, headers.CALL),
            service=service,
            method=request.method,
            path=f'/{path}',
            body=request.get_data(),
            content_type=request.content_type or responses.JSON_TYPE,
            after=request.headers.get(headers.AFTER, ''),
        )
        answer = self._parts.services.run(call)
        outcome = exceptions.Outcome.done
        if answer.status >= http_exceptions.BadRequest.code:
            outcome = exceptions.Outcome.failed
        return Response(
            answer.body,
            status=answer.status,
            content_type=answer.content_type,
            headers={
                headers.OUTCOME: outcome,
                headers.WORKER: answer.worker,
            },
        )


def _lost_home(
    error: exceptions.ConnectionFailedError,
) -> exceptions.CarobforkError:
    """Return what a failed connection to a program's home means."""
    if error.sent:
        return calls.unknown_outcome(error.peer)
    return exceptions.NotRunError(
        "the program's home cannot be reached",
        step='forward',
        peer=error.peer,
        retry_after_ms=routing.TAKEOVER_RETRY_MS,
    )


def _event_stream(events: Iterator[bytes], worker: str) -> Response:
    return Response(
        events,
        content_type=EVENT_STREAM_TYPE,
        headers={
            headers.OUTCOME: exceptions.Outcome.done,
            headers.WORKER: worker,
        },
    )


def _closing_with_done(
    first: bytes, followed: Iterator[bytes]
) -> Iterator[bytes]:
    """Yield a run's events, then the closing event or the error."""
    try:
        yield first
        yield from followed
    except exceptions.CarobforkError as error:
        yield sse.encode_event({'error': responses.error_fields(error)})
    else:
        yield sse.DONE


def _model_call(request: Request) -> calls.ModelCall:
    body = _json_object(request)
    messages = body.pop('messages', None)
    if not messages or not isinstance(messages, list):
        raise exceptions.BadRequestError(
            '"messages" must be a list that is not empty', step=_READ
        )
    model = _text_field(body, 'model')
    encoded = b','.join(json.dumps(message).encode() for message in messages)
    body.setdefault('max_tokens', DEFAULT_MAX_TOKENS)
    max_tokens = _count_field(body, 'max_tokens')
    return calls.ModelCall(
        program=_required_header(request, headers.PROGRAM),
        token=_required_header(request, headers.TOKEN),
        key=_required_header(request, headers.CALL),
        model=model,
        messages=encoded,
        options=json.dumps(body, sort_keys=True).encode(),
        max_tokens=max_tokens,
        after=request.headers.get(headers.AFTER, ''),
    )


def _json_object(request: Request) -> dict:
    try:
        body = json.loads(request.get_data())
    except ValueError as error:
        raise exceptions.BadRequestError(
            f'the body is not JSON: {error}', step=_READ
        ) from error
    if not isinstance(body, dict):
        raise exceptions.BadRequestError(
            'the body must be a JSON object', step=_READ
        )
    return body


def _text_field(body: dict, name: str) -> str:
    text = body.get(name)
    if not isinstance(text, str) or not text:
        raise exceptions.BadRequestError(
            f'"{name}" must be a text that is not empty', step=_READ
        )
    return text


def _count_field(body: dict, name: str) -> int:
    count = body.get(name)
    known = isinstance(count, int) and not isinstance(count, bool)
    if not known or not 0 < count <= MAX_COUNT:
        raise exceptions.BadRequestError(
            f'"{name}" must be an integer from 1 to {MAX_COUNT}', step=_READ
        )
    return count


def _offset(request: Request) -> int:
    text = request.headers.get(headers.OFFSET, '0')
    if not text.isdecimal():
        raise exceptions.BadRequestError(
            f'header {headers.OFFSET} must be a number of bytes', step=_READ
        )
    return int(text)


def _required_header(request: Request, name: str) -> str:
    text = request.headers.get(name, '')
    if not text:
        raise exceptions.BadRequestError(
            f'header {name} is missing', step=_READ
        )
    return text
