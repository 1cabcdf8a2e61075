"""Tell servers that have ended from connections that have merely broken."""

import contextlib

import structlog
from gevent import socket

from carobfork import clock, exceptions
from carobfork.gateway import contexts, workers

CONNECT_TIMEOUT_MS = 100
"""Covers many round trips. A server that does not answer in time may be cut
off, and does not count as ended."""

logger = structlog.get_logger(part='crashes')


def has_crashed(
    context: contexts.RequestContext,
    worker: workers.Worker,
    error: exceptions.ConnectionFailedError,
) -> bool:
    """Return whether a server has ended while it had a request.

    :param context: the request.
    :param worker: the server that it was sent to.
    :param error: why the exchange failed.
    """
    is_disconnect = isinstance(error.__cause__, (OSError, EOFError))
    if not (error.sent and is_disconnect and _refuses_connections(worker)):
        return False
    logger.info(
        'worker crashed',
        worker=worker.instance,
        request=context.call.attempt,
        fingerprint=context.keys.request,
        path=context.keys.path,
        has_output=context.has_output,
    )
    return True


def _refuses_connections(worker: workers.Worker) -> bool:
    address = (worker.entry.ip, worker.entry.port)
    timeout_seconds = clock.to_seconds(CONNECT_TIMEOUT_MS)
    try:
        sock = socket.create_connection(address, timeout=timeout_seconds)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    with contextlib.closing(sock):
        return False
