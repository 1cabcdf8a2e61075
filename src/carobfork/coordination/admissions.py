"""Decide on arrival whether a call may wait for a slot or is refused.

A call is refused before any work is done for it on a worker (backend
server). Policies register themselves by a decorator; the bundle names the
one in force.
"""

from collections.abc import Callable

import attrs

NEW_PROGRAM_LIMIT_RATIO = 0.25
STARTED_PROGRAM_LIMIT_RATIO = 2
RARE_KIND_LIMIT_RATIO = 2


@attrs.frozen
class Arrival:
    """Input of an admission policy for an arriving call.

    :param expected_wait_ms: expected wait for a slot.
    :param queue_limit_ms: the longest expected wait that the rank allows.
    """

    expected_wait_ms: float
    queue_limit_ms: int
    started: bool
    """Whether the call's program was served before."""
    kind_ratio: float
    """Fraction of the rank's waiting calls that are of the same kind."""
    kind_count: int
    """Number of kinds among the rank's waiting calls and this one."""


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
    """Admit every call; only the bound of the queue applies."""
    return True


@register('by_call')
def admit_within_limit(arrival: Arrival) -> bool:
    """Admit calls while the expected wait is within the rank's limit."""
    return arrival.expected_wait_ms <= arrival.queue_limit_ms


@register('by_program')
def admit_started_first(arrival: Arrival) -> bool:
    """Refuse new programs first, so that started ones can finish.

    Kinds with less than an equal part of the queue get a higher limit, so
    that a burst of one kind does not shut out the others.
    """
    limit_ratio = (
        STARTED_PROGRAM_LIMIT_RATIO
        if arrival.started
        else NEW_PROGRAM_LIMIT_RATIO
    )
    if arrival.kind_ratio * arrival.kind_count < 1:
        limit_ratio *= RARE_KIND_LIMIT_RATIO
    return arrival.expected_wait_ms <= arrival.queue_limit_ms * limit_ratio
