"""List which records one disk holds, in the order in which they changed.

Other members of the storage group compare the list with their own records and
copy those that they have missed.
"""

import secrets

import attrs

from carobfork import clock

SETTLE_MS = 1000
"""Age from which a change is listed. A record that is still on its way to the
other members would be copied in vain."""
MAX_LISTED = 4096
"""Most attempts that are listed at a time; bounds the length of a reply."""
_TURN = 1
_CHARGE = 2
_SETTLED = 4
_CHOICE = 8


def make_form(
    has_turn: bool, charge: tuple[int, bool] | None, choice: int
) -> int:
    """Return which records of an attempt are held, as one number.

    :param charge: its tokens and whether it is settled.
    :param choice: number of the choice of its stream's version, 0 if none.
    """
    form = choice * _CHOICE + _TURN * has_turn
    if charge is not None:
        form += _CHARGE + _SETTLED * charge[1]
    return form


def covers(held: int, other: int) -> bool:
    """Return whether one form includes all records of another."""
    records, choice = other % _CHOICE, other // _CHOICE
    return held & records == records and held // _CHOICE >= choice


@attrs.frozen
class _Change:
    """The last change of an attempt's records.

    :param number: increases with each change.
    :param changed_ms: when it was made.
    :param program: the program that the attempt is charged to, if any.
    """

    number: int
    changed_ms: float
    program: str


class ChangeLog:
    """The attempts with records, in the order of their last changes.

    :ivar log: identifies the numbers of this process.
    :param timer: measures the age of changes.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create an empty log."""
        self.log = secrets.token_hex(4)
        self._timer = timer
        self._changes: dict[str, _Change] = {}
        self._last_number = 0

    def record(self, attempt: str, program: str = '') -> None:
        """Record a change of an attempt.

        :param program: the program that it is charged to, if that is known.
        """
        known = self._changes.pop(attempt, None)
        if known is not None and not program:
            program = known.program
        self._last_number += 1
        self._changes[attempt] = _Change(
            self._last_number, self._timer.now_ms(), program
        )

    def remove(self, attempt: str) -> None:
        """Remove an attempt whose records have expired."""
        self._changes.pop(attempt, None)

    def program(self, attempt: str) -> str:
        """Return the program that an attempt is charged to, if any."""
        change = self._changes.get(attempt)
        return change.program if change else ''

    def attempts(self) -> list[str]:
        """Return all attempts."""
        return list(self._changes)

    def list_since(self, number: int) -> tuple[list[str], int]:
        """Return settled changes after a number, oldest first.

        :param number: the number of the last change that is known; 0 if none.
        :return: the attempts, and the number of the last listed change.
        """
        newer = []
        settled_ms = self._timer.now_ms() - SETTLE_MS
        for attempt, change in reversed(self._changes.items()):
            if change.number <= number:
                break
            if change.changed_ms <= settled_ms:
                newer.append((attempt, change.number))
        listed = list(reversed(newer))[:MAX_LISTED]
        last_number = listed[-1][1] if listed else number
        return [attempt for attempt, _number in listed], last_number
