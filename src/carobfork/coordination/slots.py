"""Slots: permission to use a worker, held for as long as a stream runs."""

import contextlib
from collections.abc import Iterator
from typing import Protocol

import attrs
import gevent
from gevent import event

from carobfork import clock, exceptions
from carobfork.coordination import dispatchers, orders
from carobfork.state import bundles

SLOT_TIMEOUT_MS = 30_000


class SlotBroker(Protocol):
    """Where calls get their slots from."""

    def acquire(
        self, request: orders.SlotRequest
    ) -> contextlib.AbstractContextManager[str]:
        """Wait for a slot and hold it; the context is the worker's name.

        :raises OverloadedError: no slot can be had in time.
        """


class LocalSlots:
    """Grant slots from dispatchers in this process.

    :param timer: the clock of the dispatchers.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without dispatchers; a bundle brings them."""
        self.dispatchers: dict[str, dispatchers.Dispatcher] = {}
        self._timer = timer
        self._granted: dict[str, event.AsyncResult] = {}

    def apply_bundle(self, bundle: bundles.Bundle) -> None:
        """Start a dispatcher for each model that is new."""
        for model in bundle.models:
            if model.name not in self.dispatchers:
                self.dispatchers[model.name] = dispatchers.Dispatcher(
                    model, bundle.policy, self._timer
                )

    @contextlib.contextmanager
    def acquire(self, request: orders.SlotRequest) -> Iterator[str]:
        """Wait for a slot and hold it; the context is the worker's name."""
        dispatcher = self.dispatchers[request.model]
        arrived = attrs.evolve(request, arrived_ms=self._timer.now_ms())
        dispatcher.submit(arrived)
        granted = event.AsyncResult()
        self._granted[request.identifier] = granted
        try:
            yield self._wait(dispatcher, granted)
        finally:
            self._granted.pop(request.identifier, None)
            dispatcher.withdraw(request.identifier)
            self._grant_all(dispatcher)

    def _wait(
        self, dispatcher: dispatchers.Dispatcher, granted: event.AsyncResult
    ) -> str:
        self._grant_all(dispatcher)
        try:
            return granted.get(timeout=clock.to_seconds(SLOT_TIMEOUT_MS))
        except gevent.Timeout:
            raise exceptions.OverloadedError(
                'no slot came free in time', step='queue'
            ) from None

    def _grant_all(self, dispatcher: dispatchers.Dispatcher) -> None:
        while (grant := dispatcher.grant_next()) is not None:
            self._granted[grant.request.identifier].set(grant.worker)
