"""Find the events that a caller had before it took a stream up.

Each attempt of the caller leaves the parts that it brought. An attempt that
took the stream up has taken the place of all earlier ones from there on: what
they brought later did not reach the caller.
"""

from collections.abc import Iterable

from carobfork.storage import messages

Run = list[messages.StreamPart]


def next_take(parts: Iterable[messages.StreamPart]) -> int:
    """Return the number for the next attempt that takes the stream up."""
    return max((part.take for part in parts), default=0) + 1


def compose_beginning(
    parts: Iterable[messages.StreamPart], last_event: int
) -> list[bytes] | None:
    """Return the data of a stream's events up to one that the caller had.

    :param parts: the parts that a read quorum of the store hosts holds.
    :param last_event: identifier of the last event that the caller had.
    :return: ``None`` if not all of them are known for certain.
    """
    runs = _group_runs(parts)
    takes = [run[0].take for run in runs]
    if len(takes) > len(set(takes)):
        return None
    beginning: list[bytes] = []
    for run in runs:
        if run[0].after < last_event:
            brought = _take_until(run, last_event)
            if brought is None:
                return None
            beginning = brought + beginning
            last_event = run[0].after
    return None if last_event else beginning


def _group_runs(parts: Iterable[messages.StreamPart]) -> list[Run]:
    """Return the parts with events of each attempt, the latest one first."""
    runs: dict[tuple[int, str], Run] = {}
    for part in parts:
        if part.events:
            runs.setdefault((part.take, part.attempt), []).append(part)
    return [
        sorted(runs[key], key=lambda part: part.position)
        for key in sorted(runs, reverse=True)
    ]


def _take_until(run: Run, last_event: int) -> list[bytes] | None:
    """Return the data of an attempt's events up to one, if none is missing."""
    brought: list[bytes] = []
    for part in run:
        if part.position < len(brought):
            continue
        if part.position > len(brought):
            return None
        for number, payload in part.events:
            brought.append(payload)
            if number == last_event:
                return brought
    return None
