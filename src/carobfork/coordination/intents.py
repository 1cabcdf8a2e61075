"""Intents: recorded before a call that may not be repeated is sent."""

from carobfork import clock, exceptions
from carobfork.coordination import calls, homes, journals
from carobfork.state import records

INTENT_TIMEOUT_MS = 5000
OWNERSHIP_FRESH_MS = 2000
RETRY_AFTER_MS = 1000


class IntentRecorder:
    """Record intents, and withdraw those that are never acted on.

    :param home: whose journal holds them.
    :param timer: measures how long ago the ownership was confirmed.
    """

    def __init__(self, home: homes.Home, timer: clock.Clock) -> None:
        """Start without intents."""
        self._home = home
        self._timer = timer
        self._withdrawing: set[tuple[str, str]] = set()

    def require_settled(self, call: calls.ServiceCall) -> None:
        """Check that no withdrawal of the same call is being recorded.

        :raises NotRunError: one is; the call did not run.
        """
        if (call.program, call.key) in self._withdrawing:
            raise _unrecorded()

    def record(self, call: calls.ServiceCall) -> None:
        """Commit a call's intent and make sure that it may be acted on.

        :raises NotRunError: it may not; nothing must be sent.
        """
        journal = self._home.journal
        if journal.stalled:
            raise _unrecorded()
        started_ms = self._timer.now_ms()
        entry = journal.enqueue(
            records.IntentRecorded(
                program=call.program,
                key=call.key,
                digest=call.digest,
                target=call.service,
            )
        )
        try:
            journals.wait_for(entry.committed, INTENT_TIMEOUT_MS)
        except exceptions.PlatformError as error:
            if not journal.withdraw(entry):
                self.withdraw(call)
            raise _unrecorded() from error
        self._confirm_ownership(journal, call, started_ms)

    def withdraw(self, call: calls.ServiceCall) -> None:
        """Record that an intent will never be acted on.

        If this is lost, the call counts as unknown, and still never runs.
        Until it is recorded, the key is refused as not run.
        """
        withdrawal = records.IntentWithdrawn(call.program, call.key)
        entry = self._home.journal.enqueue(withdrawal)
        name = (call.program, call.key)
        self._withdrawing.add(name)
        entry.kept.rawlink(lambda _: self._withdrawing.discard(name))

    def _confirm_ownership(
        self,
        journal: journals.Journal,
        call: calls.ServiceCall,
        started_ms: float,
    ) -> None:
        """Check that the journal is open if the intent took suspiciously long.

        This process may have been frozen and taken over since the commit; a
        further append tells.
        """
        while self._timer.now_ms() - started_ms > OWNERSHIP_FRESH_MS:
            started_ms = self._timer.now_ms()
            try:
                journal.append(records.OwnershipChecked(), INTENT_TIMEOUT_MS)
            except exceptions.PlatformError as error:
                self.withdraw(call)
                raise _unrecorded() from error


def _unrecorded() -> exceptions.NotRunError:
    return exceptions.NotRunError(
        'the intent could not be recorded',
        step='record intent',
        peer='platform',
        retry_after_ms=RETRY_AFTER_MS,
    )
