"""Hold a place at another server for a request whose server is silent."""

import contextlib
from types import TracebackType

import attrs

from carobfork.gateway import connection_pools, workers
from carobfork.tenancy import credit_stocks


@attrs.define(eq=False)
class Standby:
    """A place at a server, as a context manager that releases its slot.

    :param worker: the server, which has a slot for the request.
    :param connection: an open connection to it.
    :param credit: the tenant's credit for the attempt, if it needs one.
    :param slot: holds the slot.
    :param unused: holds all of it, until the place is used.
    """

    worker: workers.Worker
    connection: connection_pools.Connection
    credit: credit_stocks.Credit | None
    slot: contextlib.ExitStack
    unused: contextlib.ExitStack

    def __enter__(self) -> 'Standby':
        """Use the place; the connection passes to the exchange."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the slot."""
        self.slot.close()

    def discard(self) -> None:
        """Give everything back, as the place is not used."""
        self.unused.close()
