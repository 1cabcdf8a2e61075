"""Stops: a host leaves without cutting a request.

Callers keep an address answer for its lifetime, so the host is first taken
out of all answers and serves on until the last answer has expired. Then its
programs go to a successor, and what is still in progress is finished.
"""

from collections.abc import Callable, Sequence

import gevent
import structlog
from gevent import pool

from carobfork import clock, exceptions
from carobfork.coordination import (
    control,
    membership,
    messages,
    ports,
    routing,
)

ANNOUNCE_TIMEOUT_MS = 1000
MAX_PARALLEL_ANNOUNCEMENTS = 32
_POLL_INTERVAL_MS = 50

logger = structlog.get_logger(part='stops')


class GracefulShutdown:
    """Take a host out of service, step by step.

    :param members: the other hosts, and which of them stay.
    :param link: carries the news to them.
    :param store: where the host's object says that it leaves.
    :param timer: measures the lifetime of address answers.
    """

    def __init__(
        self,
        members: membership.Membership,
        link: ports.PeerLink,
        store: ports.ObjectStore,
        timer: clock.Clock,
    ) -> None:
        """Prepare the stop; ``run`` begins it."""
        self._members = members
        self._link = link
        self._store = store
        self._timer = timer

    def run(
        self,
        hand_over: Callable[[], None],
        listeners: Sequence[ports.Listener],
    ) -> None:
        """Stop; returns once no request is in progress.

        :param hand_over: gives the programs to a successor.
        :param listeners: where callers connect.
        """
        logger.info('The host leaves.')
        self._members.leaving = True
        # A host that misses this hears it with the next heartbeats or by
        # the platform.
        workers = pool.Pool(MAX_PARALLEL_ANNOUNCEMENTS)
        own = self._members.own
        others = [host for host in self._members.live() if host != own]
        workers.map(self._announce, others)
        self._publish()
        self._wait_for_address_expiry()
        if self._members.staying():
            hand_over()
        for listener in listeners:
            listener.drain()
        logger.info('No request is in progress.')

    def _announce(self, host: routing.EntryHost) -> None:
        leaving = messages.Leaving(self._members.own.incarnation)
        try:
            self._link.request(host.peer_address, leaving, ANNOUNCE_TIMEOUT_MS)
        except exceptions.CarobforkError as error:
            logger.info(
                'A host did not acknowledge that this one leaves.',
                peer=str(host.incarnation),
                error=str(error),
            )

    def _publish(self) -> None:
        try:
            control.mark_leaving(self._store, self._members.own)
        except exceptions.PlatformError as error:
            # The other hosts have been told already.
            logger.warning('The platform was not told.', error=str(error))

    def _wait_for_address_expiry(self) -> None:
        """Wait until no unexpired address answer names this host."""
        started_ms = self._timer.now_ms()
        while self._members.staying():
            if self._timer.now_ms() - started_ms > routing.ADDRESS_TTL_MS:
                return
            gevent.sleep(clock.to_seconds(_POLL_INTERVAL_MS))
