"""Record the intent to send a service call before it is sent.

This is done for operations that are not repeatable. A host that takes over
a program finds the intent and knows that the call may have run.
"""

from carobfork import exceptions
from carobfork.coordination import calls, homes, journals
from carobfork.state import records

INTENT_TIMEOUT_MS = 5000
RETRY_AFTER_MS = 1000


class IntentRecorder:
    """Records intents and withdraws those of calls that were never sent.

    :param home: the programs of this host and the journal of the intents.
    """

    def __init__(self, home: homes.Home) -> None:
        """Initialize without pending withdrawals."""
        self._home = home
        self._withdrawing: set[tuple[str, str]] = set()

    def require_not_withdrawing(self, call: calls.ServiceCall) -> None:
        """Check that no withdrawal of the call's intent is being recorded.

        :raises NotRunError: if one is being recorded; the call did not run.
        """
        if (call.program, call.key) in self._withdrawing:
            raise _not_recorded()

    def record(self, call: calls.ServiceCall) -> None:
        """Record the intent of a call and wait for its commit.

        :raises NotRunError: if the journal is stalled or the commit takes
            longer than ``INTENT_TIMEOUT_MS``; nothing may be sent.
        """
        journal = self._home.journal
        if journal.stalled:
            raise _not_recorded()
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
            raise _not_recorded() from error

    def withdraw(self, call: calls.ServiceCall) -> None:
        """Record that the call of an intent will never be sent.

        If the withdrawal is lost, the outcome of the call is reported as
        unknown although the call never runs. Until the withdrawal is
        recorded, calls with the same key are refused as not run.
        """
        withdrawal = records.IntentWithdrawn(call.program, call.key)
        entry = self._home.journal.enqueue(withdrawal)
        name = (call.program, call.key)
        self._withdrawing.add(name)
        entry.durable.rawlink(lambda _: self._withdrawing.discard(name))


def _not_recorded() -> exceptions.NotRunError:
    return exceptions.NotRunError(
        'the intent of the call could not be recorded',
        step='record intent',
        peer='platform',
        retry_after_ms=RETRY_AFTER_MS,
    )
