"""Turns: budget and history of a program's calls, before and after a run."""

from collections.abc import Mapping
from typing import Protocol

import attrs
import gevent
import structlog

from carobfork import exceptions
from carobfork.gateway import budgets, calls, events, routes
from carobfork.storage import messages

logger = structlog.get_logger(part='turns')


class TurnStore(Protocol):
    """Where turns and charges are kept."""

    def begin(self, message: messages.Begin) -> messages.Begun:
        """Reserve tokens and read a program's state."""

    def finish(self, message: messages.Finish) -> None:
        """Keep a turn and settle its attempt."""

    def settle(self, message: messages.Finish) -> None:
        """Settle an attempt, trying a few times."""

    def place(self, attempt: str, worker: str) -> None:
        """Tell on which server a turn runs."""


@attrs.define(eq=False)
class Turn:
    """A turn that may run.

    :param worker: the server that it was announced for.
    :param history: the chain's bytes, which go before the new input.
    :param open_turns: turns of all hosts by server, its own included, where
        store hosts told of them.
    """

    call: calls.Call
    route: routes.Route
    event_tokens: int
    request: bytes
    worker: str = ''
    history: bytes = b''
    open_turns: Mapping[str, int] | None = None
    is_open: bool = True

    @property
    def is_charged(self) -> bool:
        """Whether the turn counts in a budget."""
        return bool(self.call.program) and self.call.budget_tokens is not None

    def make_charge(
        self, tokens: int, is_settled: bool
    ) -> messages.Charge | None:
        """Return what the turn counts for."""
        if not self.is_charged:
            return None
        return messages.Charge(
            self.call.program,
            self.call.attempt,
            tokens,
            is_settled,
            self.route.retain_ms,
        )


class TurnManager:
    """Open and close turns.

    :param records: where they are kept.
    """

    def __init__(self, records: TurnStore) -> None:
        """Keep the records' client."""
        self._store = records

    def open(
        self,
        call: calls.Call,
        route: routes.Route,
        event_tokens: int,
        request: bytes,
        worker: str = '',
    ) -> Turn:
        """Reserve a turn's tokens and read its history.

        :param worker: the server that it will probably run on.

        :raises BudgetExceededError: the budget does not cover it.
        :raises UnknownProgramError: the turn before does not exist.
        :raises NotRunError: the records can't be reached.
        """
        turn = Turn(call, route, event_tokens, request, worker)
        previous = call.previous_turn if route.is_retained else ''
        if not turn.is_charged and not previous:
            return turn
        begun = self._begin(turn, previous)
        turn.history = begun.chain
        turn.open_turns = begun.open_turns
        if not budgets.covers(call, begun.charges):
            self.close(turn, 0)
            raise exceptions.BudgetExceededError(
                f'{len(begun.charges)} attempts have used the budget of'
                f' {call.budget_tokens} tokens',
                step='budget',
                peer=call.program,
            )
        return turn

    def update_worker(self, turn: Turn, worker: str) -> None:
        """Tell other hosts where a turn runs, unless that was announced."""
        if turn.is_charged and worker != turn.worker:
            turn.worker = worker
            self._store.place(turn.call.attempt, worker)

    def store(self, turn: Turn, event_log: events.EventLog) -> None:
        """Keep a turn that ended whole, before its caller learns of it.

        :raises NotRunError: too few store hosts have it.
        """
        if turn.route.is_retained:
            record = messages.Turn(
                turn.call.attempt,
                turn.call.previous_turn,
                turn.request,
                event_log.content(),
            )
            self._store.finish(
                messages.Finish(
                    turn.make_charge(event_log.count * turn.event_tokens, True),
                    record,
                    turn.route.retain_ms,
                )
            )
            turn.is_open = False

    def close(self, turn: Turn, event_count: int) -> None:
        """Settle what a turn used; its caller doesn't wait for that.

        :param count: events that the caller was given.
        """
        charge = turn.make_charge(
            event_count * turn.event_tokens, is_settled=True
        )
        if turn.is_open and charge is not None:
            turn.is_open = False
            gevent.spawn(self._store.settle, messages.Finish(charge))

    def _begin(self, turn: Turn, previous: str) -> messages.Begun:
        charge = turn.make_charge(turn.call.output_tokens, is_settled=False)
        message = messages.Begin(
            charge, previous, turn.route.retain_ms, worker=turn.worker
        )
        try:
            return self._store.begin(message)
        except exceptions.CarobforkError:
            # The reservation may stand on some hosts.
            self.close(turn, 0)
            raise
