"""Presences: which entry hosts are alive, and what they run.

Each entry host tells one store host a few times a second, and is told of the
others. Store hosts tell each other what they heard themselves. So the
messages grow with the number of entry hosts, not with its product with the
number of store hosts.
"""

import collections
import itertools
import random
from collections.abc import Iterable, Mapping

import attrs

from carobfork import clock
from carobfork.storage import messages

PRESENCE_TTL_MS = 1100
"""Four beats: a host that missed them is down, frozen or cut off."""
DIRECT_PRECEDENCE_MS = 400
"""A beat and a half: what was heard directly since stands against reports."""
TOTALS_TTL_MS = 50
"""How long sums are used again: short against the beats that they sum up."""
_VERSION_RANGE = 1_000_000_000


@attrs.frozen
class _Observation:
    received_ms: float
    presence: messages.Presence
    is_direct: bool


@attrs.frozen
class _Totals:
    """Calls of all entry hosts, and of each one as it is counted there."""

    computed_ms: float = float('-inf')
    in_flight: Mapping[str, int] = attrs.Factory(dict)
    waiting: Mapping[str, int] = attrs.Factory(dict)
    suspects: Mapping[str, int] = attrs.Factory(dict)
    by_node: Mapping[str, messages.Presence] = attrs.Factory(dict)


_EMPTY_PRESENCE = messages.Presence('', '', '', is_leaving=False)


class PresenceTable:
    """Remember the last word of each entry host.

    :param timer: measures ages.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without hosts."""
        self._timer = timer
        self._observations: dict[str, _Observation] = {}
        self._hosts: dict[str, tuple[str, str, bool]] = {}
        self._totals = _Totals()
        # Random, so that a host which was told by another process of this
        # host's, or by another host, is told again.
        self._hosts_version = random.randrange(_VERSION_RANGE)

    def record(
        self, presence: messages.Presence, news: messages.News
    ) -> messages.Hosts:
        """Note what a host told and return what it wants to know.

        :param news: goes into the answer.
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
        )

    def record_reported(self, presences: Iterable[messages.Presence]) -> None:
        """Note what another store host heard."""
        now_ms = self._timer.now_ms()
        for presence in presences:
            known = self._observations.get(presence.node)
            has_recent_direct = (
                known is not None
                and known.is_direct
                and now_ms - known.received_ms <= DIRECT_PRECEDENCE_MS
            )
            if not has_recent_direct:
                self._observations[presence.node] = _Observation(
                    now_ms, presence, is_direct=False
                )

    def recent_direct(self) -> list[messages.Presence]:
        """Return what was heard from entry hosts themselves lately."""
        now_ms = self._timer.now_ms()
        return [
            observation.presence
            for observation in self._observations.values()
            if observation.is_direct
            and now_ms - observation.received_ms <= DIRECT_PRECEDENCE_MS
        ]

    def has_waiting_calls(self) -> bool:
        """Tell whether calls wait at any entry host."""
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
        if hosts != self._hosts:
            self._hosts = hosts
            self._hosts_version += 1


def _sum_counts(parts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    totals: collections.Counter[str] = collections.Counter()
    for part in parts:
        totals.update(part)
    return dict(totals)


def _subtract(
    totals: Mapping[str, int], own: Mapping[str, int]
) -> dict[str, int]:
    """Return sums less one host's part, without zeros."""
    return {
        name: total - own.get(name, 0)
        for name, total in totals.items()
        if total > own.get(name, 0)
    }
