"""Hosts: what all roles have, and the registry of roles."""

import contextlib
from collections.abc import Callable
from types import TracebackType

import gevent
import structlog

from carobfork import clock, exceptions, host_logs
from carobfork.gateway import metrics
from carobfork.platform import endpoints, followers, objects, settings

SETTINGS_POLL_MS = 1000
"""The settings file may change without a signal."""

logger = structlog.get_logger(part='host')

Role = Callable[[settings.HostSettings], contextlib.AbstractContextManager]
ROLES: dict[str, Role] = {}  # noqa: WPS407


def register(name: str) -> Callable[[Role], Role]:
    """Register a role under its name, which is its module's, too."""

    def decorator(role: Role) -> Role:  # noqa: WPS430
        ROLES[name] = role
        return role

    return decorator


class Host:
    """What all roles have: greenlets, followers and reloaded settings.

    :param known: the settings.
    """

    def __init__(self, host_settings: settings.HostSettings) -> None:
        """Start nothing yet."""
        self.settings = host_settings
        self.store = objects.ObjectStore(host_settings.platform)
        self.timer = clock.SystemClock()
        self._settings_text = ''
        self._greenlets: list[gevent.Greenlet] = []
        self._metrics = endpoints.EndpointServer(
            (host_settings.ip, host_settings.inner_ports[0] + 1),
            endpoints.metrics_endpoint(self.render_metrics),
        )

    def render_metrics(self) -> bytes:
        """Return the host's counts and latencies as text."""
        counters = {
            'platform_calls': self.store.calls,
            'log_lines_lost': host_logs.lost_lines(),
        }
        return metrics.render(counters, {}, {})

    def serve_metrics(self) -> None:
        """Serve counts and latencies on the second inner port."""
        try:
            self._metrics.start()
        except OSError as error:
            logger.warning('no metrics are served', reason=str(error))

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all greenlets."""
        self._metrics.stop()
        gevent.killall(self._greenlets, block=False)

    def spawn(self, task: Callable[[], None]) -> None:
        """Run a task for as long as the host lives."""
        self._greenlets.append(gevent.spawn(task))

    def repeat(self, task: Callable[[], None], every_ms: float) -> None:
        """Run a task again and again."""

        def run() -> None:  # noqa: WPS430
            while True:
                gevent.sleep(clock.to_seconds(every_ms))
                task()

        self.spawn(run)

    def follow(
        self, kind: str, on_snapshot: followers.OnSnapshot, **options
    ) -> followers.Follower:
        """Follow a kind of the platform's objects."""
        follower = followers.Follower(self.store, kind, on_snapshot, **options)
        self.spawn(follower.run)
        return follower

    def reload(self) -> None:
        """Read the settings again; what can't change is kept."""
        try:
            text = settings.read()
            if text == self._settings_text:
                return
            fresh = settings.parse(text)
        except exceptions.SettingsError as error:
            logger.warning('settings not reloaded', reason=error.message)
            return
        self._settings_text = text
        if fresh != self.settings:
            logger.info('settings changed', platform=fresh.platform)
            self.settings = fresh
            self.store.address = fresh.platform

    def stop(self) -> None:
        """Prepare to end."""
