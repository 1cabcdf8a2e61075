"""Remember the limits of servers' processes whose entries may be gone.

What a server names holds until it answers otherwise. Its process may go on
without an entry, and have the same entry again. Only another start tells that
another process has its name.
"""

from collections.abc import Iterable

import attrs

from carobfork import clock
from carobfork.gateway import permits, workers

REMEMBERED_MS = 600_000
"""How long a process is remembered after its entry is gone: an entry that has
expired in an outage of the registry may come back."""
MAX_REMEMBERED = 4096
"""Bounds the memory where many processes name limits one after the other."""


@attrs.define
class _Limited:
    """A process that has named a limit.

    :param stock: its limit and this host's permits.
    :param known_ms: when it last named a limit or had an entry.
    """

    stock: permits.PermitStock
    known_ms: float


class LimitedProcesses:
    """The processes that have named a limit, by name and start.

    :param timer: the clock for the times since then.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Create an object that knows of no limited process."""
        self._timer = timer
        self._limited: dict[tuple, _Limited] = {}

    def record(self, worker: workers.Worker) -> None:
        """Record that an answer of a worker names a limit."""
        key = _key(worker.entry)
        self._limited.pop(key, None)
        self._limited[key] = _Limited(worker.permit_stock, self._timer.now_ms())
        if len(self._limited) > MAX_REMEMBERED:
            self._limited.pop(next(iter(self._limited)))

    def find(
        self, entry: workers.Entry, known: workers.Worker | None
    ) -> permits.PermitStock:
        """Return the permits, and the limit if there is one, for an entry.

        If it can't be told whether the process is the same, the limit is kept:
        the next answer ends it.

        :param known: the worker that had its name until now.
        """
        if entry.started_ms:
            unknown = self._limited.pop((entry.instance, 0), None)
            if unknown is not None:
                self._limited.setdefault(_key(entry), unknown)
        if known is not None and _may_be_same(known.entry, entry):
            return known.permit_stock
        limited = self._limited.get(_key(entry))
        return limited.stock if limited else permits.PermitStock()

    def forget_unknown(self, instance: str) -> None:
        """Forget the process of unknown start, which has ended."""
        self._limited.pop((instance, 0), None)

    def prune(self, known: Iterable[workers.Worker]) -> None:
        """Forget limits that have ended and processes that are long gone."""
        if not self._limited:
            return
        now_ms = self._timer.now_ms()
        for worker in known:
            limited = self._limited.get(_key(worker.entry))
            if limited is not None:
                limited.known_ms = now_ms
        self._limited = {
            key: limited
            for key, limited in self._limited.items()
            if limited.stock.limit_per_s is not None
            and now_ms - limited.known_ms <= REMEMBERED_MS
        }


def _key(entry: workers.Entry) -> tuple[str, float]:
    return entry.instance, entry.started_ms


def _may_be_same(before: workers.Entry, after: workers.Entry) -> bool:
    """Return whether two entries of a name don't tell of two starts."""
    return before.started_ms in {0, after.started_ms} or not after.started_ms
