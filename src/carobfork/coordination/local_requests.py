"""Track the requests that this host serves, and pause them for a handover.

While the programs are handed over to a successor, new requests wait here;
afterwards they are routed to the successor.
"""

import collections
import contextlib
from collections.abc import Iterator

from gevent import event

from carobfork import clock
from carobfork.coordination import routing

PAUSE_TIMEOUT_MS = 60_000


class LocalRequests:
    """Counts the requests of each program and can pause new ones."""

    def __init__(self) -> None:
        """Initialize unpaused and without a successor."""
        self.successor: routing.EntryHost | None = None
        """Host that this host's programs were handed over to, if any."""
        self._counts: collections.Counter[str] = collections.Counter()
        self._unpaused = event.Event()
        self._unpaused.set()

    def wait_while_paused(self) -> None:
        """Wait while requests are paused, up to ``PAUSE_TIMEOUT_MS``."""
        self._unpaused.wait(timeout=clock.to_seconds(PAUSE_TIMEOUT_MS))

    @contextlib.contextmanager
    def track(self, program: str) -> Iterator[None]:
        """Count a request of a program while it is served."""
        self._counts[program] += 1
        try:
            yield
        finally:
            self._counts[program] -= 1
            if not self._counts[program]:
                self._counts.pop(program)

    def active_programs(self) -> set[str]:
        """Return the programs with requests in progress."""
        return set(self._counts)

    def pause(self) -> None:
        """Make new requests wait until ``resume`` is called."""
        self._unpaused.clear()

    def resume(self, successor: routing.EntryHost | None) -> None:
        """Let waiting requests continue.

        :param successor: host that now owns the programs; None if they stay
            here.
        """
        self.successor = successor
        self._unpaused.set()
