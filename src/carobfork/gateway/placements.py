"""Placements: which backend server runs a call.

Policies fill a registry by decorator. Each takes the call, the servers that
may run it and the time, and returns one, or nothing where all are full.
"""

import random
import zlib
from collections.abc import Callable, Sequence

from carobfork.gateway import calls, pools, workers

HOME_SHARE = 0.85
"""Of a home's slots that may be taken before a program goes elsewhere.

Leaves room for the calls that other hosts grant at the same moment.
"""
CALM_SHARE = 0.5
"""Of the slots, up to which servers show no difference."""
KEPT_MS = pools.UNSAFE_IDLE_MS
NEAR_SERVERS = 4
"""Servers of one failure domain that can be the homes of its programs."""
CHOICES = 2
"""Servers that are compared: one of two is near the best of all, and spreads
the calls that many hosts place by the same outdated view."""
OVERFLOW_FACTOR = 2
"""Calls a slot that a server gets at most, running or waiting there."""

Placement = Callable[
    [calls.Call, Sequence[workers.Worker], float], workers.Worker | None
]
PLACEMENTS: dict[str, Placement] = {}  # noqa: WPS407


def register(name: str) -> Callable[[Placement], Placement]:
    """Register a policy under a name."""

    def decorator(policy: Placement) -> Placement:  # noqa: WPS430
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
    calm = [worker for worker in free if _part(worker, now_ms) < CALM_SHARE]
    kept = [worker for worker in calm if _is_kept(worker, now_ms)]
    if kept:
        return max(_nearest(kept), key=lambda worker: worker.kept_ms)
    has_calm_near = any(worker.is_near for worker in calm)
    return _draw(_nearest(free) if has_calm_near else free, now_ms)


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
        near = [worker for worker in candidates if worker.is_near]
        homes = near if len(near) >= NEAR_SERVERS else candidates
        for worker in sorted(homes, key=_distance(key))[:2]:
            if _part(worker, now_ms) < HOME_SHARE:
                return worker
    return place_least_loaded(call, candidates, now_ms)


@register('round_robin')
def place_by_turns(
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
    room = [
        worker
        for worker in candidates
        if worker.load(now_ms) < worker.entry.slots * OVERFLOW_FACTOR
    ]
    return min(room, key=lambda worker: _part(worker, now_ms), default=None)


def _part(worker: workers.Worker, now_ms: float) -> float:
    return worker.load(now_ms) / worker.entry.slots


def _is_kept(worker: workers.Worker, now_ms: float) -> bool:
    """Tell whether a connection was used lately."""
    return bool(worker.idle_connections and now_ms - worker.kept_ms < KEPT_MS)


def _nearest(found: list[workers.Worker]) -> list[workers.Worker]:
    """Return the near ones, or all where none is."""
    return [worker for worker in found if worker.is_near] or found


def _draw(found: list[workers.Worker], now_ms: float) -> workers.Worker | None:
    """Return the less loaded of a few drawn at random."""
    drawn = random.sample(found, min(len(found), CHOICES))
    return min(drawn, key=lambda worker: _part(worker, now_ms), default=None)


def _distance(key: str) -> Callable[[workers.Worker], int]:
    """Return a rendezvous hash: a server's place in a key's own order."""
    seed = key.encode()
    return lambda worker: zlib.crc32(worker.instance.encode(), zlib.crc32(seed))
