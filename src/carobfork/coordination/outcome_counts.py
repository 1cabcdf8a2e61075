"""Outcome counts: how callers' requests ended, by outcome and code."""

import collections

import attrs

from carobfork import exceptions

_INTERNAL_ERROR = exceptions.CarobforkError


@attrs.frozen
class Ending:
    """How a request ended: outcome class and error code, if any."""

    outcome: str
    code: str = ''


class OutcomeCounts:
    """Count the endings of requests; codes are those of the error classes."""

    def __init__(self) -> None:
        """Start at zero."""
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
