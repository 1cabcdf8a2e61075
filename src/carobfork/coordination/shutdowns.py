"""Shut an entry host down without breaking off a request.

Callers use an address answer until it expires. The host is therefore first
left out of new answers and continues to serve until the last answer that
names it has expired. Then its programs are handed over to a successor, and
the requests in progress are finished.
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
    """Takes a host out of service in steps.

    :param members: the other hosts, and which of them stay.
    :param link: messages to the other hosts.
    :param store: the platform's objects; the host's own object is marked as
        leaving.
    :param timer: clock that measures the lifetime of address answers.
    """

    def __init__(
        self,
        members: membership.Membership,
        link: ports.PeerLink,
        store: ports.ObjectStore,
        timer: clock.Clock,
    ) -> None:
        """Initialize; ``run`` starts the shutdown."""
        self._members = members
        self._link = link
        self._store = store
        self._timer = timer

    def run(
        self,
        hand_over: Callable[[], None],
        listeners: Sequence[ports.Listener],
    ) -> None:
        """Shut down and return once no request is in progress.

        :param hand_over: hands the programs over to a successor; called only
            if another host stays.
        :param listeners: listeners for callers.
        """
        logger.info('The host leaves.')
        self._members.leaving = True
        # A host that misses this message learns it from the next heartbeats
        # or from the platform.
        greenlets = pool.Pool(MAX_PARALLEL_ANNOUNCEMENTS)
        own = self._members.own
        others = [host for host in self._members.live() if host != own]
        greenlets.map(self._announce, others)
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
            # The other hosts have been notified already.
            logger.warning(
                'The host was not marked as leaving.', error=str(error)
            )

    def _wait_for_address_expiry(self) -> None:
        """Wait until all address answers that name this host have expired.

        Return at once if no other host stays.
        """
        started_ms = self._timer.now_ms()
        while self._members.staying():
            if self._timer.now_ms() - started_ms > routing.ADDRESS_TTL_MS:
                return
            gevent.sleep(clock.to_seconds(_POLL_INTERVAL_MS))
