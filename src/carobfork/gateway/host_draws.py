"""Choose the entry hosts that one caller is told to connect to.

Callers connect to a random one of the hosts that they are told, so a host's
share of them is decided by how many callers are told of it. Fleets whose
hosts are of one size, or of unknown sizes, tell every caller of all hosts.
"""

import hashlib
import math
from collections.abc import Mapping, Sequence

import attrs

MIN_DRAWN_HOSTS = 6
"""Minimum number of hosts that a caller is told of: enough for its retries,
and the loss of one leaves it most of its connections."""
MIN_ACTIVE_HOSTS = 8
"""Minimum number of hosts that share the callers of a failure domain: the loss
of two of them leaves most of the capacity."""
ACTIVE_STEP = 4
"""The number of active hosts grows and shrinks by this much, so that directory
hosts whose reports differ a little tell callers of the same hosts."""
TARGET_LOAD_RATIO = 0.1
"""Share of the active hosts' processors that calls may use before more hosts
become active. At this load a host answers as quickly as an idle one, and it has
room for a burst of several times the usual calls until reports have told of it
and callers have asked the directory again."""
SHARED_LOAD_RATIO = 0.4
"""Share of its processor that the calls of all callers may use on a host if all
of them were told of the same few hosts, as callers behind one address are."""
FULL_WEIGHT = 0.5
"""Relative weight of a full host. It keeps half of its callers: if it lost all
of them, the other hosts would be the next to be full."""
LINK_MBPS_PER_CORE = 30
"""Bandwidth that a core of calls needs: 500 calls a second of some 7 KB each,
to and from the caller and the backend server."""
_HASH_BYTES = 4
_HASH_RANGE = 2 ** (8 * _HASH_BYTES)


@attrs.frozen
class EntryHost:
    """An entry host that callers may be told of.

    :param node: its name.
    :param address: where callers reach it.
    :param size: processor that it has, in cores; 0 if unknown.
    :param is_full: whether it can hardly serve more callers.
    """

    node: str
    address: str
    size: float = 0
    is_full: bool = False


def compute_size(cores: float, link_mbps: float) -> float:
    """Return the processor that a host can use for calls, in cores.

    :param cores: its processor; 0 if unknown.
    :param link_mbps: bandwidth of its link; 0 if unknown.
    """
    if not link_mbps:
        return cores
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def draw_hosts(
    hosts: Sequence[EntryHost],
    caller: str,
    used_size: float | None,
    max_count: int,
) -> list[EntryHost]:
    """Return the hosts that a caller is told of.

    Answers a fleet of many small and a few large hosts at any load. Told of
    all hosts, callers would give the small ones as much as the large ones,
    and in calm each of many hosts would open connections to each backend
    server for a few calls. The result for one caller changes little when a
    host comes or goes, since callers leave hosts that they are told of no
    more.

    :param hosts: the hosts of one size or of several.
    :param caller: identifies the caller.
    :param used_size: processor that calls use on all of these hosts together,
        in cores; ``None`` if it is unknown, and then all are named.
    :param max_count: maximum number of hosts to return.
    """
    # Hosts of a build that tells no size count as small ones.
    usual_size = min((host.size for host in hosts if host.size), default=1)
    sizes = {host: host.size or usual_size for host in hosts}
    if used_size is None or len(set(sizes.values())) <= 1:
        return _sample(hosts, sizes, caller, max_count)
    hosts = _choose_active(hosts, sizes, used_size)
    weights = {
        host: sizes[host] * FULL_WEIGHT if host.is_full else sizes[host]
        for host in hosts
    }
    # With more hosts, the largest could not get its share: being in every
    # answer is the most that a host can get.
    even_count = int(sum(weights.values()) / max(weights.values()))
    shared_size = SHARED_LOAD_RATIO * min(sizes[host] for host in hosts)
    shared_count = math.ceil(used_size / shared_size)
    count = max(even_count, shared_count, MIN_DRAWN_HOSTS)
    return _sample(hosts, weights, caller, min(count, max_count))


def _choose_active(
    hosts: Sequence[EntryHost],
    sizes: Mapping[EntryHost, float],
    used_size: float,
) -> list[EntryHost]:
    """Return the hosts that share the callers at the present load.

    The order is the same at all directory hosts, large hosts first.
    """
    ranked = sorted(
        hosts, key=lambda host: (-sizes[host], _hash(host.node), host.node)
    )
    missing_size = used_size / TARGET_LOAD_RATIO
    count = 0
    for host in ranked:
        if missing_size <= 0:
            break
        missing_size -= sizes[host]
        count += 1
    steps = math.ceil(max(count, MIN_ACTIVE_HOSTS) / ACTIVE_STEP)
    return ranked[: steps * ACTIVE_STEP]


def _sample(
    hosts: Sequence[EntryHost],
    weights: Mapping[EntryHost, float],
    caller: str,
    count: int,
) -> list[EntryHost]:
    """Return a sample of fixed size in which hosts are by their weights.

    Pareto sampling (Rosén, 1997) with the hashes of caller and host as its
    random numbers: the result is stable for each caller.
    """
    if len(hosts) <= count:
        return list(hosts)
    chances = _inclusion_chances(weights, count)

    def rank(host: EntryHost) -> float:  # noqa: WPS430
        chance = chances.get(host)
        if chance is None:
            return 0
        number = (_hash(host.node, caller) + 1) / (_HASH_RANGE + 1)
        return number / (1 - number) * (1 - chance) / chance

    return sorted(hosts, key=rank)[:count]


def _inclusion_chances(
    weights: Mapping[EntryHost, float], count: int
) -> dict[EntryHost, float]:
    """Return each host's chance, without the hosts that are in each sample."""
    uncertain = dict(weights)
    while uncertain:
        left = count - (len(weights) - len(uncertain))
        scale = left / sum(uncertain.values())
        below = {
            host: weight
            for host, weight in uncertain.items()
            if weight * scale < 1
        }
        if len(below) == len(uncertain):
            return {host: weight * scale for host, weight in below.items()}
        uncertain = below
    return {}


def _hash(node: str, caller: str = '') -> int:
    """Return a hash that all hosts compute alike."""
    digest = hashlib.blake2b(
        f'{caller} {node}'.encode(), digest_size=_HASH_BYTES
    )
    return int.from_bytes(digest.digest(), 'big')
