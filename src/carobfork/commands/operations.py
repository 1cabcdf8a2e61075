"""Operations: requests to the operators' endpoints of processes."""

import contextlib
import json

from carobfork import address_books, exceptions, replies
from carobfork.transport import connections

_CLIENT_ERROR = 400
_STEP = 'ask operators endpoint'


def ask(
    address: str, path: str, method: str = 'GET', body: bytes = b''
) -> dict:
    """Exchange JSON with a process.

    :param address: the operators' address as ``ip:port``.
    :raises CarobforkError: no answer came, or the process refused.
    """
    request = connections.HttpRequest(method, path, body)
    peer = address_books.parse_address(address)
    with connections.Exchange(peer, request) as exchange:
        reply = exchange.read()
        status = exchange.status
    if status >= _CLIENT_ERROR:
        raise replies.decode_error(reply)
    return _decode(reply, address)


def ask_first(
    addresses: str, path: str, method: str = 'GET', body: bytes = b''
) -> dict:
    """Ask several processes in turn and return the first one's answer.

    :param addresses: operators' addresses, separated by commas.
    :raises CarobforkError: the last refusal, where none answers.
    """
    *others, last = split(addresses)
    for address in others:
        with contextlib.suppress(
            exceptions.UnknownProgramError, exceptions.ConnectionFailedError
        ):
            return ask(address, path, method, body)
    return ask(last, path, method, body)


def split(addresses: str) -> list[str]:
    """Return the members of a list separated by commas."""
    return [text.strip() for text in addresses.split(',')]


def _decode(reply: bytes, address: str) -> dict:
    try:
        return json.loads(reply)
    except ValueError as error:
        raise exceptions.ConnectionFailedError(
            'the answer is not JSON', sent=True, step=_STEP, peer=address
        ) from error
