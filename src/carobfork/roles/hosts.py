"""Define the base class and the registry of roles."""

import contextlib
from collections.abc import Callable
from types import TracebackType

import gevent
import structlog

from carobfork import clock, exceptions, host_logs, supervision
from carobfork.gateway import metrics
from carobfork.platform import endpoints, followers, objects, settings

SETTINGS_POLL_MS = 1000
"""How often to look for changed settings, which may come without a signal."""

logger = structlog.get_logger(part='host')

Role = Callable[[settings.HostSettings], contextlib.AbstractContextManager]
ROLES: dict[str, Role] = {}  # noqa: WPS407


def register(name: str) -> Callable[[Role], Role]:
    """Return a decorator that registers a role.

    :param name: the role's name, which is also the name of its module.
    """

    def decorator(role: Role) -> Role:  # noqa: WPS430
        ROLES[name] = role
        return role

    return decorator


class Host:
    """Base of all roles: greenlets, followers, metrics and settings.

    :param host_settings: settings of this process.
    """

    def __init__(self, host_settings: settings.HostSettings) -> None:
        """Create the parts without starting them."""
        self.settings = host_settings
        self.store = objects.ObjectStore(host_settings.platform)
        self.timer = clock.SystemClock()
        self._settings_text = ''
        self._greenlets: list[gevent.Greenlet] = []
        self._metrics = endpoints.EndpointServer(
            (host_settings.ip, host_settings.inner_ports[0] + 1),
            self.operator_endpoints(),
        )

    def operator_endpoints(self) -> dict[str, endpoints.Endpoint]:
        """Return the endpoints for operators, by path."""
        return endpoints.metrics_endpoint(self.render_metrics)

    def render_metrics(self) -> bytes:
        """Return the host's metrics in the Prometheus text format."""
        counters = {
            'platform_calls': self.store.calls,
            'log_lines_lost': host_logs.lost_lines(),
            'tasks_failed': supervision.failures(),
        }
        return metrics.render(counters, {}, {})

    def serve_metrics(self) -> None:
        """Serve metrics on the second inner port.

        If the port can't be opened, the host runs without metrics.
        """
        try:
            self._metrics.start()
        except OSError as error:
            logger.warning('metrics not served', reason=str(error))

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop serving metrics and kill all greenlets."""
        self._metrics.stop()
        gevent.killall(self._greenlets, block=False)

    def spawn(self, task: Callable[[], None]) -> None:
        """Run a task in a greenlet that ends with the host.

        A task that fails is started again.
        """
        self._greenlets.append(supervision.spawn(task))

    def repeat(self, task: Callable[[], None], every_ms: float) -> None:
        """Run a task periodically.

        :param every_ms: pause in ms before each run.
        """

        def run() -> None:  # noqa: WPS430
            while True:
                gevent.sleep(clock.to_seconds(every_ms))
                task()

        self.spawn(run)

    def follow(
        self, kind: str, on_snapshot: followers.OnSnapshot, **options
    ) -> followers.Follower:
        """Follow the platform's objects of a kind.

        :param on_snapshot: called with all objects after each change.
        :param options: further arguments of the follower.
        """
        follower = followers.Follower(self.store, kind, on_snapshot, **options)
        self.spawn(follower.run)
        return follower

    def reload(self) -> None:
        """Read the settings again if their file has changed.

        Settings that are used only at the start stay in effect. An invalid
        file is logged and ignored.
        """
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
        """Prepare to exit; called before the host's context ends."""
