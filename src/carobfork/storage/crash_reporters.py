"""Report crashes of servers to all store hosts."""

import functools
from typing import Any

import attrs
import gevent

from carobfork import clock
from carobfork.storage import links, messages

RETRY_INTERVAL_MS = 500
MAX_AGE_MS = 30_000
"""How long a report is sent again: longer than a restart of all store hosts or
an outage that cuts them off."""

Report = messages.Crash | messages.CrashCleared


class CrashReporter:
    """Sends reports to the store hosts that keep them.

    :param member_links: links to the group's store hosts.
    :param timer: the clock for the age of reports.
    """

    def __init__(self, member_links: links.Links, timer: clock.Clock) -> None:
        """Create a reporter that knows no store host that keeps reports."""
        self._links = member_links
        self._timer = timer
        self._keepers: set[str] = set()

    def set_keeper(self, disk: str, keeps_crashes: bool) -> None:
        """Record whether a store host keeps reports, by its disk."""
        if keeps_crashes:
            self._keepers.add(disk)
        else:
            self._keepers.discard(disk)

    def report(self, report: Report) -> None:
        """Send a report to all store hosts, without waiting for replies."""
        now_ms = self._timer.now_ms()
        for disk in list(self._keepers):
            self._send(disk, report, now_ms)

    def _send(self, disk: str, report: Report, made_ms: float) -> None:
        """Send a report to a store host.

        :param made_ms: when it was made.
        """
        link = self._links.get(disk)
        if link is None:
            return
        retry = functools.partial(self._retry, disk, report, made_ms)
        if isinstance(report, messages.Crash):
            age_ms = report.age_ms + self._timer.now_ms() - made_ms
            report = attrs.evolve(report, age_ms=age_ms)
        link.send_request(report, retry)

    def _retry(
        self, disk: str, report: Report, made_ms: float, reply: Any
    ) -> None:
        if reply is None and self._timer.now_ms() - made_ms < MAX_AGE_MS:
            gevent.spawn_later(
                clock.to_seconds(RETRY_INTERVAL_MS),
                self._send,
                disk,
                report,
                made_ms,
            )
