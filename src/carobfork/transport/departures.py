"""Departures: how a backend server says that it leaves.

A server that leaves sends ``Leaving: 1`` with its answers. With status 503
it promises beside that the request was refused and did not run.
"""

from carobfork import exceptions
from carobfork.transport import connections

HEADER = 'Leaving'
_SET = '1'
_HTTP_UNAVAILABLE = 503


def is_leaving(exchange: connections.Exchange) -> bool:
    """Tell whether an answer says that its server leaves."""
    return exchange.header(HEADER) == _SET


def require_staying(exchange: connections.Exchange, server: str) -> None:
    """Check that a request was not refused by a leaving server.

    :raises LeavingError: it was, and did not run.
    """
    if exchange.status == _HTTP_UNAVAILABLE and is_leaving(exchange):
        raise exceptions.LeavingError(
            'the server is leaving', step='dispatch', peer=server
        )
