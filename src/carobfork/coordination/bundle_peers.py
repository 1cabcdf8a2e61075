"""Fetch the bundle in force from other entry hosts.

A host that starts while the platform is down asks the seed peers of its
settings. A host that receives a heartbeat with a newer bundle version asks
the sender, so that a bundle arrives even if the watch is late.
"""

from collections.abc import Sequence

import attrs
import gevent
import structlog
from gevent import pool

from carobfork import clock, exceptions
from carobfork.coordination import control, messages, ports
from carobfork.state import bundles

ASK_TIMEOUT_MS = 1000
RETRY_DELAY_MS = 1000
MAX_PARALLEL_REQUESTS = 8

logger = structlog.get_logger(part='bundle peers')


@messages.register
@attrs.frozen
class BundleAsked:
    """Requests the bundle in force if it is newer than ``version``."""

    version: int


@messages.register
@attrs.frozen
class BundleGiven:
    """Carries the signed bundle in force, empty if it is not newer."""

    version: int
    envelope: bytes = b''


class BundlePeers:
    """Exchanges the bundle in force with peers.

    :param link: sends and receives the messages.
    :param holder: holds the bundle in force.
    :param gate: verifies bundles from peers.
    """

    def __init__(
        self,
        link: ports.PeerLink,
        holder: control.BundleHolder,
        gate: control.BundleGate,
    ) -> None:
        """Initialize and register the handler for requests of peers."""
        self._link = link
        self._holder = holder
        self._gate = gate
        self._asking = False
        link.on(BundleAsked, self.answer)

    def run(self, seeds: Sequence[bundles.Address]) -> None:
        """Ask the seeds until a bundle is in force.

        :param seeds: addresses of peers from the settings.
        """
        while seeds and not self._holder.version:
            self.ask(seeds)
            gevent.sleep(clock.to_seconds(RETRY_DELAY_MS))

    def ask(self, addresses: Sequence[bundles.Address]) -> None:
        """Put the newest valid bundle of the peers in force."""
        answers = pool.Pool(MAX_PARALLEL_REQUESTS).map(self._ask_one, addresses)
        newest_first = sorted(
            filter(None, answers),
            key=lambda given: given.version,
            reverse=True,
        )
        for given in newest_first:
            if given.version > self._holder.version:
                self._take(given)

    def handle_version(self, version: int, address: bundles.Address) -> None:
        """Ask a peer with a newer version, unless a request is in flight."""
        if version > self._holder.version and not self._asking:
            self._asking = True
            gevent.spawn(self._ask_newer, address)

    def answer(self, asked: BundleAsked) -> BundleGiven:
        """Return the bundle in force if it is newer than a peer's."""
        envelope = b''
        if asked.version < self._holder.version:
            envelope = self._gate.envelope
        return BundleGiven(self._holder.version, envelope)

    def _ask_newer(self, address: bundles.Address) -> None:
        try:
            self.ask([address])
        finally:
            self._asking = False

    def _ask_one(self, address: bundles.Address) -> BundleGiven | None:
        asked = BundleAsked(self._holder.version)
        try:
            return self._link.request(address, asked, ASK_TIMEOUT_MS)
        except exceptions.CarobforkError as error:
            logger.info('A peer did not provide a bundle.', error=str(error))
            return None

    def _take(self, given: BundleGiven) -> None:
        try:
            self._gate.offer(given.envelope)
        except exceptions.SettingsError as error:
            logger.warning('A bundle was refused.', error=str(error))
