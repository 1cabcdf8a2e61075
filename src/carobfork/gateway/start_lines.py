"""Check the first lines of HTTP/1 requests and responses."""

from carobfork.gateway import framing

_TARGET_CHARACTERS = frozenset(map(chr, range(ord('!'), ord('~') + 1)))
_STATUS_DIGITS = 3
_MIN_STATUS = 100
_MAX_STATUS = 599
_SWITCHING_PROTOCOLS = 101
_VERSIONS = frozenset(('HTTP/1.0', 'HTTP/1.1'))
_STEP = 'parse head'


def check_request(head: framing.Head) -> None:
    """Refuse a head that is not that of an HTTP/1 request.

    Source: RFC 9112, sections 2.3, 3.1, 3.2 and 3.2.2.

    :raises FramingError: if method, target or version is malformed, or there
        are several Host headers.
    """
    method, target, version = head.first
    is_target = bool(target) and _TARGET_CHARACTERS.issuperset(target)
    for part, found, is_valid in (
        ('method', method, framing.is_token(method)),
        ('target', target, is_target),
        ('version', version, version in _VERSIONS),
    ):
        if not is_valid:
            raise _malformed(part, found)
    if len(head.get_all('host')) > 1:
        raise framing.FramingError('there are several Host headers', step=_STEP)


def response_status(head: framing.Head) -> int:
    """Return the status code of a response.

    A switch to another protocol is none, since no request asks for one.
    Source: RFC 9110, section 15.

    :raises FramingError: if the first line is not that of an HTTP/1 response.
    """
    version, code, _reason = head.first
    if version not in _VERSIONS:
        raise _malformed('version', version)
    if not (code.isascii() and code.isdigit() and len(code) == _STATUS_DIGITS):
        raise _malformed('status', code)
    status = int(code)
    is_known = _MIN_STATUS <= status <= _MAX_STATUS
    if not is_known or status == _SWITCHING_PROTOCOLS:
        raise _malformed('status', code)
    return status


def _malformed(part: str, found: str) -> framing.FramingError:
    shown = found[: framing.SHOWN_LENGTH]
    return framing.FramingError(
        f'{shown!r} is no {part} of an HTTP/1 message', step=_STEP
    )
