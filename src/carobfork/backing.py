"""Backing: wires the clients of backend servers and what is known of them."""

from carobfork import clock
from carobfork.coordination import backends, monitored_backends
from carobfork.transport import engines, services


class Backing:
    """Reach model engines and plain services, and learn from each exchange.

    :param timer: measures failures and stalls.
    """

    def __init__(self, timer: clock.Clock) -> None:
        """Start believing every server usable."""
        self.health = backends.BackendHealth(timer)
        self.models = monitored_backends.MonitoredModels(
            engines.HttpModelBackend(), self.health
        )
        self.services = monitored_backends.MonitoredServices(
            services.HttpServiceBackend(), self.health
        )

    def apply_list(self, body: bytes) -> None:
        """Take over the platform's list of backend servers.

        :raises SettingsError: the list is malformed.
        """
        self.health.apply_list(backends.BackendList.parse(body))
