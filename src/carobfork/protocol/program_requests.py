"""Program requests: shares of budgets, and offsets into answers."""

from werkzeug import Request

from carobfork.protocol import headers, requests
from carobfork.state import bundles

MAX_SHARE = 1_000_000_000
MAX_OFFSET_DIGITS = 12


def share(body: dict) -> bundles.Budget:
    """Return the share of a budget that a sub-agent asks for.

    :raises BadRequestError: a field is missing or wrong.
    """
    for name in ('tokens', 'calls', 'time_ms'):
        requests.require_count(name, body.get(name), MAX_SHARE)
    return bundles.Budget(body['tokens'], body['calls'], body['time_ms'])


def offset(request: Request) -> int:
    """Return how much of an answer's text the caller has, in bytes.

    :raises BadRequestError: the header is no number.
    """
    text = request.headers.get(headers.OFFSET, '0')
    if not text.isdecimal() or len(text) > MAX_OFFSET_DIGITS:
        requests.refuse(f'header {headers.OFFSET} must be a number of bytes')
    return int(text)
