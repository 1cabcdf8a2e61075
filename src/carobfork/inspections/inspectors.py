"""Inspectors: what operators may see of an entry host and do to it."""

import os
import signal
from collections.abc import Callable

from carobfork import exceptions
from carobfork.coordination import decisions
from carobfork.inspections import (  # noqa: F401
    explanations,
    host_metrics,
    hosts,
    metrics,
    sections,
    state_dumps,
    traffic_metrics,
)


class HostInspector:
    """Answer operators about one entry host.

    :param host: the parts of the host.
    :param end: ends a program: its identifier and the reason.
    """

    def __init__(
        self, host: hosts.InspectedHost, end: Callable[[str, str], None]
    ) -> None:
        """Remember the host."""
        self._host = host
        self._end = end

    def describe_state(self) -> dict:
        """Return the state dump as JSON-ready fields."""
        if not self._host.is_listening:
            return self._host.describe_state()
        return {
            **self._host.describe_state(),
            **state_dumps.describe(self._host),
        }

    def render_metrics(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return metrics.render(self._serving())

    def show_program(self, program: str) -> dict:
        """Return a program's state as JSON-ready fields."""
        return explanations.show(self._serving(), program)

    def explain(self, program: str) -> list[str]:
        """Say in sentences what was decided about a program, and why."""
        return explanations.explain(self._serving(), program)

    def abort(self, program: str, reason: str) -> None:
        """End a program."""
        self._serving().table.find(program)
        self._end(program, reason)
        self._host.notes.decisions.add(
            program, decisions.Action.stopped, detail=reason
        )

    def drain(self) -> str:
        """Begin the stop that SIGTERM begins; return the incarnation."""
        host = self._serving()
        os.kill(os.getpid(), signal.SIGTERM)
        return str(host.members.own.incarnation)

    def _serving(self) -> hosts.InspectedHost:
        """Return the host once all of its parts are there."""
        if not self._host.is_listening:
            raise exceptions.NotRunError(
                'the host is starting or has stopped', step='inspect'
            )
        return self._host
