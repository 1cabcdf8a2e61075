"""Choose the backend server that runs a call.

Placement policies are registered under a name. A policy takes the call, the
candidate workers, the time in ms and how long a kept connection may have been
idle to be used for the call, in ms. It returns a worker, or ``None`` if no
candidate has a free slot.
"""

import random
import zlib
from collections.abc import Callable, Sequence

from carobfork.gateway import calls, connection_pools, workers

MAX_HOME_LOAD_RATIO = 0.85
"""Share of a home worker's slots that may be in use before a program's calls
go elsewhere. The rest is left for calls that other hosts place at the same
moment."""
LOW_LOAD_RATIO = 0.5
"""Share of the slots in use below which a backend server responds as quickly as
an idle one."""
RECENT_CONNECTION_MS = connection_pools.MAX_UNSAFE_IDLE_MS
"""Idle time up to which any call may use a kept connection, also one that runs
at most once. The default of policies."""
SLOW_TIME_RATIO = 1.5
"""How much longer than on the quickest candidate a call may be expected to take
before a worker counts as slow: more than the figures of sound machines differ
in the mean, and less than reading a prompt again costs a short turn."""
MIN_LOCAL_WORKERS = 4
"""Minimum number of local workers with which programs are kept in the failure
domain."""
SAMPLE_SIZE = 2
"""Number of randomly drawn workers to compare (power of two choices). The
better of two is close to the best of all, and the draw spreads the calls that
many hosts place with the same outdated load figures."""
MAX_CALLS_PER_SLOT = 2
"""Maximum number of calls per slot, running or waiting, on a worker that takes
calls beyond its slots."""
MAX_ROUTINE_CALLS_PER_SLOT = 1.5
"""The same for overdue calls while more urgent ones are being made. The rest of
the workers' own queues is left to those."""

PlacementPolicy = Callable[
    [calls.Call, Sequence[workers.Worker], float, float],
    workers.Worker | None,
]
PLACEMENTS: dict[str, PlacementPolicy] = {}  # noqa: WPS407


