"""Grant credits, each of which allows one request of a tenant.

The quota holds for all entry hosts together. Each member of the storage group
owns an equal share of it, so no member has to know what others have granted.
"""

from carobfork import clock
from carobfork.storage import (
    allowances,
    credit_buckets,
    credit_messages,
    grant_rights,
    groups,
)

BUCKET_TTL_MS = 60_000
"""How long a tenant is kept after its last request for credits."""
UNAVAILABLE_RETRY_MS = 250
"""When to ask a member again that may not grant: about a heartbeat later."""
MIN_RATE_PER_S = 0.001
"""Rate of tenants with a smaller one, whose next credit is hours away."""
_FULL_RATIO = 0.5
"""Credits beyond those needed are granted from buckets that are at least this
full, since some of them lapse."""


class CreditTable:
    """One member's share of the quotas of all tenants.

    :param right: tells whether this member may grant.
    :param allowance: how far requests may exceed a quota.
    :param losses: number of disks that may be lost at the same time.
    :param timer: a clock that counts suspensions of the machine.
    """

    def __init__(
        self,
        right: grant_rights.GrantRight,
        allowance: allowances.Allowance,
        losses: int,
        timer: clock.Clock,
    ) -> None:
        """Create a table whose buckets are empty now.

        What was granted before is not known, so nothing is left of it.
        """
        self.right = right
        self.granted = 0
        # A group with fewer members grants less than the quota: shares that
        # grow would be granted before other members know of theirs.
        self._shares = groups.target_size(losses)
        self._allowance = allowance
        self._timer = timer
        self._buckets: dict[str, credit_buckets.Bucket] = {}
        self._empty_ms: float | None = None
        self._expired_ms = timer.now_ms()

    def grant(
        self, message: credit_messages.CreditRequest, group: groups.Group
    ) -> credit_messages.Credit:
        """Grant credits, or tell when to ask again.

        :param group: the newest group that this member knows.
        """
        if not self.right.may_grant(group):
            return credit_messages.Credit(
                0, UNAVAILABLE_RETRY_MS, is_granter=False
            )
        if self._empty_ms != self.right.since_ms:
            # Another member has granted this share until now.
            self._buckets.clear()
            self._empty_ms = self.right.since_ms
        now_ms = self._timer.now_ms()
        bucket = self._find(message, now_ms)
        bucket.requested_ms = now_ms
        count = _count_granted(bucket, message, now_ms)
        bucket.take(count, now_ms)
        self.granted += count
        if count < message.needed:
            return credit_messages.Credit(count, bucket.promise_ms(now_ms))
        return credit_messages.Credit(count)

    def _find(
        self, message: credit_messages.CreditRequest, now_ms: float
    ) -> credit_buckets.Bucket:
        """Return a tenant's bucket with the newest quota that was heard."""
        bucket = self._buckets.get(message.tenant)
        if bucket is not None and bucket.version >= message.version:
            return bucket
        rate_per_s = max(message.rate_per_s, MIN_RATE_PER_S)
        rate_per_ms = clock.per_ms(rate_per_s) / self._shares
        depth = self._allowance.depth(message.burst, self._shares)
        if bucket is not None:
            bucket.change(message.version, rate_per_ms, depth, now_ms)
            return bucket
        self._expire(now_ms)
        bucket = credit_buckets.Bucket(
            message.version, rate_per_ms, depth, self._allowance.span_ms
        )
        bucket.set_level(0, self._empty_ms)
        self._buckets[message.tenant] = bucket
        return bucket

    def _expire(self, now_ms: float) -> None:
        if now_ms - self._expired_ms < BUCKET_TTL_MS:
            return
        self._expired_ms = now_ms
        for tenant, bucket in list(self._buckets.items()):
            is_unused = now_ms - bucket.requested_ms > BUCKET_TTL_MS
            if is_unused and bucket.level(now_ms) == bucket.depth:
                self._buckets.pop(tenant)


def _count_granted(
    bucket: credit_buckets.Bucket,
    message: credit_messages.CreditRequest,
    now_ms: float,
) -> int:
    """Return how many credits to grant: those needed, or more if many are left.

    :param bucket: the tenant's bucket.
    """
    count = min(bucket.whole(now_ms), message.needed)
    unused = bucket.level(now_ms) - bucket.depth * _FULL_RATIO
    spare = int(unused) - count
    return count + max(0, min(spare, message.wanted - count))
