"""Measure calls that hold a slot on a worker (backend server)."""

import contextlib
from typing import Protocol

from carobfork import clock
from carobfork.coordination import queue_orders, slot_limiters


class Slot:
    """A slot that is held while a call's stream runs, with its measurements.

    :param worker: the worker's name.
    :param timer: the clock for the measurements.
    """

    def __init__(self, worker: str, timer: clock.Clock) -> None:
        """Create a slot that is granted now."""
        self.worker = worker
        self._timer = timer
        self._granted_ms = timer.now_ms()
        self._first_output_ms = 0
        self._last_output_ms = 0
        self._output_tokens = 0
        self._prefilled_tokens = 0

    def record_output(self) -> None:
        """Record that output of the stream arrived."""
        self._last_output_ms = self._timer.now_ms()
        self._first_output_ms = self._first_output_ms or self._last_output_ms

    def record_usage(self, output_tokens: int, prefilled_tokens: int) -> None:
        """Record the tokens that the engine computed.

        :param output_tokens: tokens that were generated.
        :param prefilled_tokens: prompt tokens that were not cached.
        """
        self._output_tokens = output_tokens
        self._prefilled_tokens = prefilled_tokens

    def report(self) -> slot_limiters.CallReport:
        """Return the measurements to send when the slot is released."""
        steps = self._output_tokens - 1
        between_ms = (
            (self._last_output_ms - self._first_output_ms) / steps
            if steps > 0
            else 0
        )
        first_ms = (
            self._first_output_ms - self._granted_ms
            if self._first_output_ms
            else 0
        )
        return slot_limiters.CallReport(
            held_ms=self._timer.now_ms() - self._granted_ms,
            first_token_ms=first_ms,
            between_tokens_ms=between_ms,
            output_tokens=self._output_tokens,
            prefilled_tokens=self._prefilled_tokens,
        )


class SlotBroker(Protocol):
    """Interface through which calls get slots."""

    def acquire(
        self, request: queue_orders.SlotRequest
    ) -> contextlib.AbstractContextManager[Slot]:
        """Wait for a slot and hold it while the context is open.

        :param request: the call.
        :raises OverloadedError: if no slot is available in time.
        """

    def check_new_program(self, rank: int, queue_limit_ms: int) -> None:
        """Check that a new program of a rank may be opened.

        :param rank: the rank's position.
        :param queue_limit_ms: the rank's longest expected wait.
        :raises OverloadedError: if its first call would be refused.
        """
