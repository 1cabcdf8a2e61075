"""Retry budgets: keep retries a small part of the calls made."""

from carobfork import exceptions

RETRIES_PER_CALL = 0.1
MAX_SAVED_RETRIES = 10


class RetryBudget:
    """Allow retries of overloaded calls in proportion to first attempts.

    Refusals for other reasons bring no load to a backend server and are
    not counted.
    """

    def __init__(self) -> None:
        """Start with one retry saved up."""
        self._retries: float = 1

    def earn(self) -> None:
        """Note a call's first attempt."""
        self._retries = min(MAX_SAVED_RETRIES, self._retries + RETRIES_PER_CALL)

    def spend(self, error: exceptions.NotRunError) -> None:
        """Take a retry for a refused call.

        :raises NotRunError: the refusal, where the budget is used up.
        """
        is_counted = isinstance(error, exceptions.OverloadedError)
        if is_counted and not self.take():
            raise error

    def take(self) -> bool:
        """Take a retry and return whether there was one."""
        if self._retries < 1:
            return False
        self._retries -= 1
        return True

    def give_back(self) -> None:
        """Return a retry that was taken and not used."""
        self._retries = min(MAX_SAVED_RETRIES, self._retries + 1)
