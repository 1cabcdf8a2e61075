"""Let requests of tenants with a quota wait for their credits."""

import math
from typing import Protocol

import structlog
from gevent import event

from carobfork import clock, exceptions
from carobfork.tenancy import credit_stocks, credits, tenants

MAX_WAIT_MS = 600
"""Longest wait for a credit: a few store hosts that are silent, or the next
credit of a tenant with a rate of a few requests a second."""
MAX_WAIT_RATIO = 0.3
"""Share of a call's remaining time that it may wait; the rest is needed to run
it."""
SUMMARY_INTERVAL_MS = 1000
"""Between log lines on refused requests, which may be thousands a second."""
_STEP = 'quota'

logger = structlog.get_logger(part='quota')


class OverQuotaError(exceptions.OverloadedError):
    """The request is beyond its tenant's quota."""

    code = 'over_quota'
    is_frequent = True


class Source(credits.CreditSource, Protocol):
    """The store hosts that grant credits."""

    @property
    def is_supported(self) -> bool:
        """Whether quotas apply."""


class Quota:
    """The quotas of all tenants at this host.

    :param source: the store hosts that grant credits.
    :param lease_ms: how long credits may be used after they were requested.
    :param timer: a clock that counts suspensions of the machine.
    """

    def __init__(
        self, source: Source, lease_ms: float, timer: clock.Clock
    ) -> None:
        """Create the quotas without credits."""
        self.credits_taken = 0
        self.requests_over_quota = 0
        self.keeper = credits.CreditKeeper(timer, source, lease_ms)
        self._source = source
        self._timer = timer
        self._logged_ms = timer.now_ms()
        self._logged_count = 0

    def check(self, tenant: tenants.Tenant | None, version: int) -> None:
        """Refuse a request that is known to be over the quota.

        It costs no messages and no wait.

        :param tenant: the caller's tenant, if there is one.
        :param version: the version of the configuration with its quota.
        :raises OverQuotaError: if it is.
        """
        if tenant is None or not tenant.is_limited:
            return
        refusal = self.keeper.find_refusal(tenant, version)
        if refusal is not None:
            raise self._error(tenant, refusal)

    def take(
        self, tenant: tenants.Tenant | None, version: int, left_ms: float
    ) -> credit_stocks.Credit | None:
        """Take a credit for a request and return it, or None if none is needed.

        :param tenant: the caller's tenant, if there is one.
        :param version: the version of the configuration with its quota.
        :param left_ms: time until the caller's deadline.
        :raises OverQuotaError: if the request is over the quota.
        :raises NotRunError: if no store host could be asked.
        """
        if tenant is None or not tenant.is_limited:
            return None
        if not self._source.is_supported:
            return None
        outcome = self._wait(tenant, version, left_ms)
        if isinstance(outcome, credit_stocks.Refusal):
            raise self._error(tenant, outcome)
        self.credits_taken += 1
        return outcome

    def give_back(self, credit: credit_stocks.Credit) -> None:
        """Return the credit of a request that no server has run."""
        self.credits_taken -= 1
        self.keeper.give_back(credit)

    def _wait(
        self, tenant: tenants.Tenant, version: int, left_ms: float
    ) -> credit_stocks.Credit | credit_stocks.Refusal:
        outcome = event.AsyncResult()
        waiter = self.keeper.take(tenant, version, outcome.set)
        max_wait_ms = min(MAX_WAIT_MS, left_ms * MAX_WAIT_RATIO)
        until_ms = self._timer.now_ms() + max_wait_ms
        try:
            while not outcome.ready():
                wait_ms = until_ms - self._timer.now_ms()
                if wait_ms <= 0:
                    return self.keeper.give_up(tenant, waiter)
                wait_ms = min(wait_ms, self.keeper.check(tenant))
                outcome.wait(timeout=clock.to_seconds(wait_ms))
        except BaseException:
            self._abandon(tenant, waiter, outcome)
            raise
        return outcome.value

    def _abandon(
        self,
        tenant: tenants.Tenant,
        waiter: credit_stocks.Waiter,
        outcome: event.AsyncResult,
    ) -> None:
        """Forget a request whose caller has gone while it waited."""
        self.keeper.give_up(tenant, waiter)
        if outcome.ready() and isinstance(outcome.value, credit_stocks.Credit):
            self.keeper.give_back(outcome.value)

    def _error(
        self, tenant: tenants.Tenant, refusal: credit_stocks.Refusal
    ) -> exceptions.NotRunError:
        if not refusal.is_over:
            return exceptions.NotRunError(
                'no store host grants credits',
                step=_STEP,
                retry_after_ms=int(refusal.retry_ms),
            )
        self.requests_over_quota += 1
        self._log_summary(tenant)
        return OverQuotaError(
            'the tenant has used up its quota',
            step=_STEP,
            retry_after_ms=math.ceil(refusal.retry_ms),
        )

    def _log_summary(self, tenant: tenants.Tenant) -> None:
        """Log the refused requests of about a second together."""
        now_ms = self._timer.now_ms()
        if now_ms - self._logged_ms < SUMMARY_INTERVAL_MS:
            return
        logger.info(
            'requests over quota',
            count=self.requests_over_quota - self._logged_count,
            last_tenant=tenant.name,
        )
        self._logged_ms = now_ms
        self._logged_count = self.requests_over_quota
