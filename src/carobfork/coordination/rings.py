"""Order hosts on a ring by a hash of their names.

Each host is monitored by the ``SUCCESSOR_COUNT`` hosts that follow it.
"""

import functools
from collections.abc import Iterable

from carobfork.coordination import routing
from carobfork.state import identifiers

SUCCESSOR_COUNT = 6
HASH_CACHE_SIZE = 2000


def successors(
    hosts: Iterable[routing.EntryHost], name: str
) -> list[routing.EntryHost]:
    """Return the hosts that follow a host on the ring, nearest first.

    :param hosts: all hosts.
    :param name: the host's name.
    """
    return _hosts_after(name, sorted(hosts, key=_position))[:SUCCESSOR_COUNT]


def predecessors(
    hosts: Iterable[routing.EntryHost], name: str
) -> list[routing.EntryHost]:
    """Return the hosts that have a host among their successors.

    :param hosts: all hosts.
    :param name: the host's name.
    """
    return _hosts_after(name, sorted(hosts, key=_position))[-SUCCESSOR_COUNT:]


def _hosts_after(
    name: str, ring: list[routing.EntryHost]
) -> list[routing.EntryHost]:
    start = _hash(name)
    after = [host for host in ring if _position(host) > start]
    before = [host for host in ring if _position(host) < start]
    return [*after, *before]


def _position(host: routing.EntryHost) -> str:
    return _hash(host.incarnation.host)


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def _hash(name: str) -> str:
    return identifiers.digest(name.encode())
