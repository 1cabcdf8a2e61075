"""Callers: the HTTP interface that callers use."""

import functools
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs
import structlog
from werkzeug import Request, Response
from werkzeug import exceptions as http_exceptions
from werkzeug.routing import Map, Rule

from carobfork import exceptions, logs
from carobfork.coordination import (
    call_logs,
    calls,
    homes,
    local_requests,
    model_calls,
    program_reapers,
    routing,
    service_calls,
)
from carobfork.protocol import (
    headers,
    program_requests,
    requests,
    responses,
    sse,
)
from carobfork.state import bundles, programs

EVENT_STREAM_TYPE = 'text/event-stream'
MAX_HOPS = 2
MOVE_RETRY_MS = 500
_HTTP_CREATED = 201

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
    gone: program_reapers.ProgramReaper
    forwarder: Forwarder
    notes: call_logs.CallLog
    requests: local_requests.LocalRequests


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
            ],
            merge_slashes=False,
        )

    def __call__(self, environ: dict, start_response: Callable):
        """Answer one request."""
        request = Request(environ)
        caller = _claimed_caller(request)
        logs.begin(
            program=caller.program, call=caller.call, peer=request.remote_addr
        )
        try:
            response = self._route(request)
        except Exception as error:
            self._note_error(request, error)
            response = responses.refusal(request, error)
        else:
            done = exceptions.Outcome.done
            self._parts.notes.count_outcome(
                response.headers.get(headers.OUTCOME, done)
            )
        return response(environ, start_response)

    def _note_error(self, request: Request, error: Exception) -> None:
        if not isinstance(error, exceptions.OverloadedError):
            # In a flood the counter of refusals tells enough.
            logger.info('A request was refused.', error=str(error))
        caller = _claimed_caller(request)
        self._parts.notes.log_error(caller, error)

    def _route(self, request: Request) -> Response:
        request.max_content_length = responses.MAX_BODY_BYTES
        matched = self._urls.bind_to_environ(request.environ).match()
        endpoint, arguments = matched
        program = arguments.get('program') or request.headers.get(
            headers.PROGRAM
        )
        if program:
            requests.check_header(headers.PROGRAM, program)
            address = self._parts.router.resolve(program)
            if address is not None:
                return self._forward(request, address)
        with self._parts.requests.track(program or ''):
            return endpoint(request, **arguments)

    def _forward(self, request: Request, address: bundles.Address) -> Response:
        hops = int(request.headers.get(headers.FORWARDED, '0'))
        if hops >= MAX_HOPS:
            raise exceptions.NotRunError(
                'the program is moving between hosts',
                step='forward',
                retry_after_ms=MOVE_RETRY_MS,
            )
        fields = {
            name: requests.required_header(request, name)
            for name in headers.PASSED_ON
            if request.headers.get(name)
        }
        fields['Content-Type'] = requests.content_type(request)
        fields[headers.FORWARDED] = str(hops + 1)
        try:
            reply = self._parts.forwarder.forward(
                address,
                request.method,
                responses.quoted_path(request),
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
        body = requests.json_object(request)
        kind = requests.text_field(body, 'kind')
        if headers.PROGRAM in request.headers:
            parent = self._authorised(request)
            share = program_requests.share(body)
            opened = self._parts.home.open_sub_agent(parent, kind, share)
        else:
            opened = self._parts.home.open_program(kind)
        return responses.json_response(
            attrs.asdict(opened), status=_HTTP_CREATED
        )

    def _authorised(self, request: Request) -> programs.Program:
        """Return the program that a request's headers name."""
        return self._parts.home.authorise(
            requests.required_header(request, headers.PROGRAM),
            requests.required_header(request, headers.TOKEN),
        )

    def _close(self, request: Request, program: str) -> Response:
        token = requests.required_header(request, headers.TOKEN)
        self._parts.home.authorise(program, token)
        self._parts.gone.close(program, 'closed by its caller')
        return responses.json_response({'program': program})

    def _chat(self, request: Request) -> Response:
        offset = program_requests.offset(request)
        run = self._parts.models.start(requests.model_call(request), offset)
        events = run.read_events()
        if run.answer is not None:
            events = iter([sse.encode_text(run.answer.body.decode())])
        followed = sse.skip_text(events, offset)
        # Waiting for the first event lets a refusal be a plain HTTP error.
        first = next(followed, b'')
        note_error = functools.partial(self._note_error, request)
        events = _closing_with_done(first, followed, note_error)
        return _event_stream(events, run.worker)

    def _service(self, request: Request, service: str, path: str) -> Response:
        call = requests.service_call(request, service, path)
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
    first: bytes,
    followed: Iterator[bytes],
    note_error: Callable[[Exception], None],
) -> Iterator[bytes]:
    """Yield a run's events, then the closing event or the error."""
    try:
        yield first
        yield from followed
    except exceptions.CarobforkError as error:
        note_error(error)
        yield sse.encode_event({'error': responses.error_fields(error)})
    else:
        yield sse.DONE


def _claimed_caller(request: Request) -> call_logs.ClaimedCaller:
    """Return who a request says that it comes from, cut to a bounded size."""
    program, token, call = (
        request.headers.get(name, '')[: requests.MAX_HEADER_CHARACTERS]
        for name in (headers.PROGRAM, headers.TOKEN, headers.CALL)
    )
    return call_logs.ClaimedCaller(program, token, call)
