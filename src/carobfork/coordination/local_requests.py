"""Local requests: which programs are being served at this host.

While the programs move to a successor, new requests wait here; afterwards
they are routed to the successor.
"""

import collections
import contextlib
from collections.abc import Iterator

from gevent import event

from carobfork import clock
from carobfork.coordination import routing

PAUSE_TIMEOUT_MS = 60_000


class LocalRequests:
    """Count the requests of each program, and let them pause."""

    def __init__(self) -> None:
        """Start with every program served here."""
        self.successor: routing.EntryHost | None = None
        """Where this host's programs are, if they have been handed over."""
        self._counts: collections.Counter[str] = collections.Counter()
        self._unpaused = event.Event()
        self._unpaused.set()

    def wait_while_paused(self) -> None:
        """Wait while the programs move."""
        self._unpaused.wait(timeout=clock.to_seconds(PAUSE_TIMEOUT_MS))

    @contextlib.contextmanager
    def track(self, program: str) -> Iterator[None]:
        """Count a request while it is served."""
        self._counts[program] += 1
        try:
            yield
        finally:
            self._counts[program] -= 1
            if not self._counts[program]:
                self._counts.pop(program)

    def active_programs(self) -> set[str]:
        """Return the programs with requests."""
        return set(self._counts)

    def pause(self) -> None:
        """Let new requests wait until they are resumed."""
        self._unpaused.clear()

    def resume(self, successor: routing.EntryHost | None) -> None:
        """Let requests go on, at the successor if there is one."""
        self.successor = successor
        self._unpaused.set()
