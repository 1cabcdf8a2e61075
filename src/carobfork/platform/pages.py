"""Decode answers of the platform's store although parts can't be read.

Several writers share the store. A value that no decoder accepts, such as a
number beyond every range or text that is no UTF-8, must not hide the objects of
the other writers.
"""

import re
from typing import Any

import msgspec
import structlog

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]+|[\]}]+|,', re.DOTALL)
_MEMBER = re.compile(rb'\s*("(?:[^"\\]|\\.)*")\s*:(.*)', re.DOTALL)
_UNREADABLE = (msgspec.MsgspecError, RecursionError, ValueError)

logger = structlog.get_logger(part='platform')


def decode_page(content: bytes, levels: int) -> Any:
    """Decode a JSON value; parts of it that can't be read become ``None``.

    :param content: the encoded value.
    :param levels: how many levels of maps and lists are decoded part by part
        if they can't be read as a whole.
    :raises ValueError: if a map or list is not closed.
    """
    try:
        return msgspec.json.decode(content)
    except _UNREADABLE as error:
        logger.warning(
            'value not readable',
            reason=str(error),
            length_bytes=len(content),
            levels=levels,
        )
    stripped = content.strip()
    if levels and stripped.startswith(b'['):
        return [decode_page(part, levels - 1) for part in _split(stripped)]
    if levels and stripped.startswith(b'{'):
        return _decode_members(_split(stripped), levels - 1)
    return None


def _decode_members(parts: list[bytes], levels: int) -> dict[str, Any] | None:
    members = {}
    for part in parts:
        found = _MEMBER.match(part)
        key = found and decode_page(found.group(1), 0)
        if key is None:
            return None
        members[key] = decode_page(found.group(2), levels)
    return members


def _split(encoded: bytes) -> list[bytes]:
    """Return the encoded members of a map or list.

    Brackets are only counted, since nested values may be nested too deeply to
    be parsed.

    :raises ValueError: if it is not closed.
    """
    parts: list[bytes] = []
    start, depth = 1, 0
    for token in _TOKEN.finditer(encoded, 1):
        depth += _depth_change(token.group())
        if depth < 0:
            parts.append(encoded[start : token.end() + depth])
            return parts
        if token.group() == b',' and not depth:
            parts.append(encoded[start : token.start()])
            start = token.end()
    raise ValueError('a map or list is not closed')


def _depth_change(token: bytes) -> int:
    if token[:1] in b'[{':
        return len(token)
    return -len(token) if token[:1] in b']}' else 0
