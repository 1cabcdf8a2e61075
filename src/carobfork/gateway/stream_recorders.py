"""Keep the events of a stream on store hosts before its caller gets them."""

from collections.abc import Iterable
from typing import Protocol

import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.gateway import events
from carobfork.storage import messages, stream_messages

WRITE_TIMEOUT_MS = 150
"""Covers many round trips and a sync; a stream that waits longer would pause
for more than callers notice, and only lose the chance to be taken up."""
MAX_RECORDED_BYTES = 262_144
"""Longest stream that can be taken up: many times the usual output of a turn,
and little of a host's memory even if many are taken up at once."""

logger = structlog.get_logger(part='streams')


class PartStore(Protocol):
    """Storage of the parts of streams."""

    def store(self, message: stream_messages.StorePart) -> None:
        """Store a part of a stream."""

    def read(self, stream: str) -> list[messages.StreamPart]:
        """Return the parts of a stream."""


class StreamRecorder:
    """Record the events that one attempt brings to its caller.

    A stream whose events can't be recorded in time goes on, but not at another
    host: a part that is missing makes its beginning unknown.

    :param store: storage of the parts.
    :param start: the attempt's part without events.
    :param retain_ms: how long the parts are kept.
    """

    def __init__(
        self,
        store: PartStore,
        start: messages.StreamPart,
        retain_ms: float,
    ) -> None:
        """Create a recorder without events."""
        self.is_recording = True
        self._store = store
        self._start = start
        self._retain_ms = retain_ms
        self._count = 0
        self._bytes = 0

    def claim(self) -> None:
        """Take the stream up in the place of all earlier attempts.

        :raises NotRunError: if another attempt has done so at the same time,
            or too few store hosts confirm it.
        """
        self._store_events([])

    def record(self, received: Iterable[events.Event]) -> None:
        """Record events and wait until a quorum of store hosts has them."""
        new = [event for event in received if event.has_content]
        if not new or not self.is_recording:
            return
        if any(event.number is None for event in new):
            self._stop('an event without a number')
            return
        self._bytes += sum(len(event.payload) for event in new)
        if self._bytes > MAX_RECORDED_BYTES:
            self._stop(f'more than {MAX_RECORDED_BYTES} bytes')
            return
        timeout = gevent.Timeout(clock.to_seconds(WRITE_TIMEOUT_MS))
        try:
            with timeout:
                self._store_events(
                    [(event.number, event.payload) for event in new]
                )
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            self._stop(f'not stored within {WRITE_TIMEOUT_MS} ms')
        except exceptions.NotRunError as error:
            self._stop(error.message)
        self._count += len(new)

    def _store_events(self, stored: list[tuple[int, bytes]]) -> None:
        start = self._start
        part = messages.StreamPart(
            start.stream,
            start.take,
            start.attempt,
            start.after,
            self._count,
            stored,
        )
        self._store.store(stream_messages.StorePart(part, self._retain_ms))

    def _stop(self, reason: str) -> None:
        self.is_recording = False
        logger.info(
            'stream not recorded any more',
            request=self._start.attempt,
            stream=self._start.stream,
            events=self._count,
            reason=reason,
        )
