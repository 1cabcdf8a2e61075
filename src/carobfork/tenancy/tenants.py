"""Find the tenant that a caller's key belongs to.

Keys are kept as digests only, so that no log line, error or dump can show one.
"""

import hashlib
import os
from collections.abc import Iterable, Sequence

import attrs

from carobfork import exceptions

MAX_KEY_BYTES = 4096
"""Longest key that is looked up; longer ones are unknown."""
_DIGEST_BYTES = 16
_STEP = 'identify'
_RANK_SPAN = 1000
"""Bound of the ranks of routes within one rank of tenants."""


class UnknownKeyError(exceptions.BadRequestError):
    """The caller's key is missing or belongs to no tenant."""

    code = 'unknown_key'
    http_status = 401
    is_frequent = True


@attrs.frozen
class Tenant:
    """A customer whose callers share a quota.

    :param name: the tenant's name, which backend servers are told.
    :param rank: priority class, 0 first; it goes before those of routes.
    :param rate_per_s: requests a second that all hosts together may send, or
        0 if there is no limit.
    :param burst: requests that may be sent beyond that at once.
    """

    name: str
    rank: int = 0
    rate_per_s: float = 0
    burst: float = 0

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a quota."""
        return self.rate_per_s > 0


@attrs.frozen
class TenantKeys:
    """A tenant with the keys of its callers.

    :param tenant: the tenant.
    :param keys: its keys.
    """

    tenant: Tenant
    keys: tuple[str, ...] = attrs.field(repr=False)


def combine_ranks(tenant: Tenant | None, route_rank: int) -> int:
    """Return the rank of a call, by its tenant first and then by its route."""
    if tenant is None:
        return route_rank
    bounded = min(max(route_rank, 0), _RANK_SPAN - 1)
    return tenant.rank * _RANK_SPAN + bounded


class KeyTable:
    """The tenants of one version of the configuration, by their keys.

    :ivar tenants: the tenants by name.
    :ivar shared_keys: how many keys several tenants have.
    :param entries: each tenant with its keys.
    """

    def __init__(self, entries: Iterable[TenantKeys]) -> None:
        """Index the tenants by digests of their keys."""
        self.tenants: dict[str, Tenant] = {}
        self.shared_keys = 0
        # A secret of the process: digests of different hosts don't compare.
        self._secret = os.urandom(_DIGEST_BYTES)
        self._by_digest: dict[bytes, Tenant] = {}
        for entry in entries:
            self.tenants[entry.tenant.name] = entry.tenant
            for key in entry.keys:
                self._add(key, entry.tenant)

    def find(self, keys: Sequence[str]) -> Tenant:
        """Return the tenant that a caller belongs to.

        :param keys: the keys that the caller sent.
        :raises UnknownKeyError: if there is none, or it belongs to no tenant.
        :raises BadRequestError: if there are several.
        """
        if len(keys) > 1:
            raise exceptions.BadRequestError(
                'the request has several keys', step=_STEP
            )
        key = ''.join(keys)
        tenant = None
        if 0 < len(key) <= MAX_KEY_BYTES:
            tenant = self._by_digest.get(self._digest(key))
        if tenant is None:
            raise UnknownKeyError(
                'the key belongs to no tenant' if key else 'there is no key',
                step=_STEP,
            )
        return tenant

    def _add(self, key: str, tenant: Tenant) -> None:
        """Add a key; the first tenant that has it keeps it."""
        owner = self._by_digest.setdefault(self._digest(key), tenant)
        self.shared_keys += owner is not tenant

    def _digest(self, key: str) -> bytes:
        return hashlib.blake2b(
            key.encode(errors='replace'),
            digest_size=_DIGEST_BYTES,
            key=self._secret,
        ).digest()
