"""Hold the waiting calls of a service in the order in which they get slots.

Adding and removing a call and finding the next one cost about the same with
ten and with ten thousand waiting calls. The load pattern: a flood, in which
every arrival and every slot would otherwise look at all waiting calls.
"""

import bisect
import heapq
import itertools
from collections.abc import Collection, Iterator

import attrs

from carobfork.gateway import fair_shares, queued_calls

_Place = tuple[bool, float, int]
"""Place of a call among those of its tenant: whether its program is late, when
that is due, and a number by arrival."""


class _Lane:
    """The waiting calls of one rank that the same workers may run.

    :param shares: the tenants' use of the rank's slots.
    """

    def __init__(self, shares: fair_shares.FairShares) -> None:
        """Create an empty lane."""
        self._shares = shares
        # Sorted by place, for each tenant.
        self._places: dict[str, list[tuple]] = {}
        # Tenants by the virtual time and place of their first call. Entries
        # may be outdated and are checked when they come first.
        self._heap: list[tuple[float, _Place, str]] = []

    def __iter__(self) -> Iterator[queued_calls.QueuedCall]:
        for entries in list(self._places.values()):
            for entry in list(entries):
                yield entry[-1]

    def __bool__(self) -> bool:
        return bool(self._places)

    def add(self, place: _Place, queued: queued_calls.QueuedCall) -> None:
        """Add a call."""
        entries = self._places.setdefault(queued.tenant, [])
        bisect.insort(entries, (*place, queued))
        if entries[0][:-1] == place:
            self._push(queued.tenant)

    def remove(self, place: _Place, tenant: str) -> None:
        """Remove the call of a tenant at a place."""
        entries = self._places[tenant]
        index = bisect.bisect_left(entries, place)
        entries.pop(index)
        if not entries:
            self._places.pop(tenant)
        elif not index:
            self._push(tenant)

    def first(self) -> tuple[float, _Place] | None:
        """Return when the next call is due and its place, if there is one."""
        while self._heap:
            due, place, tenant = self._heap[0]
            entries = self._places.get(tenant)
            if entries and entries[0][:-1] == place:
                current = self._shares.due(tenant, entries[0][-1].weight)
                if due == current:
                    return due, place
                heapq.heapreplace(self._heap, (current, place, tenant))
            else:
                heapq.heappop(self._heap)
        return None

    def first_call(self) -> queued_calls.QueuedCall:
        """Return the call that ``first`` describes."""
        return self._places[self._heap[0][-1]][0][-1]

    def count_ahead(self, place: _Place, tenant: str) -> int:
        """Return the number of a tenant's calls that go before a place."""
        return bisect.bisect_left(self._places.get(tenant, ()), place)

    def _push(self, tenant: str) -> None:
        *place, queued = self._places[tenant][0]
        due = self._shares.due(tenant, queued.weight)
        heapq.heappush(self._heap, (due, tuple(place), tenant))


@attrs.define
class _Rank:
    """The waiting calls of a rank.

    :param shares: the tenants' use of its slots.
    :param lanes: its calls by their eligibility.
    :param calls: number of its calls.
    """

    shares: fair_shares.FairShares = attrs.Factory(fair_shares.FairShares)
    lanes: dict[tuple, _Lane] = attrs.Factory(dict)
    calls: int = 0


