"""Try the waiting calls of a service in their order.

Calls that the same workers may run are interchangeable: if one of them gets no
slot, none of them does, so the others are not tried.
"""

import itertools
from collections.abc import Callable

from carobfork.gateway import queued_calls, selections, waiting_calls


class GrantRound:
    """One round of grants, from the most urgent call on.

    :param waiting: the waiting calls; those that get a slot are removed.
    :param selector: tells which workers may run a call.
    :param try_call: grants a call a slot, or returns ``False``.
    """

    def __init__(
        self,
        waiting: waiting_calls.WaitingCalls,
        selector: selections.WorkerSelector,
        try_call: Callable[[queued_calls.QueuedCall], bool],
    ) -> None:
        """Create a round in which no call has been tried."""
        self._waiting = waiting
        self._selector = selector
        self._try_call = try_call
        self._stuck: set[tuple] = set()

    def run(self) -> None:
        """Grant slots until no waiting call gets one."""
        for rank in sorted(self._waiting.count_by_rank()):
            # Calls of other ranks may get permits for limited workers.
            self._stuck -= self._run_rank(rank)

    def _run_rank(self, rank: queued_calls.Precedence) -> set[tuple]:
        """Grant slots to the calls of a rank.

        :return: the eligibilities that got no slot and whose workers are
            limited.
        """
        limited = set()
        queued = self._waiting.first(rank, self._stuck)
        while queued is not None:
            eligibility = queued.eligibility
            if not self._try_waiting(queued):
                self._stuck.add(eligibility)
                if self._try_others(rank, queued):
                    limited.add(eligibility)
            queued = self._waiting.first(rank, self._stuck)
        return limited

    def _try_waiting(self, queued: queued_calls.QueuedCall) -> bool:
        if self._try_call(queued):
            self._waiting.remove(queued)
            return True
        return False

    def _try_others(
        self, rank: queued_calls.Precedence, queued: queued_calls.QueuedCall
    ) -> bool:
        """Handle the calls that are interchangeable with one without a slot.

        As many as there are limited workers are tried, since each requests a
        permit of its own worker. If no worker is left to wait for, all are
        refused.

        :return: whether some of the workers are limited.
        """
        candidates = self._selector.candidates(queued)
        limited = sum(worker.limit_per_s is not None for worker in candidates)
        is_in_vain = not candidates and self._selector.is_in_vain(queued)
        if not (limited or is_in_vain):
            return False
        others = self._waiting.alike(rank, queued.eligibility)
        for other in itertools.islice(others, limited):
            self._try_waiting(other)
        if is_in_vain:
            for vain in others:
                self._waiting.remove(vain)
                vain.resolve(None)
        return limited > 0
