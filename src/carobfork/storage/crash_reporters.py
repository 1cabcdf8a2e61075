"""Report crashes of servers to all store hosts."""

import functools
from typing import Any

import attrs
import gevent

from carobfork import clock
from carobfork.storage import links, messages

RETRY_INTERVAL_MS = 500
MAX_TRIES = 6
"""Together with the interval, covers the restart of a store host."""

Report = messages.Crash | messages.CrashCleared


class CrashReporter:
    """Sends reports to the store hosts that keep them.

    :param member_links: links to the group's store hosts.
    """

    def __init__(self, member_links: links.Links) -> None:
        """Create a reporter that knows no store host that keeps reports."""
        self._links = member_links
        self._keepers: set[str] = set()

    def set_keeper(self, disk: str, keeps_crashes: bool) -> None:
        """Record whether a store host keeps reports, by its disk."""
        if keeps_crashes:
            self._keepers.add(disk)
        else:
            self._keepers.discard(disk)

    def report(self, report: Report) -> None:
        """Send a report to all store hosts, without waiting for replies."""
        for disk in list(self._keepers):
            self._send(disk, report, MAX_TRIES)

    def _send(self, disk: str, report: Report, tries: int) -> None:
        link = self._links.get(disk)
        if link is not None:
            link.send_request(
                report, functools.partial(self._retry, disk, report, tries - 1)
            )

    def _retry(self, disk: str, report: Report, tries: int, reply: Any) -> None:
        if reply is None and tries:
            if isinstance(report, messages.Crash):
                age_ms = report.age_ms + RETRY_INTERVAL_MS
                report = attrs.evolve(report, age_ms=age_ms)
            gevent.spawn_later(
                clock.to_seconds(RETRY_INTERVAL_MS),
                self._send,
                disk,
                report,
                tries,
            )
