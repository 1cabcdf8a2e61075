"""Account for programs' budgets: reserve before a call, settle after it.

Reservations have identifiers, so that applying a record twice, or once live
and again after a takeover, does not change the result. A call to a backend
server whose outcome was never recorded stays reserved at its upper bound.
"""

import attrs

from carobfork import exceptions
from carobfork.state import bundles

_STEP = 'reserve'


def call_reservation_id(key: str) -> str:
    """Return the identifier of a service call's reservation."""
    return f'call\n{key}'


def attempt_reservation_id(key: str, attempt: int) -> str:
    """Return the identifier of the reservation of a model call's attempt."""
    return f'attempt\n{attempt}\n{key}'


def share_reservation_id(program: str) -> str:
    """Return the identifier of a sub-agent's reservation at its parent."""
    return f'program\n{program}'


@attrs.frozen
class Reservation:
    """Upper bound of what a call or a sub-agent may spend."""

    tokens: int
    calls: int = 1


@attrs.define
class Ledger:
    """Limits, spending and reservations of a program.

    Tokens include prompts and answers. Each call is counted once, whatever
    the number of its attempts. Time counts from the program's opening and is
    supplied by the program's owner.

    :param limit: the program's budget.
    :param spent_tokens: tokens that were spent.
    :param spent_calls: calls that were spent.
    :param spent_time_ms: the program's age.
    :param reservations: open reservations by identifier.
    """

    limit: bundles.Budget
    spent_tokens: int = 0
    spent_calls: int = 0
    spent_time_ms: int = 0
    reservations: dict[str, Reservation] = attrs.Factory(dict)

    @property
    def reserved_tokens(self) -> int:
        """Tokens of open reservations."""
        return sum(held.tokens for held in self.reservations.values())

    @property
    def reserved_calls(self) -> int:
        """Calls of open reservations."""
        return sum(held.calls for held in self.reservations.values())

    @property
    def free_tokens(self) -> int:
        """Tokens that are neither spent nor reserved."""
        return self.limit.tokens - self.spent_tokens - self.reserved_tokens

    @property
    def free_calls(self) -> int:
        """Calls that are neither spent nor reserved."""
        return self.limit.calls - self.spent_calls - self.reserved_calls

    @property
    def free_time_ms(self) -> int:
        """Time that is left."""
        return self.limit.time_ms - self.spent_time_ms

    def reserve(self, identifier: str, reservation: Reservation) -> None:
        """Reserve the upper bound of what a call may spend.

        :param identifier: the reservation's identifier.
        :param reservation: the upper bound.
        :raises BudgetExceededError: if the budget does not cover it.
        """
        self._check_available(reservation.calls, self.free_calls, 'calls')
        self._check_available(reservation.tokens, self.free_tokens, 'tokens')
        self._check_available(1, self.free_time_ms, 'ms')
        self.reservations[identifier] = reservation

    def restore(self, identifier: str, reservation: Reservation) -> None:
        """Restore a reservation from a record, without checking limits."""
        self.reservations[identifier] = reservation

    def release(self, identifier: str) -> None:
        """Remove a reservation, if it is still open."""
        self.reservations.pop(identifier, None)

    def settle(self, identifier: str, tokens: int, calls: int = 1) -> None:
        """Replace a reservation by what was spent.

        :param identifier: the reservation's identifier.
        :param tokens: tokens that were spent.
        :param calls: calls that were spent.
        """
        self.release(identifier)
        self.spent_calls += calls
        self.spent_tokens += tokens

    def _check_available(self, requested: int, free: int, unit: str) -> None:
        if requested > free:
            raise exceptions.BudgetExceededError(
                f'{requested} {unit} requested, {max(free, 0)} {unit} left',
                step=_STEP,
            )
