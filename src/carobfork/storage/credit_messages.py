"""Define the messages by which entry hosts get credits of tenants' quotas."""

import attrs

from carobfork.storage import messages


@messages.register
@attrs.frozen
class CreditRequest:
    """Request credits, each of which allows one request of a tenant.

    :param rate_per_s: the tenant's quota in requests a second.
    :param burst: the requests that it may send at once beyond that.
    :param version: the version of the configuration that says so.
    :param needed: the credits for calls that wait for one.
    :param wanted: the credits that the sender will probably use before they
        expire, including those needed.
    """

    tenant: str
    rate_per_s: float
    burst: float
    version: int
    needed: int
    wanted: int


@messages.register
@attrs.frozen
class Credit:
    """The reply to ``CreditRequest``.

    :param count: the credits granted.
    :param retry_ms: time after which another request may succeed, if fewer
        than needed were granted.
    :param is_granter: whether the store host may grant credits at present.
    """

    count: int
    retry_ms: float = 0
    is_granter: bool = True
