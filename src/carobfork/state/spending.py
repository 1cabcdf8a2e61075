"""Define the records of what programs reserve and spend."""

import attrs

from carobfork.state import budgets


@attrs.frozen
class CallDispatched:
    """A model call is being sent to a backend server.

    Nothing waits for the commit of this record. It tells a successor where
    the stream runs and how much may have been spent.

    :param program: the program's identifier.
    :param key: the call's key.
    :param digest: digest of the call's content.
    :param target: the ``model/worker`` that the call is sent to.
    :param attempt: the number of the attempt at this call.
    :param reserved_tokens: the most tokens that the attempt may spend.
    """

    program: str
    key: str
    digest: str
    target: str
    attempt: int
    reserved_tokens: int

    @property
    def worker(self) -> str:
        """The worker that the call is sent to."""
        return self.target.rpartition('/')[-1]

    @property
    def reservation_id(self) -> str:
        """The identifier of the attempt's reservation."""
        return budgets.attempt_reservation_id(self.key, self.attempt)


@attrs.frozen
class AttemptFailed:
    """An attempt at a model call failed, but may have spent tokens.

    :param program: the program's identifier.
    :param key: the call's key.
    :param attempt: the number of the attempt.
    :param tokens: the tokens to count as spent.
    """

    program: str
    key: str
    attempt: int
    tokens: int

    @property
    def reservation_id(self) -> str:
        """The identifier of the attempt's reservation."""
        return budgets.attempt_reservation_id(self.key, self.attempt)


@attrs.frozen
class TimeSpent:
    """Ages of open programs.

    :param spent_ms: milliseconds since a program was opened, by identifier.
    """

    spent_ms: dict[str, int]
