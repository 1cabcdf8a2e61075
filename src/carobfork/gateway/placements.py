"""Placements: which backend server runs a call.

Policies fill a registry by decorator. Each takes the call, the servers that
may run it and the time, and returns one, or nothing where all are full.
"""

import random
import zlib
from collections.abc import Callable, Sequence

from carobfork.gateway import calls, connection_pools, workers

MAX_HOME_LOAD_RATIO = 0.85
"""Of a home's slots that may be taken before a program goes elsewhere.

Leaves room for the calls that other hosts grant at the same moment.
"""
LOW_LOAD_RATIO = 0.5
"""Of the slots, up to which servers show no difference."""
RECENT_CONNECTION_MS = connection_pools.MAX_UNSAFE_IDLE_MS
MIN_LOCAL_WORKERS = 4
"""Servers of one failure domain that can be the homes of its programs."""
SAMPLE_SIZE = 2
"""Servers that are compared: one of two is near the best of all, and spreads
the calls that many hosts place by the same outdated view."""
MAX_CALLS_PER_SLOT = 2
"""Calls a slot that a server gets at most, running or waiting there."""

PlacementPolicy = Callable[
    [calls.Call, Sequence[workers.Worker], float], workers.Worker | None
]
PLACEMENTS: dict[str, PlacementPolicy] = {}  # noqa: WPS407


def register(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a policy under a name."""

    def decorator(policy: PlacementPolicy) -> PlacementPolicy:  # noqa: WPS430
        PLACEMENTS[name] = policy
        return policy

    return decorator


@register('least_loaded')
def place_least_loaded(
    _call: calls.Call, candidates: Sequence[workers.Worker], now_ms: float
) -> workers.Worker | None:
    """Choose the less loaded of two servers drawn at random.

    Answers calls without a shared prefix at any load. Many hosts with the
    same view, some hundred ms old, would all choose the one server that seems
    idle. Below half load a server is as quick as an idle one, so one with a
    kept connection is better: many hosts before many servers would else
    connect anew each time.
    """
    free = [
        worker
        for worker in candidates
        if worker.load(now_ms) < worker.entry.slots
    ]
    lightly_loaded = [
        worker
        for worker in free
        if _load_ratio(worker, now_ms) < LOW_LOAD_RATIO
    ]
    connected = [
        worker
        for worker in lightly_loaded
        if _has_recent_connection(worker, now_ms)
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
    call: calls.Call, candidates: Sequence[workers.Worker], now_ms: float
) -> workers.Worker | None:
    """Choose the server that holds the program's prompts.

    Answers multi-turn programs with growing prompts: every host finds the
    same home from the program's name alone, and leaves it when it is nearly
    full, since waiting costs more than reading the prompt again. A home is
    near, where enough servers are, and calls without a prompt have none.
    """
    key = call.program if call.prompt_tokens else call.affinity
    if key:
        local = [worker for worker in candidates if worker.is_local]
        homes = local if len(local) >= MIN_LOCAL_WORKERS else candidates
        for worker in sorted(homes, key=_rendezvous_key(key))[:2]:
            if _load_ratio(worker, now_ms) < MAX_HOME_LOAD_RATIO:
                return worker
    return place_least_loaded(call, candidates, now_ms)


@register('round_robin')
def place_randomly(
    _call: calls.Call, candidates: Sequence[workers.Worker], _now_ms: float
) -> workers.Worker | None:
    """Choose any server, full or not: the baseline."""
    return random.choice(candidates) if candidates else None


def place_overflow(
    candidates: Sequence[workers.Worker], now_ms: float
) -> workers.Worker | None:
    """Choose the server whose own queue is shortest, if it is short.

    Answers a burst in which all slots are taken and waiting longer here
    would take more of the call's time than the server's queue.
    """
    below_limit = [
        worker
        for worker in candidates
        if worker.load(now_ms) < worker.entry.slots * MAX_CALLS_PER_SLOT
    ]
    return min(
        below_limit,
        key=lambda worker: _load_ratio(worker, now_ms),
        default=None,
    )


def _load_ratio(worker: workers.Worker, now_ms: float) -> float:
    return worker.load(now_ms) / worker.entry.slots


def _has_recent_connection(worker: workers.Worker, now_ms: float) -> bool:
    """Tell whether a connection was used lately."""
    return bool(
        worker.idle_connections
        and now_ms - worker.last_kept_ms < RECENT_CONNECTION_MS
    )


def _prefer_local(candidates: list[workers.Worker]) -> list[workers.Worker]:
    """Return the near ones, or all where none is."""
    return [worker for worker in candidates if worker.is_local] or candidates


def _sample_least_loaded(
    candidates: list[workers.Worker], now_ms: float
) -> workers.Worker | None:
    """Return the less loaded of a few drawn at random."""
    sample = random.sample(candidates, min(len(candidates), SAMPLE_SIZE))
    return min(
        sample, key=lambda worker: _load_ratio(worker, now_ms), default=None
    )


def _rendezvous_key(key: str) -> Callable[[workers.Worker], int]:
    """Return a rendezvous hash: a server's place in a key's own order."""
    seed = key.encode()
    return lambda worker: zlib.crc32(worker.instance.encode(), zlib.crc32(seed))