class WaitingCalls:
    """The waiting calls of one service.

    They are kept by precedence: those of programs under way go before those
    that begin a program of the same rank.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._ranks: dict[queued_calls.Precedence, _Rank] = {}
        self._places: dict[queued_calls.QueuedCall, _Place] = {}
        self._overdue: list[tuple[float, int, queued_calls.QueuedCall]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._places)

    def __iter__(self) -> Iterator[queued_calls.QueuedCall]:
        return iter(list(self._places))

    def __contains__(self, queued: queued_calls.QueuedCall) -> bool:
        return queued in self._places

    def add(self, queued: queued_calls.QueuedCall) -> None:
        """Add a call that begins to wait."""
        number = next(self._numbers)
        place = (*queued.priority_key()[1:], number)
        self._places[queued] = place
        rank = self._rank(queued.precedence)
        rank.calls += 1
        rank.shares.enter(queued.tenant, queued.weight)
        lane = rank.lanes.get(queued.eligibility)
        if lane is None:
            lane = _Lane(rank.shares)
            rank.lanes[queued.eligibility] = lane
        lane.add(place, queued)
        heapq.heappush(self._overdue, (queued.overdue_at_ms, number, queued))

    def remove(self, queued: queued_calls.QueuedCall) -> None:
        """Remove a call that waits."""
        place = self._places.pop(queued)
        rank = self._ranks[queued.precedence]
        rank.calls -= 1
        rank.shares.leave(queued.tenant)
        lane = rank.lanes[queued.eligibility]
        lane.remove(place, queued.tenant)
        if not lane:
            rank.lanes.pop(queued.eligibility)

    def charge(self, queued: queued_calls.QueuedCall) -> None:
        """Count a call that gets a slot, whether it has waited or not."""
        self._rank(queued.precedence).shares.charge(
            queued.tenant, queued.weight
        )

    def count_by_rank(self) -> dict[queued_calls.Precedence, int]:
        """Return the number of waiting calls by precedence, without zeros."""
        return {
            number: rank.calls
            for number, rank in self._ranks.items()
            if rank.calls
        }

    def is_owed(self, queued: queued_calls.QueuedCall) -> bool:
        """Return whether a tenant has got less than its share.

        It counts only while another tenant crowds the rank's queue with
        several calls.
        """
        rank = self._rank(queued.precedence)
        return (
            bool(queued.tenant)
            and rank.calls > rank.shares.tenants
            and rank.shares.is_owed(queued.tenant, queued.weight)
        )

    def first(
        self, rank: queued_calls.Precedence, stuck: Collection[tuple]
    ) -> queued_calls.QueuedCall | None:
        """Return the next call of a precedence that is not stuck, if any.

        :param stuck: eligibilities of calls that no worker takes now.
        """
        found = None
        chosen = None
        for eligibility, lane in self._ranks[rank].lanes.items():
            if eligibility not in stuck:
                first = lane.first()
                if found is None or first < found:
                    found, chosen = first, lane
        return chosen.first_call() if chosen else None

    def alike(
        self, rank: queued_calls.Precedence, eligibility: tuple
    ) -> list[queued_calls.QueuedCall]:
        """Return the calls of a precedence that the same workers may run."""
        return list(self._ranks[rank].lanes.get(eligibility, ()))

    def count_behind(self, rank: queued_calls.Precedence) -> int:
        """Return the number of calls that a precedence goes before."""
        return sum(
            other.calls
            for number, other in self._ranks.items()
            if number > rank
        )

    def pop_overdue(self, now_ms: float) -> list[queued_calls.QueuedCall]:
        """Return the calls that have waited as long as they may, in order."""
        found = []
        while self._overdue and self._overdue[0][0] < now_ms:
            queued = heapq.heappop(self._overdue)[-1]
            if queued in self._places:
                found.append(queued)
        return sorted(found, key=queued_calls.QueuedCall.priority_key)

    def postpone(
        self, queued: queued_calls.QueuedCall, until_ms: float
    ) -> None:
        """Let an overdue call wait on until a later time."""
        number = next(self._numbers)
        heapq.heappush(self._overdue, (until_ms, number, queued))

    def count_ahead(self, queued: queued_calls.QueuedCall) -> float:
        """Return how many waiting calls get a slot before a call."""
        ahead = 0
        for number, other in self._ranks.items():
            if number < queued.precedence:
                ahead += other.calls
        rank = self._ranks.get(queued.precedence)
        if rank is None:
            return ahead
        place = (*queued.priority_key()[1:], next(self._numbers))
        own = sum(
            lane.count_ahead(place, queued.tenant)
            for lane in rank.lanes.values()
        )
        return ahead + rank.shares.calls_ahead(
            queued.tenant, queued.weight, own
        )

    def _rank(self, number: queued_calls.Precedence) -> _Rank:
        rank = self._ranks.get(number)
        if rank is None:
            rank = _Rank()
            self._ranks[number] = rank
        return rank
