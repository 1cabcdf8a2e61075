"""Log the outcomes of calls and the decisions about them, for operators."""

import attrs

from carobfork import clock, exceptions
from carobfork.coordination import calls, decisions, outcome_counts
from carobfork.state import programs


@attrs.frozen
class ClaimedCaller:
    """The program, token and call named by a request; not verified."""

    program: str
    token: str
    call: str


class CallLog:
    """Counts of outcomes and a log of decisions.

    :param timer: clock for the times of decisions.
    :param table: the programs homed on this host.
    """

    def __init__(
        self, timer: clock.Clock, table: programs.ProgramTable
    ) -> None:
        """Initialize without outcomes and decisions."""
        self.decisions = decisions.DecisionLog(timer)
        self.outcomes = outcome_counts.OutcomeCounts()
        self._table = table

    def count_outcome(self, outcome: str) -> None:
        """Count a request that was answered with an outcome class."""
        self.outcomes.count(outcome)

    def log_error(self, caller: ClaimedCaller, error: Exception) -> None:
        """Count an error and log it among the decisions of its program.

        It is logged only for programs homed on this host, and only if the
        caller presented the program's token.
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
