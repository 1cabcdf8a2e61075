"""Track which entry hosts are alive, and the load that they report.

Each entry host reports to one store host a few times a second, and gets the
state of the others in reply. Store hosts forward the reports that they
received directly to each other. So the number of messages grows with the
number of entry hosts, not with its product with the number of store hosts.
"""

import collections
import itertools
import random
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from carobfork import clock
from carobfork.storage import messages

PRESENCE_TTL_MS = 1100
"""Lifetime of a report. A host that missed four heartbeats is down, frozen or
cut off."""
DIRECT_PRECEDENCE_MS = 400
"""Time in which a direct report takes precedence over forwarded ones: about one
and a half heartbeats."""
TOTALS_TTL_MS = 50
"""Lifetime of computed totals; short compared with the heartbeat interval of
the reports that they add up."""
FULL_LOAD_RATIO = 0.7
"""Share of its processor from which a host counts as full: calls would wait for
each other."""
_VERSION_RANGE = 1_000_000_000


@attrs.frozen
class _Observation:
    """The last report of an entry host.

    :param received_ms: when it arrived here.
    :param is_direct: whether the entry host sent it here itself.
    """

    received_ms: float
    presence: messages.Presence
    is_direct: bool


@attrs.frozen
class _Totals:
    """Totals of all entry hosts, and the reports that they add up.

    :param by_node: the report of each entry host, as included in the totals.
    """

    computed_ms: float = float('-inf')
    in_flight: Mapping[str, int] = attrs.Factory(dict)
    waiting: Mapping[str, int] = attrs.Factory(dict)
    suspects: Mapping[str, int] = attrs.Factory(dict)
    by_node: Mapping[str, messages.Presence] = attrs.Factory(dict)
    waiting_ranks: Mapping[int, Mapping[str, int]] = attrs.Factory(dict)
    used_sizes: Mapping[str, float] = attrs.Factory(dict)
    full: Sequence[str] = ()


_EMPTY_PRESENCE = messages.Presence('', '', '', is_leaving=False)


class PresenceTable:
    """The last report of each live entry host.

    :param timer: measures the age of reports.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create an empty table."""
        self._timer = timer
        self._observations: dict[str, _Observation] = {}
        self._hosts: dict[str, tuple[str, str, bool]] = {}
        self._sizes: dict[str, float] = {}
        self._totals = _Totals()
        # The initial version is random, so that an entry host which knows a
        # version of an earlier process or of another store host does not
        # mistake it for this one.
        self._hosts_version = random.randrange(_VERSION_RANGE)

    def record(
        self, presence: messages.Presence, news: messages.News
    ) -> messages.Hosts:
        """Record a host's own report and return the reply to it.

        :param news: included in the reply.
        """
        now_ms = self._timer.now_ms()
        self._observations[presence.node] = _Observation(
            now_ms, presence, is_direct=True
        )
        totals = self._current_totals(now_ms)
        own = totals.by_node.get(presence.node, _EMPTY_PRESENCE)
        is_known = presence.hosts_version == self._hosts_version
        return messages.Hosts(
            self._hosts_version,
            None if is_known else self._hosts,
            _subtract(totals.in_flight, own.in_flight),
            _subtract(totals.waiting, own.waiting),
            news,
            _subtract(totals.suspects, dict.fromkeys(own.suspects, 1)),
            {
                rank: _subtract(waiting, own.waiting_ranks.get(rank, {}))
                for rank, waiting in totals.waiting_ranks.items()
            },
            sizes={} if is_known else self._sizes,
            used_sizes=dict(totals.used_sizes),
            full=list(totals.full),
        )

    def record_reported(self, presences: Iterable[messages.Presence]) -> None:
        """Record reports that another store host forwarded."""
        now_ms = self._timer.now_ms()
        for presence in presences:
            previous = self._observations.get(presence.node)
            has_recent_direct = (
                previous is not None
                and previous.is_direct
                and now_ms - previous.received_ms <= DIRECT_PRECEDENCE_MS
            )
            if not has_recent_direct:
                self._observations[presence.node] = _Observation(
                    now_ms, presence, is_direct=False
                )

    def recent_direct(self) -> list[messages.Presence]:
        """Return the recent reports that entry hosts sent here directly."""
        now_ms = self._timer.now_ms()
        return [
            observation.presence
            for observation in self._observations.values()
            if observation.is_direct
            and now_ms - observation.received_ms <= DIRECT_PRECEDENCE_MS
        ]

    def has_waiting_calls(self) -> bool:
        """Return whether calls wait at any entry host."""
        return bool(self._current_totals(self._timer.now_ms()).waiting)

    def _current_totals(self, now_ms: float) -> _Totals:
        if now_ms - self._totals.computed_ms > TOTALS_TTL_MS:
            self._expire(now_ms)
            by_node = {
                node: observation.presence
                for node, observation in self._observations.items()
            }
            self._totals = _Totals(
                now_ms,
                _sum_counts(
                    presence.in_flight for presence in by_node.values()
                ),
                _sum_counts(presence.waiting for presence in by_node.values()),
                collections.Counter(
                    itertools.chain.from_iterable(
                        presence.suspects for presence in by_node.values()
                    )
                ),
                by_node,
                _sum_by_rank(by_node.values()),
                _sum_used_sizes(by_node.values()),
                [node for node, host in by_node.items() if _is_full(host)],
            )
        return self._totals

    def _expire(self, now_ms: float) -> None:
        for node, observation in list(self._observations.items()):
            if now_ms - observation.received_ms > PRESENCE_TTL_MS:
                self._observations.pop(node)
        hosts = {
            node: (
                observation.presence.address,
                observation.presence.zone,
                observation.presence.is_leaving,
            )
            for node, observation in self._observations.items()
        }
        sizes = {
            node: observation.presence.size
            for node, observation in self._observations.items()
            if observation.presence.size
        }
        if hosts != self._hosts or sizes != self._sizes:
            self._hosts = hosts
            self._sizes = sizes
            self._hosts_version += 1


def _sum_counts(parts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    totals: collections.Counter[str] = collections.Counter()
    for part in parts:
        totals.update(part)
    return dict(totals)


def _sum_by_rank(
    reports: Collection[messages.Presence],
) -> dict[int, dict[str, int]]:
    ranks = {rank for report in reports for rank in report.waiting_ranks}
    return {
        rank: _sum_counts(
            report.waiting_ranks.get(rank, {}) for report in reports
        )
        for rank in ranks
    }


def _is_full(report: messages.Presence) -> bool:
    """Return whether a host of known size can hardly serve more callers."""
    if not report.size:
        return False
    return report.used_size > report.size * FULL_LOAD_RATIO


def _sum_used_sizes(
    reports: Iterable[messages.Presence],
) -> dict[str, float]:
    """Return the processor that calls use, in cores, by failure domain."""
    used_sizes: collections.Counter[str] = collections.Counter()
    for report in reports:
        used_sizes[report.zone] += report.used_size
    return dict(used_sizes)


def _subtract(
    totals: Mapping[str, int], own: Mapping[str, int]
) -> dict[str, int]:
    """Return totals less one host's counts, without zeros."""
    return {
        name: total - own.get(name, 0)
        for name, total in totals.items()
        if total > own.get(name, 0)
    }
