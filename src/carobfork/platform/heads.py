"""Translate headers of callers and backend servers."""

import contextlib
import math
from collections.abc import Sequence

import msgspec
import structlog

from carobfork import clock, exceptions
from carobfork.gateway import calls, framing, start_lines
from carobfork.platform import names

logger = structlog.get_logger(part='platform')

_MISDIRECTED = 421
_NOT_PASSED_ON = names.SET_BY_SYSTEM.union((names.ATTEMPT, names.LAST_EVENT))
"""Headers of callers that this system sets itself, or encodes apart from the
others."""
_NOT_PASSED_ON_OF_TENANTS = _NOT_PASSED_ON | names.OF_TENANTS
_MAX_DIGITS = 15
"""Most digits of a whole number; larger ones can't be stored."""
_LOAD_COUNTS = 3
"""Running calls, waiting calls and slots; a percentage may follow."""


def decode_call(head: framing.Head) -> calls.Call:
    """Decode the headers of a caller's request.

    Malformed numbers are treated as absent.

    :raises BadRequestError: if the attempt's identifier is missing, or a
        header that must be unique is repeated: the backend server might read
        another one of its values.
    """
    for name in names.UNIQUE:
        if len(head.get_all(name)) > 1:
            raise exceptions.BadRequestError(
                f'the request has several {name} headers', step='decode'
            )
    attempt = head.get(names.ATTEMPT)
    if not attempt:
        raise exceptions.BadRequestError(
            'the request has no X-Attempt-Id header', step='decode'
        )
    prompt, _comma, output = head.get(names.TOKENS).partition(',')
    return calls.Call(
        attempt=attempt,
        deadline_ms=_number(head.get(names.DEADLINE)),
        program=head.get(names.PROGRAM),
        session=head.get(names.SESSION),
        program_deadline_ms=_number(head.get(names.PROGRAM_DEADLINE)),
        budget_tokens=_whole(head.get(names.BUDGET)),
        prompt_tokens=_whole(prompt) or 0,
        output_tokens=_whole(output) or 0,
        previous_turn=head.get(names.PREVIOUS_TURN),
        last_event=head.get(names.LAST_EVENT),
        resumes=head.get(names.RESUMES),
        affinity=_cookie(head.get_all('cookie'), names.AFFINITY_COOKIE),
        prefix=_prefix(head.get(names.PROMPT_PREFIX)),
        keys=tuple(head.get_all(names.API_KEY)),
    )


def encode_request(
    head: framing.Head,
    instance: str,
    left_ms: float,
    body_bytes: int,
    last_event: str,
    tenant: str | None = None,
) -> bytes:
    """Encode the head of a request to a backend server.

    :param head: the head of the caller's request.
    :param instance: the only instance that may run the call.
    :param left_ms: time until the call's deadline.
    :param body_bytes: length of the body.
    :param last_event: identifier of the event after which a stream is to
        continue; empty for its start.
    :param tenant: the tenant that the caller belongs to, empty on routes for
        everyone; ``None`` if there are no tenants.
    """
    method, path, _version = head.first
    fields = [
        ('Host', head.get('host')),
        (names.ATTEMPT_FIELD, head.get(names.ATTEMPT)),
    ]
    hidden = _NOT_PASSED_ON if tenant is None else _NOT_PASSED_ON_OF_TENANTS
    fields.extend(
        (name, text)
        for name, text in head.end_to_end()
        if name.lower() not in hidden
    )
    if last_event:
        fields.append(('Last-Event-Id', last_event))
    fields.append((names.DEADLINE_FIELD, str(max(1, int(left_ms)))))
    fields.append((names.EXPECT_INSTANCE, instance))
    if tenant:
        fields.append((names.TENANT_FIELD, tenant))
    if body_bytes or method not in {'GET', 'HEAD', 'DELETE'}:
        fields.append(('Content-Length', str(body_bytes)))
    return framing.encode_head(f'{method} {path} HTTP/1.1', fields)


def decode_answer(head: framing.Head) -> calls.ServerAnswer:
    """Decode the headers of a backend server's response.

    :raises FramingError: if the first line is not that of a response.
    """
    status = start_lines.response_status(head)
    return calls.ServerAnswer(
        status=status,
        attempt=head.get(names.ATTEMPT),
        not_run=bool(head.get(names.NOT_RUN)) or status == _MISDIRECTED,
        is_elsewhere=status == _MISDIRECTED,
        is_encoded=bool(head.get('content-encoding')),
        load=_load(head.get(names.LOAD)),
        limit_per_s=_rate(head.get(names.LIMIT)),
        idle_ms=_idle_ms(head.get('keep-alive')),
        instance=head.get(names.INSTANCE),
        is_leaving=names.LEAVING_SET in head.get_all(names.LEAVING),
    )


def encode_state_request(instance: str, path: str = '') -> bytes:
    """Encode a request for what a backend server tells of itself.

    :param instance: the server's identifier.
    :param path: the path of its service's health check, or empty for its
        report.
    """
    return framing.encode_head(
        f'GET {path or names.REPORT_PATH} HTTP/1.1', [('Host', instance)]
    )


def decode_report(body: bytes) -> float | None:
    """Return when a backend server started, if it tells.

    :param body: the body of its report.
    :return: Unix time in ms.
    """
    try:
        report = msgspec.json.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        logger.info('report not readable', reason=str(error))
        return None
    started_ms = report.get('born') if isinstance(report, dict) else None
    return started_ms if isinstance(started_ms, int) else None


def _number(text: str) -> float | None:
    with contextlib.suppress(ValueError):
        number = float(text)
        return max(number, 0) if math.isfinite(number) else None
    return None


def _whole(text: str) -> int | None:
    stripped = text.strip()
    is_number = stripped.isascii() and stripped.isdigit()
    if is_number and len(stripped) <= _MAX_DIGITS:
        return int(stripped)
    return None


def _cookie(cookies: Sequence[str], name: str) -> str:
    for cookie in ';'.join(cookies).split(';'):
        known, _equals, text = cookie.strip().partition('=')
        if known == name:
            return text
    return ''


def _prefix(text: str) -> tuple[tuple[str, int], ...]:
    parts = (entry.strip().partition(':') for entry in text.split(','))
    return tuple((name, _whole(length) or 0) for name, _, length in parts)


def _load(text: str) -> calls.ServerLoad | None:
    counts = [_whole(part) for part in text.split(',')]
    if len(counts) < _LOAD_COUNTS or None in counts[:_LOAD_COUNTS]:
        return None
    percent = counts[_LOAD_COUNTS] if len(counts) > _LOAD_COUNTS else None
    return calls.ServerLoad(
        *counts[:_LOAD_COUNTS], percent / 100 if percent else None
    )


def _rate(text: str) -> float | None:
    with contextlib.suppress(ValueError):
        rate = float(text)
        if math.isfinite(rate) and rate >= 0:
            return rate
    return None


def _idle_ms(text: str) -> float | None:
    for option in text.split(','):
        name, _equals, seconds = option.strip().partition('=')
        if name.lower() == 'timeout' and _whole(seconds) is not None:
            return _whole(seconds) * clock.MS_PER_SECOND
    return None
