"""Stopping: wires what a planned stop needs."""

from collections.abc import Callable

from carobfork import clock
from carobfork.coordination import (
    handovers,
    homes,
    local_requests,
    membership,
    ports,
    shutdowns,
    successions,
    takeovers,
)
from carobfork.protocol import codecs


class Stopping:
    """Stop one host without cutting a request.

    :param store: the platform's object API.
    :param link: reaches the other hosts.
    :param timer: measures the lifetime of address answers.
    """

    def __init__(
        self, store: ports.ObjectStore, link: ports.PeerLink, timer: clock.Clock
    ) -> None:
        """Start with all programs served here."""
        self.requests = local_requests.LocalRequests()
        self._codec = codecs.MsgpackRecordCodec()
        self._store = store
        self._link = link
        self._timer = timer

    def succeed_others(
        self,
        home: homes.Home,
        taker: takeovers.Takeovers,
        members: membership.Membership,
    ) -> None:
        """Take over the programs of hosts that stop, from now on."""
        self._successions = successions.HandoverReceiver(
            home, taker, members, self._link, self._codec
        )

    def run(
        self,
        home: homes.Home,
        members: membership.Membership,
        listener: ports.Listener,
        under_way: Callable[[], set[str]],
    ) -> None:
        """Stop; returns once no request is in progress.

        :param under_way: returns the programs with calls in progress.
        """
        handover = handovers.Handover(
            home,
            members,
            self._link,
            self._codec,
            self.requests,
            under_way,
        )
        stop = shutdowns.GracefulShutdown(
            members, self._link, self._store, self._timer
        )
        stop.run(handover.run, [listener])
