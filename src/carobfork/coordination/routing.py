"""Find the entry host that is a program's home, and hosts for callers."""

import random
from collections.abc import Iterable
from typing import Protocol

import attrs

from carobfork import exceptions
from carobfork.state import bundles, identifiers, programs

ADDRESS_TTL_MS = 5000
TAKEOVER_RETRY_MS = 1000


@attrs.frozen
class EntryHost:
    """An entry host as known to its peers."""

    incarnation: identifiers.Incarnation
    failure_domain: str
    caller_address: bundles.Address
    peer_address: bundles.Address
    leaving: bool = False
    adopted: tuple[identifiers.Incarnation, ...] = ()
    """Incarnations whose programs this host has taken over."""
    predecessors: tuple[identifiers.Incarnation, ...] = ()
    """Earlier incarnations of this host that no host has taken over yet."""

    def is_home_of(self, incarnation: identifiers.Incarnation) -> bool:
        """Return whether this host owns an incarnation's programs."""
        return incarnation == self.incarnation or incarnation in self.adopted


class HostList(Protocol):
    """The entry hosts that are considered live."""

    own: EntryHost

    def knows(self, name: str) -> bool:
        """Return whether a host is registered, live or not."""

    def live(self) -> list[EntryHost]:
        """Return the live hosts, including this one."""

    def is_leaving(self, host: EntryHost) -> bool:
        """Return whether a host is going to stop."""


class RequestGate(Protocol):
    """Controls which requests this host serves itself."""

    successor: EntryHost | None

    def wait_while_paused(self) -> None:
        """Wait while the programs are handed over to another host."""


@attrs.frozen
class AddressAnswer:
    """The entry hosts for a caller to use, preferred ones first.

    Each address is ``ip:port``; the answer expires after ``ttl_ms``.
    """

    addresses: list[str]
    ttl_ms: int


class Router:
    """Finds the homes of programs.

    :param table: the programs homed on this host.
    :param hosts: the live entry hosts.
    :param requests: the requests of this host, and its successor if its
        programs were handed over.
    """

    def __init__(
        self,
        table: programs.ProgramTable,
        hosts: HostList,
        requests: RequestGate,
    ) -> None:
        """Initialize without any lookup."""
        self._requests = requests
        self._table = table
        self._hosts = hosts

    def resolve(self, program: str) -> bundles.Address | None:
        """Return the address of a program's home, or None for this host.

        :param program: identifier of the program.
        :raises NotRunError: if the home has failed and its programs are not
            taken over yet.
        :raises UnknownProgramError: if no known host can be the home.
        """
        self._requests.wait_while_paused()
        home = identifiers.home_of(program)
        if (
            home == self._hosts.own.incarnation
            or program in self._table.programs
        ):
            successor = self._requests.successor
            return successor.caller_address if successor else None
        hosts = _find_homes(self._hosts.live(), home)
        if hosts:
            return self._remote_address(hosts[0])
        if self._hosts.knows(home.host):
            raise exceptions.NotRunError(
                'the program is being taken over',
                step='route',
                peer=str(home),
                retry_after_ms=TAKEOVER_RETRY_MS,
            )
        raise exceptions.UnknownProgramError(
            f'no live host is the home of "{program}"',
            step='route',
            peer=str(home),
        )

    def addresses(self, program: str = '') -> AddressAnswer:
        """Return entry hosts to use, in random order.

        Hosts that are leaving are omitted unless all are.

        :param program: identifier of a program whose home is put first;
            empty for no program.
        """
        live = self._hosts.live()
        staying = [host for host in live if not self._hosts.is_leaving(host)]
        hosts = staying or live
        random.shuffle(hosts)
        if program:
            home = identifiers.home_of(program)
            hosts.sort(key=lambda host: not host.is_home_of(home))
        return AddressAnswer(
            addresses=[str(host.caller_address) for host in hosts],
            ttl_ms=ADDRESS_TTL_MS,
        )

    def _remote_address(self, host: EntryHost) -> bundles.Address | None:
        if host.incarnation == self._hosts.own.incarnation:
            return None
        return host.caller_address


def _find_homes(
    hosts: Iterable[EntryHost], home: identifiers.Incarnation
) -> list[EntryHost]:
    """Return the live hosts that may own a program, the best first.

    A host that stops stays live for a while after another host adopted its
    programs, so the host that adopted them comes first.
    """
    homes = [host for host in hosts if host.is_home_of(home)]
    return sorted(homes, key=lambda host: home not in host.adopted)
