"""Split the workers of each model into pools with one queue each.

A worker stands for one backend server. The host that serves a pool is found
by rendezvous hashing, so hosts agree on it without communication, and when a
host fails only its own pools move.
"""

from collections.abc import Iterable

import attrs

from carobfork.coordination import routing
from carobfork.state import bundles, identifiers

MAX_POOL_WORKERS = 15


@attrs.frozen
class Pool:
    """A group of workers of one model that share a queue."""

    name: str
    model: str
    workers: tuple[bundles.Worker, ...]


def split_model(model: bundles.Model) -> list[Pool]:
    """Return the pools of a model, named ``model/number``."""
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
    """Return the pools of all models of a bundle by name."""
    pools = (pool for model in bundle.models for pool in split_model(model))
    return {pool.name: pool for pool in pools}


def responsible_host(
    pool: str, hosts: Iterable[routing.EntryHost]
) -> routing.EntryHost:
    """Return the host that serves a pool."""
    return max(hosts, key=lambda host: _weight(pool, host.incarnation.host))


def preferred_pool(
    last_worker: str, own_host: str, candidates: Iterable[Pool]
) -> Pool:
    """Return the pool that a call of this host is sent to.

    It is the pool with the program's last worker, otherwise the one that
    hashing selects for this host, so that a host uses few pools.

    :param last_worker: the worker that last served the program, or ''.
    :param own_host: the name of this host.
    :param candidates: the pools of the call's model.
    """
    pools = list(candidates)
    for pool in pools:
        if any(worker.name == last_worker for worker in pool.workers):
            return pool
    return max(pools, key=lambda pool: _weight(pool.name, own_host))


def _weight(pool: str, host: str) -> str:
    return identifiers.digest(pool.encode(), host.encode())
