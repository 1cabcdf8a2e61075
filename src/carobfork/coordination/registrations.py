"""Register this host at the platform and publish its takeovers."""

from collections.abc import Callable

import attrs
import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.coordination import control, ports, routing
from carobfork.state import identifiers

logger = structlog.get_logger(part='registrations')


class Registration:
    """Registers incarnations of this host and publishes their takeovers.

    :param store: the platform's object API.
    :param directory: gets each new incarnation immediately.
    :param describe: returns the host for an incarnation number.
    """

    def __init__(
        self,
        store: ports.ObjectStore,
        directory: control.HostDirectory,
        describe: Callable[[int], routing.EntryHost],
    ) -> None:
        """Initialize without a registered incarnation."""
        self._store = store
        self._directory = directory
        self._describe = describe

    def register(self) -> routing.EntryHost:
        """Register a new incarnation, retrying while the platform is down."""
        self.own = control.register_host(self._store, self._describe)
        self._directory.add(self.own)
        return self.own

    def publish(
        self,
        adopted: frozenset[identifiers.Incarnation],
        settled: frozenset[identifiers.Incarnation],
    ) -> None:
        """Publish the incarnations whose programs this host has adopted.

        :param adopted: the adopted incarnations.
        :param settled: earlier incarnations that need no takeover anymore.
        :raises PlatformError: if the platform does not confirm it.
        :raises SealedError: if a newer incarnation of this host is registered.
        """
        while not self._publish_once(adopted, settled):
            # Another component of this host updated the object, or the answer
            # to an earlier attempt was lost: retry from the stored object.
            gevent.sleep(clock.to_seconds(control.RETRY_DELAY_MS))

    def _publish_once(
        self,
        adopted: frozenset[identifiers.Incarnation],
        settled: frozenset[identifiers.Incarnation],
    ) -> bool:
        key = control.HOSTS_PREFIX + self.own.incarnation.host
        found = self._store.fetch(key)
        registered = control.decode_host(found.body)
        if registered.incarnation != self.own.incarnation:
            raise exceptions.SealedError(
                'a newer incarnation is registered', step='publish'
            )
        open_ones = set(registered.predecessors) - adopted - settled
        host = attrs.evolve(
            registered,
            adopted=tuple(sorted(adopted)),
            predecessors=tuple(sorted(open_ones)),
        )
        try:
            self._store.update(key, control.encode_host(host), found.version)
        except exceptions.ConflictError:
            return False
        self.own = host
        self._directory.add(host)
        return True
