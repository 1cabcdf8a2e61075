"""Budgets: reserved before a call is sent, settled after it.

Reservations carry identifiers, so that applying a record twice, or live and
after a takeover, changes nothing. A call whose outcome was never recorded
stays reserved at its upper bound.
"""

import attrs

from carobfork import exceptions
from carobfork.state import bundles

_STEP = 'reserve'


def call_reservation_id(key: str) -> str:
    """Return the identifier of a service call's reservation."""
    return f'call\n{key}'


def attempt_reservation_id(key: str, attempt: int) -> str:
    """Return the identifier of a model call's reservation."""
    return f'attempt\n{attempt}\n{key}'


def share_reservation_id(program: str) -> str:
    """Return the identifier of a sub-agent's share."""
    return f'program\n{program}'


@attrs.frozen
class Reservation:
    """The most that a call, or a sub-agent, may take."""

    tokens: int
    calls: int = 1


@attrs.define
class Ledger:
    """What a program may spend, has spent and has reserved.

    Tokens count prompts and answers. Calls count each call once. Time
    counts from the program's opening, and is told by its home.
    """

    limit: bundles.Budget
    spent_tokens: int = 0
    spent_calls: int = 0
    spent_time_ms: int = 0
    reservations: dict[str, Reservation] = attrs.Factory(dict)

    @property
    def reserved_tokens(self) -> int:
        """Tokens reserved and not settled."""
        return sum(held.tokens for held in self.reservations.values())

    @property
    def reserved_calls(self) -> int:
        """Calls reserved and not settled."""
        return sum(held.calls for held in self.reservations.values())

    @property
    def free_tokens(self) -> int:
        """Tokens neither spent nor reserved."""
        return self.limit.tokens - self.spent_tokens - self.reserved_tokens

    @property
    def free_calls(self) -> int:
        """Calls neither spent nor reserved."""
        return self.limit.calls - self.spent_calls - self.reserved_calls

    @property
    def free_time_ms(self) -> int:
        """Time left."""
        return self.limit.time_ms - self.spent_time_ms

    def reserve(self, identifier: str, reservation: Reservation) -> None:
        """Reserve the most that a call can take.

        :raises BudgetExceededError: the budget does not cover it.
        """
        self._check_available(reservation.calls, self.free_calls, 'calls')
        self._check_available(reservation.tokens, self.free_tokens, 'tokens')
        self._check_available(1, self.free_time_ms, 'ms')
        self.reservations[identifier] = reservation

    def restore(self, identifier: str, reservation: Reservation) -> None:
        """Hold a recorded reservation."""
        self.reservations[identifier] = reservation

    def release(self, identifier: str) -> None:
        """Give a reservation back, if it is still held."""
        self.reservations.pop(identifier, None)

    def settle(self, identifier: str, tokens: int, calls: int = 1) -> None:
        """Replace a reservation by what was spent."""
        self.release(identifier)
        self.spent_calls += calls
        self.spent_tokens += tokens

    def _check_available(self, asked: int, free: int, unit: str) -> None:
        if asked > free:
            raise exceptions.BudgetExceededError(
                f'{asked} {unit} asked, {max(free, 0)} {unit} left', step=_STEP
            )
