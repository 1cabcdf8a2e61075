"""Confirm after a suspension that this host still owns its programs.

While a process is suspended, another host may take its programs over. The
process detects the gap in monotonic time and sends nothing until another
record is durable; appending it fails if the journal is sealed.
"""

import gevent

from carobfork import clock, exceptions
from carobfork.coordination import journals
from carobfork.state import records

CHECK_INTERVAL_MS = 500
MIN_STANDSTILL_MS = 2000
CONFIRM_TIMEOUT_MS = 5000


class Ownership:
    """Detects suspensions of this process and confirms the ownership.

    :param timer: provides monotonic time.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Initialize as confirmed, since a new journal is empty."""
        self.standstills = 0
        self._confirmed = 0
        self._timer = timer
        self._last_check_ms = timer.now_ms()

    def run(self) -> None:
        """Check the clock periodically until the greenlet is killed."""
        while True:
            self.check_clock()
            gevent.sleep(clock.to_seconds(CHECK_INTERVAL_MS))

    def check_clock(self) -> None:
        """Compare the clock with its value at the last check."""
        now_ms = self._timer.now_ms()
        if now_ms - self._last_check_ms > MIN_STANDSTILL_MS:
            self.standstills += 1
        self._last_check_ms = now_ms

    def confirm(self, journal: journals.Journal) -> None:
        """Confirm that the journal is open if there was a suspension.

        :raises SealedError: if the journal is sealed.
        :raises NotRunError: if the platform does not confirm in time.
        """
        self.check_clock()
        while self._confirmed != self.standstills:
            seen = self.standstills
            try:
                journal.append_durable(
                    records.OwnershipChecked(), CONFIRM_TIMEOUT_MS
                )
            except exceptions.PlatformError as error:
                raise exceptions.NotRunError(
                    'the ownership could not be confirmed',
                    step='confirm ownership',
                    peer='platform',
                ) from error
            self._confirmed = max(self._confirmed, seen)
            self.check_clock()
