"""Decide how long a host believes the keys that it knows.

The load pattern: a key is taken away while a host hears from neither the
platform nor a store host that follows it, and the holder of the key goes on
sending requests.
"""

from carobfork import clock, exceptions

BELIEF_RATIO = 0.4
"""Fraction of the time within which a key must end that a host believes its
keys without news. Store hosts may believe theirs for half of it, and the rest
is for heartbeats."""
WATCH_RATIO = 0.25
"""Fraction of that time after which the platform is asked again for changes, so
that its silence is noticed in half of it."""
_RETRY_AFTER_MS = 1000
"""Retry delay for callers of a host without news: they find another host."""


class OutdatedKeysError(exceptions.NotRunError):
    """The host has had no news for too long to know who may call."""

    code = 'outdated_keys'


class KeyAge:
    """The age of what a host knows of keys.

    :param timer: the clock for the age.
    :param revoke_ms: time within which a key that is taken away must end also
        at hosts that are cut off; ``None`` if they may go on with it.
    """

    def __init__(
        self, timer: clock.Clock, revoke_ms: float | None = None
    ) -> None:
        """Create an age of zero."""
        self._timer = timer
        self._revoke_ms = revoke_ms
        self._confirmed_ms = timer.now_ms()

    @property
    def watch_ms(self) -> float | None:
        """How long the platform may wait for a change; ``None`` if any time."""
        if self._revoke_ms is None:
            return None
        return self._revoke_ms * WATCH_RATIO

    def confirm(self) -> None:
        """Record that the newest configuration is known at this moment."""
        self._confirmed_ms = self._timer.now_ms()

    def check(self) -> None:
        """Refuse a request if its key may have been taken away long ago.

        :raises OutdatedKeysError: if it may have been.
        """
        if self._revoke_ms is None:
            return
        age_ms = self._timer.now_ms() - self._confirmed_ms
        if age_ms > self._revoke_ms * BELIEF_RATIO:
            raise OutdatedKeysError(
                f'no news of keys for {age_ms:.0f} ms',
                step='identify',
                retry_after_ms=_RETRY_AFTER_MS,
            )
