"""Placements: which worker of a model gets the next call.

Policies fill a registry by decorator; the bundle names the one in force.
"""

from collections.abc import Callable, Sequence

import attrs

from carobfork.coordination import orders


@attrs.define
class WorkerLoad:
    """What the dispatcher knows of one worker."""

    name: str
    slot_limit: int
    busy: int = 0
    leaving: bool = False
    granted: int = 0
    """Slots granted since the start."""

    @property
    def free(self) -> int:
        """Slots that may be granted now."""
        return 0 if self.leaving else self.slot_limit - self.busy


PlacementPolicy = Callable[
    [orders.SlotRequest, Sequence[WorkerLoad]], WorkerLoad
]
PLACEMENTS: dict[str, PlacementPolicy] = {}  # noqa: WPS407


def register(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under a name."""

    def decorator(policy: PlacementPolicy) -> PlacementPolicy:  # noqa: WPS430
        PLACEMENTS[name] = policy
        return policy

    return decorator


@register('round_robin')
def fewest_granted(
    request: orders.SlotRequest, free: Sequence[WorkerLoad]
) -> WorkerLoad:
    """Take turns."""
    return min(free, key=lambda load: load.granted)


@register('least_loaded')
def most_free(
    request: orders.SlotRequest, free: Sequence[WorkerLoad]
) -> WorkerLoad:
    """Choose the worker with the most free slots."""
    return max(free, key=lambda load: load.free)


@register('affinity')
def cached_prefix(
    request: orders.SlotRequest, free: Sequence[WorkerLoad]
) -> WorkerLoad:
    """Return to the worker that holds the prefix, else the least loaded."""
    for load in free:
        if load.name == request.last_worker:
            return load
    return most_free(request, free)
