"""Intents: recorded before a call that may not be repeated is sent."""

from carobfork import exceptions
from carobfork.coordination import calls, homes, journals
from carobfork.state import records

INTENT_TIMEOUT_MS = 5000
RETRY_AFTER_MS = 1000


class IntentRecorder:
    """Record intents, and withdraw those that are never acted on.

    :param home: whose journal holds them.
    """

    def __init__(self, home: homes.Home) -> None:
        """Start without intents."""
        self._home = home
        self._withdrawing: set[tuple[str, str]] = set()

    def require_settled(self, call: calls.ServiceCall) -> None:
        """Check that no withdrawal of the same call is being recorded.

        :raises NotRunError: one is; the call did not run.
        """
        if (call.program, call.key) in self._withdrawing:
            raise _unrecorded()

    def record(self, call: calls.ServiceCall) -> None:
        """Commit a call's intent.

        :raises NotRunError: it may not; nothing must be sent.
        """
        journal = self._home.journal
        if journal.stalled:
            raise _unrecorded()
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

    def withdraw(self, call: calls.ServiceCall) -> None:
        """Record that an intent will never be acted on.

        If this is lost, the call counts as unknown, and still never runs.
        Until it is recorded, the key is refused as not run.
        """
        withdrawal = records.IntentWithdrawn(call.program, call.key)
        entry = self._home.journal.enqueue(withdrawal)
        name = (call.program, call.key)
        self._withdrawing.add(name)
        entry.durable.rawlink(lambda _: self._withdrawing.discard(name))


def _unrecorded() -> exceptions.NotRunError:
    return exceptions.NotRunError(
        'the intent could not be recorded',
        step='record intent',
        peer='platform',
        retry_after_ms=RETRY_AFTER_MS,
    )
