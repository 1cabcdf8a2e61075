"""Noted calls: slots and services that log each decision about a call."""

import contextlib
from collections.abc import Iterator

from carobfork import clock, exceptions, logs
from carobfork.coordination import (
    call_logs,
    decisions,
    ports,
    queue_orders,
    slots,
)
from carobfork.state import bundles, programs

_Action = decisions.Action


def open_notes(
    timer: clock.Clock, table: programs.ProgramTable
) -> call_logs.CallLog:
    """Return the empty notes of a host that starts."""
    return call_logs.CallLog(timer, table)


class NotedSlots:
    """Log who waits for which slot and who got one.

    :param broker: where the slots come from.
    :param log: where the decisions go.
    """

    def __init__(
        self, broker: slots.SlotBroker, log: decisions.DecisionLog
    ) -> None:
        """Remember both."""
        self._broker = broker
        self._log = log

    def check_new_program(self, rank: int, queue_limit_ms: int) -> None:
        """Check that a new program of a rank may be opened."""
        self._broker.check_new_program(rank, queue_limit_ms)

    @contextlib.contextmanager
    def acquire(
        self, request: queue_orders.SlotRequest
    ) -> Iterator[slots.Slot]:
        """Wait for a slot and hold it."""
        logs.bind(attempt=request.identifier)
        program = request.program
        call = f'attempt {request.identifier}'
        wanted = f'a slot of model {request.model} in rank {request.rank}'
        self._log.add(program, _Action.queued, call, wanted)
        with self._broker.acquire(request) as slot:
            self._log.add(program, _Action.granted, call, slot.worker)
            yield slot
        self._log.add(program, _Action.ended, call, 'its stream ended')


class NotedServices:
    """Log which server a service call was sent to and how it ended.

    :param backend: the plain services.
    :param log: where the decisions go.
    """

    def __init__(
        self, backend: ports.ServiceBackend, log: decisions.DecisionLog
    ) -> None:
        """Remember both."""
        self._backend = backend
        self._log = log

    def send(
        self,
        server: bundles.Server,
        request: ports.ServiceRequest,
        timeout_ms: int,
    ) -> ports.ServiceReply:
        """Send a request once and wait for its answer."""
        program, _, key = request.call.partition('/')
        call = f'call {key}'
        self._log.add(program, _Action.sent, call, server.name)
        try:
            reply = self._backend.send(server, request, timeout_ms)
        except exceptions.CarobforkError as error:
            self._log.add(program, _Action.refused, call, str(error))
            raise
        answered = f'{server.name} with status {reply.status}'
        self._log.add(program, _Action.answered, call, answered)
        return reply
