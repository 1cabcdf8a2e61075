"""Define how far requests may exceed the quotas of tenants."""

import attrs

MIN_LEASE_MS = 100
"""Credits must outlast the round trip in which they are requested."""
SPENT_SLACK_RATIO = 0.5
"""Part of the slack that deepens the buckets. The rest covers the credit that
each store host may have lent, and what restarts and the replacement of store
hosts may add."""
MIN_DEPTH = 1
"""A bucket that can't hold one credit would never grant any."""


@attrs.frozen
class Allowance:
    """In any window, a tenant's requests stay at or below a bound.

    It is (rate x window + burst) x (1 + overshoot) + slack.

    :param window_ms: length of the windows.
    :param overshoot_ratio: tolerated excess as a ratio.
    :param slack: tolerated excess in requests.
    """

    window_ms: float = 5000
    overshoot_ratio: float = 0.1
    slack: float = 20

    @property
    def lease_ms(self) -> float:
        """How long a credit may be used after it was requested.

        Requests of a window use credits that were granted in it or up to one
        lease earlier, which adds rate x lease, the overshoot of the rate.
        """
        return max(self.window_ms * self.overshoot_ratio, MIN_LEASE_MS)

    @property
    def span_ms(self) -> float:
        """The time within which credits are granted that a window may use."""
        return self.window_ms + self.lease_ms

    def depth(self, burst: float, members: int) -> float:
        """Return how many credits one store host may grant at once.

        :param burst: the tenant's burst.
        :param members: number of store hosts that grant.
        """
        whole = burst * (1 + self.overshoot_ratio)
        whole += self.slack * SPENT_SLACK_RATIO
        return max(whole / members, MIN_DEPTH)
