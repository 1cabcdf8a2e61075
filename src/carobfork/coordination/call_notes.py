"""Call notes: what operators can learn about calls after they ended."""

from carobfork import clock, exceptions
from carobfork.coordination import decisions, outcome_counts
from carobfork.state import programs


class CallNotes:
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

    def note_answer(self, outcome: str) -> None:
        """Note that a request was answered with an outcome class."""
        self.outcomes.count(outcome)

    def note_error(self, program: str, call: str, error: Exception) -> None:
        """Note what a request ended with.

        Only programs homed here have a log, and callers without the
        program's token leave no trace in it.
        """
        self.outcomes.count_error(error)
        is_foreign = isinstance(error, exceptions.ForbiddenError)
        if program in self._table.programs and not is_foreign:
            self.decisions.note(
                program, decisions.Action.refused, f'call {call}', str(error)
            )