def register(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Return a decorator that registers a policy under a name."""

    def decorator(policy: PlacementPolicy) -> PlacementPolicy:  # noqa: WPS430
        PLACEMENTS[name] = policy
        return policy

    return decorator


@register('least_loaded')
def place_least_loaded(
    _call: calls.Call,
    candidates: Sequence[workers.Worker],
    now_ms: float,
    max_idle_ms: float = RECENT_CONNECTION_MS,
) -> workers.Worker | None:
    """Choose the less loaded of two random workers.

    Suits calls without a shared prefix at any load. Choosing the least loaded
    of all workers would fail: the hosts share load figures that are some
    hundred ms old and would all choose the one worker that appears idle.

    Below half load a worker is as quick as an idle one, so workers with a
    connection that the call may use come first. Otherwise, with many hosts
    and many workers, nearly every call would open a new connection. Workers
    on machines that stay slow are left to the comparison.
    """
    free = [
        worker
        for worker in candidates
        if worker.load(now_ms) < worker.entry.slots
    ]
    lightly_loaded = [
        worker
        for worker in _without_slow(free, now_ms)
        if _load_ratio(worker, now_ms) < LOW_LOAD_RATIO
    ]
    connected = [
        worker
        for worker in lightly_loaded
        if _has_connection(worker, now_ms, max_idle_ms)
    ]
    if connected:
        return max(
            _prefer_local(connected), key=lambda worker: worker.last_kept_ms
        )
    has_local_capacity = any(worker.is_local for worker in lightly_loaded)
    return _sample_least_loaded(
        _prefer_local(free) if has_local_capacity else free, now_ms
    )


@register('home')
def place_at_home(
    call: calls.Call,
    candidates: Sequence[workers.Worker],
    now_ms: float,
    max_idle_ms: float = RECENT_CONNECTION_MS,
) -> workers.Worker | None:
    """Choose the worker that has the program's prompts in its cache.

    Suits multi-turn programs with growing prompts. Every host derives the
    same home worker from the program's name by rendezvous hashing. If the
    first two workers of that order are nearly full, or on slow machines, the
    call goes elsewhere, because waiting costs more than reading the prompt
    again. Homes are local
    if there are enough local workers. A call without a prompt is placed by
    its affinity key, or without a home if it has none.
    """
    key = call.home_key
    if key:
        local = [worker for worker in candidates if worker.is_local]
        homes = local if len(local) >= MIN_LOCAL_WORKERS else candidates
        quick = _without_slow(homes, now_ms)
        for worker in sorted(homes, key=_rendezvous_key(key))[:2]:
            load_ratio = _load_ratio(worker, now_ms)
            if worker in quick and load_ratio < MAX_HOME_LOAD_RATIO:
                return worker
    return place_least_loaded(call, candidates, now_ms, max_idle_ms)


@register('round_robin')
def place_randomly(
    _call: calls.Call,
    candidates: Sequence[workers.Worker],
    _now_ms: float,
    _max_idle_ms: float = RECENT_CONNECTION_MS,
) -> workers.Worker | None:
    """Choose a random worker, full or not, as a baseline for comparisons.

    Despite its registered name, the policy does not rotate.
    """
    return random.choice(candidates) if candidates else None


def place_overflow(
    candidates: Sequence[workers.Worker],
    now_ms: float,
    max_calls_per_slot: float = MAX_CALLS_PER_SLOT,
) -> workers.Worker | None:
    """Choose the least loaded worker that accepts calls beyond its slots.

    Suits a burst in which all slots are taken: waiting longer in this host's
    queue would take more of the call's time than the backend server's own
    queue.

    :param max_calls_per_slot: workers with more calls are excluded.
    """
    below_limit = [
        worker
        for worker in candidates
        if worker.load(now_ms) < worker.entry.slots * max_calls_per_slot
    ]
    return min(
        below_limit,
        key=lambda worker: _expected_delay(worker, now_ms),
        default=None,
    )


def _load_ratio(worker: workers.Worker, now_ms: float) -> float:
    return worker.load(now_ms) / worker.entry.slots


def _expected_delay(worker: workers.Worker, now_ms: float) -> float:
    """Return a measure of a new call's duration that workers compare by.

    Small differences of the time ratio are ignored. Otherwise all hosts would
    prefer the same worker of several that are equally quick.
    """
    calls_per_slot = (worker.load(now_ms) + 1) / worker.entry.slots
    time_ratio = worker.time_ratio(now_ms)
    if time_ratio > SLOW_TIME_RATIO:
        calls_per_slot *= time_ratio
    return calls_per_slot


def _without_slow(
    candidates: Sequence[workers.Worker], now_ms: float
) -> list[workers.Worker]:
    """Return the workers whose machines are not much slower than others."""
    quickest = min(
        (worker.time_ratio(now_ms) for worker in candidates), default=1
    )
    return [
        worker
        for worker in candidates
        if worker.time_ratio(now_ms) <= quickest * SLOW_TIME_RATIO
    ]


def _has_connection(
    worker: workers.Worker, now_ms: float, max_idle_ms: float
) -> bool:
    """Return whether a connection is kept that a call may use."""
    return bool(
        worker.idle_connections and now_ms - worker.last_kept_ms < max_idle_ms
    )


def _prefer_local(candidates: list[workers.Worker]) -> list[workers.Worker]:
    """Return the local workers, or all if none is local."""
    return [worker for worker in candidates if worker.is_local] or candidates


def _sample_least_loaded(
    candidates: list[workers.Worker], now_ms: float
) -> workers.Worker | None:
    """Return the least loaded worker of a random sample."""
    sample = random.sample(candidates, min(len(candidates), SAMPLE_SIZE))
    return min(
        sample,
        key=lambda worker: _expected_delay(worker, now_ms),
        default=None,
    )


def _rendezvous_key(key: str) -> Callable[[workers.Worker], int]:
    """Return the sort key of rendezvous hashing for a program or affinity."""
    seed = key.encode()
    return lambda worker: zlib.crc32(worker.instance.encode(), zlib.crc32(seed))
