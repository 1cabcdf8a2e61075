"""Keep long-lived greenlets running, whatever ends them."""

import functools
import random
import traceback
from collections.abc import Callable
from typing import Any

import gevent
import structlog

from carobfork import clock

FIRST_DELAY_MS = 100
MAX_DELAY_MS = 5000
"""A task that has run for longer starts with the first delay again."""
SHOWN_FRAMES = 3

logger = structlog.get_logger(part='supervision')


class _Counts:
    """Counts of this process."""

    failures = 0


def failures() -> int:
    """Return how many tasks have failed and were started again."""
    return _Counts.failures


def spawn(task: Callable[[], Any]) -> gevent.Greenlet:
    """Run a task in a greenlet, and again after each failure.

    :param task: ends by itself only if its work is done.
    """
    return gevent.spawn(_keep_running, task)


class Delays:
    """Delays before a task is started again, doubling with each failure."""

    def __init__(self) -> None:
        """Start with the first delay."""
        self._next_ms = FIRST_DELAY_MS

    def choose_ms(self, ran_ms: float) -> float:
        """Return the delay after a failure.

        :param ran_ms: how long the task has run.
        """
        if ran_ms > MAX_DELAY_MS:
            self._next_ms = FIRST_DELAY_MS
        delay_ms = self._next_ms
        self._next_ms = min(2 * delay_ms, MAX_DELAY_MS)
        return delay_ms


def _keep_running(task: Callable[[], Any]) -> None:
    timer = clock.SystemClock()
    delays = Delays()
    while True:
        started_ms = timer.now_ms()
        try:
            return task()
        except Exception as error:
            _report(task, error)
        delay_ms = delays.choose_ms(timer.now_ms() - started_ms)
        gevent.sleep(clock.to_seconds(delay_ms * random.uniform(0.5, 1)))


def _report(task: Callable[[], Any], error: Exception) -> None:
    _Counts.failures += 1
    innermost = traceback.extract_tb(error.__traceback__)[-SHOWN_FRAMES:]
    logger.error(
        'task failed',
        task=_name_of(task),
        reason=repr(error),
        where=[f'{frame.name}:{frame.lineno}' for frame in innermost],
    )


def _name_of(task: Callable[[], Any]) -> str:
    while isinstance(task, functools.partial):
        task = task.func
    return getattr(task, '__qualname__', repr(task))
