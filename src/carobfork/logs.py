"""Logs: JSON lines or readable text, with a call's identity as fields.

Each module's logger has a fixed ``part``. Program, call, attempt and peer
are bound once a call and appear in each line logged for it. Fields that
could hold what programs say, or secrets, are replaced.
"""

import contextvars
from collections.abc import Callable, MutableMapping
from typing import Any

import gevent
import structlog

REDACTED = '[redacted]'
SECRET_FIELDS = frozenset(
    (
        'answer',
        'body',
        'events',
        'history',
        'messages',
        'prompt',
        'secret',
        'signature',
        'text',
        'token',
    )
)
_LEADING = ('timestamp', 'level', 'part', 'event')

Event = MutableMapping[str, Any]


def redact_secrets(_logger: object, _method: str, event: Event) -> Event:
    """Replace fields that may hold secrets or what programs say."""
    for name in SECRET_FIELDS.intersection(event):
        event[name] = REDACTED
    return event


def order_fields(_logger: object, _method: str, event: Event) -> Event:
    """Put time, level, part and event before the other fields."""
    leading = {name: event[name] for name in _LEADING if name in event}
    return {**leading, **event}


def prefix_part(_logger: object, _method: str, event: Event) -> Event:
    """Put the part before the event, for readable text."""
    event['event'] = f'{event.pop("part", "-")}: {event["event"]}'
    return event


def _json_processors() -> list[Callable]:
    return [
        structlog.processors.format_exc_info,
        order_fields,
        structlog.processors.JSONRenderer(default=str),
    ]


def _text_processors() -> list[Callable]:
    renderer = structlog.dev.ConsoleRenderer(
        colors=False, exception_formatter=structlog.dev.plain_traceback
    )
    return [prefix_part, renderer]


FORMATS: dict[str, Callable] = {  # noqa: WPS407
    'json': _json_processors,
    'text': _text_processors,
}


def configure(log_format: str) -> None:
    """Write logs in a format.

    :param log_format: one of ``FORMATS``.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            redact_secrets,
            *FORMATS[log_format](),
        ],
        cache_logger_on_first_use=True,
    )


def begin(**fields: str) -> None:
    """Bind what identifies a request, dropping the last one's fields."""
    structlog.contextvars.clear_contextvars()
    bind(**fields)


def bind(**fields: str) -> None:
    """Bind fields to all further lines of this greenlet, if not empty."""
    known = {name: text for name, text in fields.items() if text}
    structlog.contextvars.bind_contextvars(**known)


def spawn(task: Callable, *arguments) -> gevent.Greenlet:
    """Start a greenlet whose log lines carry this one's fields."""
    greenlet = gevent.Greenlet(task, *arguments)
    greenlet.gr_context = contextvars.copy_context()
    greenlet.start()
    return greenlet
