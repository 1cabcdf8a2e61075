"""Routing: which entry host is a program's home, and which to call."""

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
    """A live entry host as its peers know it."""

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
        """Tell whether an incarnation's programs are here."""
        return incarnation == self.incarnation or incarnation in self.adopted


class HostList(Protocol):
    """The entry hosts believed to be live."""

    own: EntryHost

    def knows(self, name: str) -> bool:
        """Tell whether a host is registered, live or not."""

    def live(self) -> list[EntryHost]:
        """Return the live hosts, this one included."""

    def is_leaving(self, host: EntryHost) -> bool:
        """Tell whether a host is about to stop."""


class RequestGate(Protocol):
    """The requests that this host serves itself."""

    successor: EntryHost | None

    def wait_while_paused(self) -> None:
        """Wait while the programs move to another host."""


@attrs.frozen
class AddressAnswer:
    """Which entry hosts to use, best first, and for how long.

    Each address is ``ip:port``; the answer expires after ``ttl_ms``.
    """

    addresses: list[str]
    ttl_ms: int


class Router:
    """Find the home of a program.

    :param table: the programs homed here.
    :param hosts: the live entry hosts.
    :param requests: tells whether the programs were handed over.
    """

    def __init__(
        self,
        table: programs.ProgramTable,
        hosts: HostList,
        requests: RequestGate,
    ) -> None:
        """Remember where to look."""
        self._requests = requests
        self._table = table
        self._hosts = hosts

    def resolve(self, program: str) -> bundles.Address | None:
        """Return the home's address, or nothing if it is this host.

        :raises NotRunError: its home is gone and not taken over yet.
        :raises UnknownProgramError: it never had a home.
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
        """Return the hosts to use: a program's home first."""
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
    """Return the hosts that are a program's home.

    A host that stops lives on for a while after it was taken over.
    """
    homes = [host for host in hosts if host.is_home_of(home)]
    return sorted(homes, key=lambda host: home not in host.adopted)
