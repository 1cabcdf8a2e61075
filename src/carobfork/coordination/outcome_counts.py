"""Count the callers' requests by outcome and error code."""

import collections

import attrs

from carobfork import exceptions

_INTERNAL_ERROR = exceptions.CarobforkError


@attrs.frozen
class Ending:
    """How a request ended.

    :param outcome: the outcome class.
    :param code: the error's code, empty if the request was answered.
    """

    outcome: str
    code: str = ''


class OutcomeCounts:
    """Counters of request endings.

    Errors that are not of this package count as internal errors.
    """

    def __init__(self) -> None:
        """Create counters of zero."""
        self.counts: collections.Counter[Ending] = collections.Counter()

    def count(self, outcome: str) -> None:
        """Count a request that was answered."""
        self.counts[Ending(outcome)] += 1

    def count_error(self, error: Exception) -> None:
        """Count a request that ended with an error."""
        known = _INTERNAL_ERROR
        if isinstance(error, exceptions.CarobforkError):
            known = error
        self.counts[Ending(str(known.outcome), known.code)] += 1
