"""Decide which calls were on server processes that were found ended later.

A server that crashes may fall silent first, so that the exchange ends before:
at its time limit, or because the caller has left. Silence is no evidence, since
a sound server may pause. What tells is a refused connection, or another process
at the server's name or address.

The load pattern: callers leave sound servers all the time, and an answer a
moment later clears those calls. Where none comes, the server is asked for its
process from time to time.
"""

from collections.abc import Iterable

import attrs
import structlog

from carobfork import clock
from carobfork.gateway import fingerprints, worker_tables, workers

MIN_SILENCE_MS = 400
"""How long after a call a server must have answered another one to be sound:
one that goes on after a pause may begin to run the call then."""
PROBE_INTERVAL_RATIO = 0.25
"""Pause between two probes, as a part of the time that a server is silent."""
MIN_PROBE_INTERVAL_MS = 1000
"""Also the time until the first one: most pauses of sound servers are over."""
KEPT_MS = 20_000
"""How long a call is kept: longer than servers that crash take to return."""
MAX_CALLS = 256
"""Bounds the memory for each server; the oldest calls are dropped."""

logger = structlog.get_logger(part='crashes')


@attrs.frozen
class UnansweredCall:
    """A call whose exchange ended without a whole answer.

    :param keys: identify the request.
    :param attempt: identifier of the caller's attempt.
    :param has_output: whether a part of the answer had come.
    :param ended_ms: when the exchange ended.
    """

    keys: fingerprints.Fingerprints
    attempt: str
    has_output: bool
    ended_ms: float


@attrs.define
class _Silence:
    """The unanswered calls of one server process.

    :param calls: the calls, oldest first.
    :param probe_at_ms: when the server is next asked.
    :param was_probed: whether it has left a probe unanswered.
    :param is_successor: whether the calls came to a process that had replaced
        the one of the server's entry before.
    """

    calls: list[UnansweredCall]
    probe_at_ms: float
    was_probed: bool = False
    is_successor: bool = False


class UnansweredCalls:
    """The unanswered calls of all servers, until their end is decided.

    :param timer: the clock for the times since then.
    :param table: the known servers.
    """

    def __init__(
        self, timer: clock.Clock, table: worker_tables.WorkerTable
    ) -> None:
        """Create an object without calls."""
        self._timer = timer
        self._table = table
        self._silences: dict[workers.Worker, _Silence] = {}

    def __len__(self) -> int:
        """Return the number of calls that are not decided."""
        return sum(len(silence.calls) for silence in self._silences.values())

    def add(self, worker: workers.Worker, call: UnansweredCall) -> bool:
        """Keep a call, unless its server ends as planned.

        :return: whether it is kept.
        """
        if _is_leaving(worker) or worker.unlisted_since_ms is not None:
            return False
        probe_at_ms = call.ended_ms + MIN_PROBE_INTERVAL_MS
        silence = self._silences.setdefault(
            worker,
            _Silence([], probe_at_ms, is_successor=worker.is_replaced),
        )
        silence.calls.append(call)
        silence.calls = silence.calls[-MAX_CALLS:]
        return True

    def take(
        self, worker: workers.Worker, until_ms: float | None = None
    ) -> list[UnansweredCall]:
        """Return the calls of a server that has ended, and forget them.

        :param until_ms: when its end was known, now by default; later calls are
            kept, as they were on its successor.
        """
        if until_ms is None:
            until_ms = self._timer.now_ms()
        silence = self._silences.get(worker)
        if silence is None:
            return []
        taken = [call for call in silence.calls if call.ended_ms <= until_ms]
        silence.is_successor = True
        self._keep(worker, _ended_after(silence.calls, until_ms))
        return taken

    def take_ended(self) -> dict[workers.Worker, list[UnansweredCall]]:
        """Return the calls of servers that the registry knows to have ended.

        Calls on servers that have answered since, and old ones, are dropped.
        """
        for worker in list(self._silences):
            self._drop_answered(worker)
        ended = [worker for worker in self._silences if self._is_ended(worker)]
        return {worker: self.take(worker) for worker in ended}

    def take_due_probes(self) -> list[workers.Worker]:
        """Return the servers to be asked now for their process."""
        now_ms = self._timer.now_ms()
        due = [
            worker
            for worker, silence in self._silences.items()
            if silence.probe_at_ms <= now_ms
        ]
        for worker in due:
            silence = self._silences[worker]
            age_ms = now_ms - silence.calls[0].ended_ms
            silence.probe_at_ms = now_ms + max(
                MIN_PROBE_INTERVAL_MS, age_ms * PROBE_INTERVAL_RATIO
            )
        return due

    def record_silence(self, worker: workers.Worker) -> None:
        """Record that a server has left a probe unanswered.

        From then on, calls that are answered may be so by a successor that
        the registry does not know.
        """
        silence = self._silences.get(worker)
        if silence is not None:
            silence.was_probed = True

    def clear(self, worker: workers.Worker, asked_ms: float) -> None:
        """Forget the calls of a server that goes on.

        :param asked_ms: when it was asked; later calls are kept.
        """
        silence = self._silences.get(worker)
        if silence is not None:
            silence.was_probed = False
            self._keep(worker, _ended_after(silence.calls, asked_ms))

    def _drop_answered(self, worker: workers.Worker) -> None:
        silence = self._silences[worker]
        oldest_ms = self._timer.now_ms() - KEPT_MS
        if not silence.was_probed:
            oldest_ms = max(oldest_ms, worker.last_success_ms - MIN_SILENCE_MS)
        self._keep(worker, _ended_after(silence.calls, oldest_ms))

    def _keep(
        self, worker: workers.Worker, calls: Iterable[UnansweredCall]
    ) -> None:
        kept = list(calls)
        self._silences[worker].calls = kept
        if not kept or _is_leaving(worker):
            self._silences.pop(worker)

    def _is_ended(self, worker: workers.Worker) -> bool:
        """Return whether another process has a server's name or address."""
        entry = worker.entry
        known = self._table.get(worker.instance)
        if known is worker:
            is_replaced = worker.is_replaced
            if is_replaced and not self._silences[worker].is_successor:
                return True
        elif known is not None and _is_another(known.entry, worker):
            return True
        return any(
            other.instance != entry.instance
            and other.unlisted_since_ms is None
            and (other.entry.ip, other.entry.port) == (entry.ip, entry.port)
            for other in self._table
        )


def _is_another(entry: workers.Entry, worker: workers.Worker) -> bool:
    """Return whether an entry is of another process than a worker's.

    A process that was in use before the registry told of it is the same.
    """
    if not worker.entry.started_ms:
        return False
    if entry.started_ms in {0, worker.told_started_ms}:
        return False
    return not worker.is_same_process(entry)


def _is_leaving(worker: workers.Worker) -> bool:
    """Return whether a server ends as planned."""
    return worker.leaving_since_ms is not None or worker.entry.is_draining


def _ended_after(
    calls: Iterable[UnansweredCall], moment_ms: float
) -> Iterable[UnansweredCall]:
    return (call for call in calls if call.ended_ms > moment_ms)
