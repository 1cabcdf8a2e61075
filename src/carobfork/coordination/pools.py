"""Pools: groups of one model's workers with one queue each.

The host that is responsible for a pool is found by rendezvous hashing, so
hosts agree on it without talking and a death moves only that host's pools.
"""

from collections.abc import Iterable

import attrs

from carobfork.coordination import routing
from carobfork.state import bundles, identifiers

MAX_POOL_WORKERS = 15


@attrs.frozen
class Pool:
    """Some workers of one model."""

    name: str
    model: str
    workers: tuple[bundles.Worker, ...]


def split_model(model: bundles.Model) -> list[Pool]:
    """Return the pools of a model."""
    starts = range(0, len(model.workers), MAX_POOL_WORKERS)
    return [
        Pool(
            f'{model.name}/{number}',
            model.name,
            model.workers[start : start + MAX_POOL_WORKERS],
        )
        for number, start in enumerate(starts)
    ]


def split_bundle(bundle: bundles.Bundle) -> dict[str, Pool]:
    """Return all pools of a bundle by name."""
    pools = (pool for model in bundle.models for pool in split_model(model))
    return {pool.name: pool for pool in pools}


def responsible_host(
    pool: str, hosts: Iterable[routing.EntryHost]
) -> routing.EntryHost:
    """Return the host whose dispatcher serves a pool."""
    return max(hosts, key=lambda host: _weight(pool, host.incarnation.host))


def preferred_pool(
    last_worker: str, own_host: str, candidates: Iterable[Pool]
) -> Pool:
    """Return the pool that a call of this host asks.

    It is the one with the program's last worker, else the one that this
    host prefers, so that a host talks to few pools.
    """
    pools = list(candidates)
    for pool in pools:
        if any(worker.name == last_worker for worker in pool.workers):
            return pool
    return max(pools, key=lambda pool: _weight(pool.name, own_host))


def _weight(pool: str, host: str) -> str:
    return identifiers.digest(pool.encode(), host.encode())
