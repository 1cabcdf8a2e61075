"""Serve the pools whose slots this host grants.

A host serves any pool that it is asked for; the hosts that ask choose it by
their own routes. While two of them disagree, two hosts serve the same pool,
and its workers (backend servers) get a few calls more than their limits.
"""

from collections.abc import Callable, Iterable

import attrs
import gevent

from carobfork import clock
from carobfork.coordination import (
    mailboxes,
    pool_servers,
    pools,
    routing,
    slot_messages,
)
from carobfork.state import bundles

TICK_INTERVAL_MS = 500
GRANT_INTERVAL_MS = 50
MAX_DUMPED_POOLS = 50


@attrs.frozen
class WorkerSlots:
    """A worker's slots in the state dump.

    :param worker: the worker's name.
    :param limit: the slot limit.
    :param busy: slots that are held.
    :param leaving: whether the worker gets no further slots.
    :param hold_ms: average time that a slot is held, 0 if unknown.
    """

    worker: str
    limit: int
    busy: int
    leaving: bool
    hold_ms: int


@attrs.frozen
class PoolState:
    """A pool's queue and slots in the state dump.

    :param pool: the pool's name.
    :param waiting: number of waiting calls by rank.
    :param owed_tokens: each rank's deficit, most urgent rank first.
    :param workers: the workers' slots.
    """

    pool: str
    waiting: dict[str, int]
    owed_tokens: list[int]
    workers: list[WorkerSlots]


class PoolHost:
    """Server of slots for all pools that this host is asked for.

    :param mailbox: receives and sends the slot messages.
    :param timer: the dispatchers' clock.
    :param find_unusable: returns the names of workers that are leaving or
        failed.
    """

    def __init__(
        self,
        mailbox: mailboxes.Mailbox,
        timer: clock.Clock,
        find_unusable: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        """Create an instance without pools; a bundle defines them."""
        self._mailbox = mailbox
        self._timer = timer
        self._find_unusable = find_unusable
        self._bundle: bundles.Bundle | None = None
        self._pools: dict[str, pools.Pool] = {}
        self._leaving: frozenset[str] = frozenset()
        self._servers: dict[str, pool_servers.PoolServer] = {}
        server = pool_servers.PoolServer
        mailbox.on(slot_messages.SlotsAsked, self._route_to_pool(server.submit))
        mailbox.on(
            slot_messages.SlotReleased, self._route_to_pool(server.release)
        )
        mailbox.on(
            slot_messages.SlotsOpen, self._route_to_pool(server.answer_summary)
        )
        mailbox.on(
            slot_messages.SlotsListed, self._route_to_pool(server.reconcile)
        )

    def apply_bundle(self, bundle: bundles.Bundle) -> None:
        """Apply a bundle's pools and drop those that it does not have."""
        self._bundle = bundle
        self._pools = pools.split_bundle(bundle)
        for name in set(self._servers) - set(self._pools):
            self._servers.pop(name)
        for name, server in self._servers.items():
            server.apply(self._pools[name], bundle)

    def mark_leaving(self, workers: Iterable[str]) -> None:
        """Stop granting slots on these workers and resume on all others."""
        leaving = frozenset(workers)
        if leaving == self._leaving:
            return
        self._leaving = leaving
        for server in self._servers.values():
            server.dispatcher.workers.mark_leaving(self._leaving)
            server.grant()

    def release_host(self, host: routing.EntryHost) -> None:
        """Release the slots of a failed host."""
        for server in self._servers.values():
            server.remove_holder(host.incarnation)

    def run(self) -> None:
        """Grant slots and check holders periodically until killed."""
        while True:
            for _ in range(TICK_INTERVAL_MS // GRANT_INTERVAL_MS):
                gevent.sleep(clock.to_seconds(GRANT_INTERVAL_MS))
                self.grant()
            self.tick()

    def grant(self) -> None:
        """Grant slots in all pools with waiting calls.

        Deferred calls and failed workers become due by time alone, without a
        message.
        """
        self.mark_leaving(self._find_unusable())
        for server in self._servers.values():
            if len(server.dispatcher.backlog):
                server.grant()

    def tick(self) -> None:
        """Shed excess calls and remove silent holders in all pools."""
        self._mailbox.refresh()
        for server in self._servers.values():
            server.tick()

    def describe(self) -> list[PoolState]:
        """Return the state of at most ``MAX_DUMPED_POOLS`` served pools."""
        servers = list(self._servers.items())[:MAX_DUMPED_POOLS]
        return [_describe(name, server) for name, server in servers]

    def _route_to_pool(self, action: Callable) -> Callable:
        """Return a handler that passes a message to the server of its pool."""

        def handle(message) -> None:  # noqa: WPS430
            server = self._find_server(message.pool)
            # An unknown pool becomes known with a later bundle. The holder's
            # periodic summaries then make up for the dropped message.
            if server is not None:
                action(server, message)

        return handle

    def _find_server(self, name: str) -> pool_servers.PoolServer | None:
        if name not in self._servers and name in self._pools:
            server = pool_servers.PoolServer(
                self._pools[name], self._bundle, self._timer, self._mailbox
            )
            server.dispatcher.workers.mark_leaving(self._leaving)
            self._servers[name] = server
        return self._servers.get(name)


def _describe(name: str, server: pool_servers.PoolServer) -> PoolState:
    dispatcher = server.dispatcher
    return PoolState(
        pool=name,
        waiting=dispatcher.backlog.lengths_by_rank,
        owed_tokens=[
            int(tokens) for tokens in dispatcher.backlog.deficits.deficit_tokens
        ],
        workers=[
            WorkerSlots(
                worker=load.name,
                limit=load.slot_limit,
                busy=load.busy,
                leaving=load.leaving,
                hold_ms=int(load.hold_ms),
            )
            for load in dispatcher.workers.loads.values()
        ],
    )
