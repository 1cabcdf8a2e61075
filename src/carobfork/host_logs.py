"""Host logs: bounded structured lines that never hold a host up.

Lines wait in memory and are written by one greenlet to a standard output
that does not block. Above a rate, lines of level info are dropped by their
event and counted; warnings and changes of state pass.
"""

import collections
import logging
import os
from collections.abc import Mapping
from typing import Any

import gevent
import msgspec
import structlog
from gevent import event

from carobfork import clock

LINES_PER_SECOND = 200
"""Per event: several times the requests of a host at its usual load."""
MOST_WAITING = 5000
"""Lines: a few MB at the most."""
_RETRY_MS = 20
_STDOUT = 1

Fields = Mapping[str, Any]


class RateFilter:
    """Drop lines of an event beyond so many a second, and count them."""

    def __init__(self, timer: clock.Clock) -> None:
        """Start with a full allowance."""
        self.dropped = 0
        self.total = 0
        self._timer = timer
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def __call__(self, _logger: object, method: str, fields: Any) -> Any:
        """Return a line's fields, or drop the line."""
        second = int(self._timer.now_ms() // clock.MS_PER_SECOND)
        if second != self._second:
            self._second = second
            self._counts.clear()
        name = fields.get('event', '')
        self._counts[name] += 1
        if method == 'info' and self._counts[name] > LINES_PER_SECOND:
            self.dropped += 1
            self.total += 1
            raise structlog.DropEvent
        if self.dropped:
            fields['dropped_lines'] = self.dropped
            self.dropped = 0
        return fields


class Writer:
    """Write lines from a greenlet."""

    def __init__(self) -> None:
        """Start with nothing to write."""
        self.lost = 0
        self._lines: collections.deque[bytes] = collections.deque()
        self._wakened = event.Event()

    def msg(self, line: bytes) -> None:
        """Take a line; the oldest one is lost where too many wait."""
        if len(self._lines) >= MOST_WAITING:
            self._lines.popleft()
            self.lost += 1
        self._lines.append(line)
        self._wakened.set()

    debug = info = warning = error = critical = msg  # noqa: WPS110, WPS429

    def run(self) -> None:
        """Write lines until the greenlet is killed."""
        while True:
            self._wakened.wait()
            self._wakened.clear()
            while self._lines:
                self._write()

    def flush(self) -> None:
        """Write what waits, as far as that needs no waiting."""
        batch = b''.join(self._lines)
        self._lines.clear()
        try:
            os.write(_STDOUT, batch)
        except OSError:
            self.lost += 1

    def _write(self) -> None:
        batch = b''.join(self._lines)
        self._lines.clear()
        while batch:
            try:
                batch = batch[os.write(_STDOUT, batch) :]
            except BlockingIOError:
                gevent.sleep(clock.to_seconds(_RETRY_MS))
            except OSError:
                # Standard output is gone for good.
                self.lost += 1
                return


_writer = Writer()
_filter = RateFilter(clock.SystemClock())


def lost_lines() -> int:
    """Return the lines that were not written."""
    return _writer.lost + _filter.total


def configure() -> None:
    """Write structured lines to standard output."""
    os.set_blocking(_STDOUT, False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            _filter,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_parts: _writer,
        cache_logger_on_first_use=True,
    )
    gevent.spawn(_writer.run)


def flush() -> None:
    """Write what waits before the process ends."""
    _writer.flush()


def _render(_logger: object, _method: str, fields: Any) -> bytes:
    return b'%b\n' % msgspec.json.encode(fields, enc_hook=str)
