"""Requests: what callers send, checked field by field."""

import json
import re
from typing import NoReturn

import msgspec
from werkzeug import Request

from carobfork import exceptions
from carobfork.coordination import calls
from carobfork.protocol import headers, responses

DEFAULT_MAX_TOKENS = 1024
MAX_TOKENS_LIMIT = 1_000_000
MAX_MESSAGES = 1000
MAX_HEADER_CHARACTERS = 200
_READ = 'read request'
_VISIBLE = re.compile(r'[!-~]+')
_CONTENT_TYPE = re.compile(r'[ -~]+')


def model_call(request: Request) -> calls.ModelCall:
    """Return the model call that a request asks for.

    :raises BadRequestError: a header or a field is wrong.
    """
    body = json_object(request)
    messages = _messages(body)
    if body.setdefault('stream', True) is not True:
        refuse('"stream" must be true: answers are always streamed')
    max_tokens = body.setdefault('max_tokens', DEFAULT_MAX_TOKENS)
    require_count('max_tokens', max_tokens, MAX_TOKENS_LIMIT)
    return calls.ModelCall(
        program=required_header(request, headers.PROGRAM),
        token=required_header(request, headers.TOKEN),
        key=required_header(request, headers.CALL),
        model=text_field(body, 'model'),
        messages=messages,
        options=json.dumps(body, sort_keys=True).encode(),
        max_tokens=max_tokens,
        after=request.headers.get(headers.AFTER, ''),
    )


def service_call(
    request: Request, service: str, path: str
) -> calls.ServiceCall:
    """Return the service call that a request asks for.

    :param path: the operation's path, without the leading slash.
    :raises BadRequestError: a header is wrong.
    """
    return calls.ServiceCall(
        program=required_header(request, headers.PROGRAM),
        token=required_header(request, headers.TOKEN),
        key=required_header(request, headers.CALL),
        service=service,
        method=request.method,
        path=f'/{path}',
        body=request.get_data(),
        content_type=content_type(request),
        after=request.headers.get(headers.AFTER, ''),
    )


def json_object(request: Request) -> dict:
    """Return a request's body as a JSON object.

    :raises BadRequestError: it is something else.
    """
    try:
        body = msgspec.json.decode(request.get_data())
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise exceptions.BadRequestError(
            f'the body is not JSON: {error}', step=_READ
        ) from error
    if not isinstance(body, dict):
        refuse('the body must be a JSON object')
    return body


def text_field(body: dict, name: str) -> str:
    """Return a field that must be a text.

    :raises BadRequestError: it is missing, empty or something else.
    """
    text = body.get(name)
    if not isinstance(text, str) or not text:
        refuse(f'"{name}" must be a text that is not empty')
    return text


def required_header(request: Request, name: str) -> str:
    """Return a header that must be there.

    :raises BadRequestError: it is missing, too long or has blanks.
    """
    text = request.headers.get(name, '')
    if not text:
        refuse(f'header {name} is missing')
    check_header(name, text)
    return text


def check_header(name: str, text: str) -> None:
    """Check that a header is short and has visible ASCII only.

    :raises BadRequestError: it has other characters or too many.
    """
    if len(text) > MAX_HEADER_CHARACTERS or not _VISIBLE.fullmatch(text):
        refuse(
            f'{name} must be 1 to {MAX_HEADER_CHARACTERS} '
            'visible ASCII characters'
        )


def content_type(request: Request) -> str:
    """Return a request's content type, JSON where it gives none.

    :raises BadRequestError: it has characters that no header may have.
    """
    text = request.content_type or responses.JSON_TYPE
    if len(text) > MAX_HEADER_CHARACTERS or not _CONTENT_TYPE.fullmatch(text):
        refuse('header Content-Type is malformed')
    return text


def _messages(body: dict) -> bytes:
    messages = body.pop('messages', None)
    if not messages or not isinstance(messages, list):
        refuse('"messages" must be a list that is not empty')
    if len(messages) > MAX_MESSAGES:
        refuse(f'"messages" holds more than {MAX_MESSAGES}')
    for position, message in enumerate(messages):
        _check_message(position, message)
    return b','.join(json.dumps(message).encode() for message in messages)


def _check_message(position: int, message: object) -> None:
    name = f'messages[{position}]'
    if not isinstance(message, dict):
        refuse(f'"{name}" must be an object')
    if not isinstance(message.get('role'), str):
        refuse(f'"{name}.role" must be a text')
    if not isinstance(message.get('content', ''), str | list | None):
        refuse(f'"{name}.content" must be a text or a list of parts')


def require_count(name: str, count: object, highest: int) -> None:
    """Check that a field is a whole number from 1 on.

    :raises BadRequestError: it is not.
    """
    is_whole = isinstance(count, int) and not isinstance(count, bool)
    if not is_whole or not 1 <= count <= highest:
        refuse(f'"{name}" must be a whole number from 1 to {highest}')


def refuse(message: str) -> NoReturn:
    """Refuse a request.

    :raises BadRequestError: always.
    """
    raise exceptions.BadRequestError(message, step=_READ)
