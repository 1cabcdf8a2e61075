"""Send one-way messages to any live entry host, including this one."""

from collections.abc import Callable

from carobfork.coordination import ports, routing
from carobfork.state import identifiers


class Mailbox:
    """Sends one-way messages; those to this host are handled immediately.

    :param find_own: returns the incarnation of this host, which changes after
        another host has taken this one over.
    :param hosts: the live hosts.
    :param link: carries messages to other hosts.
    """

    def __init__(
        self,
        find_own: Callable[[], identifiers.Incarnation],
        hosts: routing.HostList,
        link: ports.PeerLink,
    ) -> None:
        """Initialize the mailbox without handlers."""
        self._find_own = find_own
        self._hosts = hosts
        self._link = link
        self._handlers: dict[type, Callable] = {}
        self._known: dict[identifiers.Incarnation, routing.EntryHost] = {}

    @property
    def own(self) -> identifiers.Incarnation:
        """This host's incarnation."""
        return self._find_own()

    def on(self, kind: type, handler: Callable) -> None:
        """Call ``handler`` with each message of a kind."""
        self._handlers[kind] = handler
        self._link.on(kind, handler)

    def send(self, to: identifiers.Incarnation, message: object) -> None:
        """Send a message, or drop it if the host is unknown."""
        if to == self.own:
            self._handlers[type(message)](message)
            return
        if to not in self._known:
            self.refresh()
        host = self._known.get(to)
        if host is not None:
            self._link.send(host.peer_address, message)

    def refresh(self) -> None:
        """Look up the live hosts again."""
        self._known = {host.incarnation: host for host in self._hosts.live()}

    def is_replaced(self, incarnation: identifiers.Incarnation) -> bool:
        """Return whether a host runs under a newer incarnation."""
        return any(
            known.host == incarnation.host and known > incarnation
            for known in self._known
        )
