"""Define what the gateway needs from the sides that speak on the wire."""

from typing import Protocol

from carobfork.gateway import calls, framing
from carobfork.tenancy import credit_stocks, tenants


class Codec(Protocol):
    """Translate heads to and from call metadata."""

    def decode_call(self, head: framing.Head) -> calls.Call:
        """Return the call that a request head describes."""

    def encode_request(
        self,
        head: framing.Head,
        instance: str,
        left_ms: float,
        body_bytes: int,
        last_event: str,
        tenant: str | None = None,
    ) -> bytes:
        """Return the encoded head for a backend server.

        :param head: the caller's head.
        :param instance: the backend server's identifier.
        :param left_ms: time until the caller's deadline.
        :param body_bytes: length of the body.
        :param last_event: identifier of the last event that the caller
            received, or empty.
        :param tenant: the tenant that the caller belongs to, empty on routes
            for everyone; ``None`` if there are no tenants.
        """

    def decode_answer(self, head: framing.Head) -> calls.ServerAnswer:
        """Return the metadata of a response head."""

    def encode_state_request(self, instance: str, path: str = '') -> bytes:
        """Return a request for what a backend server tells of itself.

        :param path: the path of its health check, or empty for its report.
        """

    def decode_report(self, body: bytes) -> float | None:
        """Return the Unix time in ms of a server's start, if it tells."""


class ResponseWriter(Protocol):
    """Write the response to a caller.

    ``has_begun`` is true once the head of the response is sent.
    """

    has_begun: bool

    def respond(
        self, status: int, fields: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete response."""

    def begin(self, status: int, fields: list[tuple[str, str]]) -> None:
        """Prepare the head of a response of unknown length."""

    def send(self, piece: bytes) -> None:
        """Send a piece of the body."""

    def end(self) -> None:
        """End the body."""


class Quota(Protocol):
    """Decide which requests of a tenant may be sent."""

    def check(self, tenant: tenants.Tenant | None, version: int) -> None:
        """Refuse a request that is known to be over the quota.

        :param version: the version of the configuration with the quota.
        """

    def take(
        self, tenant: tenants.Tenant | None, version: int, left_ms: float
    ) -> credit_stocks.Credit | None:
        """Take a credit for a request, or refuse it after a short wait.

        :param left_ms: time until the caller's deadline.
        :return: ``None`` if the request needs no credit.
        """

    def give_back(self, credit: credit_stocks.Credit) -> None:
        """Return the credit of a request that no server has run."""


class NoQuota:
    """Let all requests pass where tenants have no quota."""

    def check(self, tenant: tenants.Tenant | None, version: int) -> None:
        """Let a request pass."""

    def take(
        self, tenant: tenants.Tenant | None, version: int, left_ms: float
    ) -> None:
        """Let a request pass without a credit."""

    def give_back(self, credit: credit_stocks.Credit) -> None:
        """Do nothing, as there are no credits."""
