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

FORGET_MS = 1100
"""Four beats: a host that missed them is down, frozen or cut off."""
DIRECT_MS = 400
"""A beat and a half: what was heard directly since stands against reports."""
SUM_MS = 50
"""How long sums are used again: short against the beats that they sum up."""
_VERSIONS = 1_000_000_000


@attrs.frozen
class _Heard:
    at_ms: float
    presence: messages.Presence
    is_direct: bool


@attrs.frozen
class _Sums:
    """Calls of all entry hosts, and of each one as it is counted there."""

    at_ms: float = float('-inf')
    in_flight: Mapping[str, int] = attrs.Factory(dict)
    waiting: Mapping[str, int] = attrs.Factory(dict)
    suspects: Mapping[str, int] = attrs.Factory(dict)
    parts: Mapping[str, messages.Presence] = attrs.Factory(dict)


_NOTHING = messages.Presence('', '', '', is_leaving=False)


class Presences:
    """Remember the last word of each entry host.

    :param timer: measures ages.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start without hosts."""
        self._timer = timer
        self._heard: dict[str, _Heard] = {}
        self._hosts: dict[str, tuple[str, str, bool]] = {}
        self._sums = _Sums()
        # Random, so that a host which was told by another process of this
        # host's, or by another host, is told again.
        self._version = random.randrange(_VERSIONS)

    def note(
        self, presence: messages.Presence, news: messages.News
    ) -> messages.Hosts:
        """Note what a host told and return what it wants to know.

        :param news: goes into the answer.
        """
        now_ms = self._timer.now_ms()
        self._heard[presence.node] = _Heard(now_ms, presence, is_direct=True)
        sums = self._fresh_sums(now_ms)
        own = sums.parts.get(presence.node, _NOTHING)
        is_known = presence.hosts_version == self._version
        return messages.Hosts(
            self._version,
            None if is_known else self._hosts,
            _without(sums.in_flight, own.in_flight),
            _without(sums.waiting, own.waiting),
            news,
            _without(sums.suspects, dict.fromkeys(own.suspects, 1)),
        )

    def note_reported(self, presences: Iterable[messages.Presence]) -> None:
        """Note what another store host heard."""
        now_ms = self._timer.now_ms()
        for presence in presences:
            known = self._heard.get(presence.node)
            is_heard_here = (
                known is not None
                and known.is_direct
                and now_ms - known.at_ms <= DIRECT_MS
            )
            if not is_heard_here:
                self._heard[presence.node] = _Heard(
                    now_ms, presence, is_direct=False
                )

    def direct(self) -> list[messages.Presence]:
        """Return what was heard from entry hosts themselves lately."""
        now_ms = self._timer.now_ms()
        return [
            heard.presence
            for heard in self._heard.values()
            if heard.is_direct and now_ms - heard.at_ms <= DIRECT_MS
        ]

    def has_waiting(self) -> bool:
        """Tell whether calls wait at any entry host."""
        return bool(self._fresh_sums(self._timer.now_ms()).waiting)

    def _fresh_sums(self, now_ms: float) -> _Sums:
        if now_ms - self._sums.at_ms > SUM_MS:
            self._forget(now_ms)
            parts = {
                node: heard.presence for node, heard in self._heard.items()
            }
            self._sums = _Sums(
                now_ms,
                _total(told.in_flight for told in parts.values()),
                _total(told.waiting for told in parts.values()),
                collections.Counter(
                    itertools.chain.from_iterable(
                        told.suspects for told in parts.values()
                    )
                ),
                parts,
            )
        return self._sums

    def _forget(self, now_ms: float) -> None:
        for node, heard in list(self._heard.items()):
            if now_ms - heard.at_ms > FORGET_MS:
                self._heard.pop(node)
        hosts = {
            node: (
                heard.presence.address,
                heard.presence.zone,
                heard.presence.is_leaving,
            )
            for node, heard in self._heard.items()
        }
        if hosts != self._hosts:
            self._hosts = hosts
            self._version += 1


def _total(parts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    totals: collections.Counter[str] = collections.Counter()
    for part in parts:
        totals.update(part)
    return dict(totals)


def _without(
    totals: Mapping[str, int], own: Mapping[str, int]
) -> dict[str, int]:
    """Return sums less one host's part, without zeros."""
    return {
        name: total - own.get(name, 0)
        for name, total in totals.items()
        if total > own.get(name, 0)
    }
