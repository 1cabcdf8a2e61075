"""Bound how long a block takes, however a peer spreads its bytes."""

import contextlib
from collections.abc import Iterator

import gevent

from carobfork import clock


@contextlib.contextmanager
def time_limit(span_ms: float, error: Exception) -> Iterator[None]:
    """Interrupt the block when its time is over.

    :param span_ms: how long the block may take.
    :param error: raised if it takes longer.
    """
    timeout = gevent.Timeout(clock.to_seconds(span_ms))
    try:
        with timeout:
            yield
    except gevent.Timeout as expired:
        if expired is not timeout:
            raise
        raise error from None
