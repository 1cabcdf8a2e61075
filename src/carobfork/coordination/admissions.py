"""Admissions: which calls may wait for a slot, and which are refused.

A call is refused before any work is done for it. Policies fill a registry
by decorator; the bundle names the one in force.
"""

from collections.abc import Callable

import attrs

NEW_PROGRAM_LIMIT_RATIO = 0.25
STARTED_PROGRAM_LIMIT_RATIO = 2
RARE_KIND_LIMIT_RATIO = 2


@attrs.frozen
class Arrival:
    """What an admission policy knows of a call that arrives."""

    expected_wait_ms: float
    queue_limit_ms: int
    started: bool
    """Whether work was done for the call's program before."""
    kind_ratio: float
    """Part of the rank's waiting calls that are of the same kind."""
    kind_count: int
    """Kinds of programs among the rank's waiting calls."""


AdmissionPolicy = Callable[[Arrival], bool]
ADMISSIONS: dict[str, AdmissionPolicy] = {}  # noqa: WPS407


def register(name: str) -> Callable[[AdmissionPolicy], AdmissionPolicy]:
    """Register an admission policy under a name."""

    def decorator(policy: AdmissionPolicy) -> AdmissionPolicy:  # noqa: WPS430
        ADMISSIONS[name] = policy
        return policy

    return decorator


@register('all')
def admit_all(arrival: Arrival) -> bool:
    """Admit every call that the bounded queue can hold."""
    return True


@register('by_call')
def admit_within_limit(arrival: Arrival) -> bool:
    """Admit calls while the expected wait meets the rank's limit."""
    return arrival.expected_wait_ms <= arrival.queue_limit_ms


@register('by_program')
def admit_started_first(arrival: Arrival) -> bool:
    """Refuse new programs first, so that those under way can finish.

    A kind with less than its part of the queue is refused later, so that a
    flood of one kind leaves room for the others.
    """
    limit_ratio = (
        STARTED_PROGRAM_LIMIT_RATIO
        if arrival.started
        else NEW_PROGRAM_LIMIT_RATIO
    )
    if arrival.kind_ratio * arrival.kind_count < 1:
        limit_ratio *= RARE_KIND_LIMIT_RATIO
    return arrival.expected_wait_ms <= arrival.queue_limit_ms * limit_ratio
