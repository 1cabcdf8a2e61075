"""Call notes: what operators can learn about calls after they ended."""

import attrs

from carobfork import clock, exceptions
from carobfork.coordination import calls, decisions, outcome_counts
from carobfork.state import programs


@attrs.frozen
class ClaimedCaller:
    """Who a request says that it comes from, unchecked."""

    program: str
    token: str
    call: str


class CallLog:
    """Count how calls ended and log what was decided about them.

    :param timer: the clock that decisions are stamped with.
    :param table: the programs homed here.
    """

    def __init__(
        self, timer: clock.Clock, table: programs.ProgramTable
    ) -> None:
        """Start empty."""
        self.decisions = decisions.DecisionLog(timer)
        self.outcomes = outcome_counts.OutcomeCounts()
        self._table = table

    def count_outcome(self, outcome: str) -> None:
        """Note that a request was answered with an outcome class."""
        self.outcomes.count(outcome)

    def log_error(self, caller: ClaimedCaller, error: Exception) -> None:
        """Note what a request ended with.

        Only programs homed here have a log, and callers without the
        program's token leave no trace in it.
        """
        self.outcomes.count_error(error)
        if self._is_authorised(caller):
            self.decisions.add(
                caller.program,
                decisions.Action.refused,
                f'call {caller.call}',
                str(error),
            )

    def _is_authorised(self, caller: ClaimedCaller) -> bool:
        program = self._table.programs.get(caller.program)
        if program is None:
            return False
        try:
            calls.authorise(program, caller.token)
        except exceptions.ForbiddenError:
            return False
        return True
