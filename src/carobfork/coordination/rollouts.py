"""Put a signed bundle in force by one conditional update.

The update replaces the head object only if it still has the version that was
read, and only with a higher bundle version. After a lost answer, reading the
object back shows whether the update took effect.
"""

import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.coordination import control, ports
from carobfork.state import bundles

MAX_ATTEMPTS = 10
RETRY_DELAY_MS = 200
_STEP = 'roll'
_PEER = 'platform'

logger = structlog.get_logger(part='rollouts')


class Rollout:
    """Rolls out one signed bundle.

    :param store: the platform's object API.
    :param reader: parses envelopes and checks their signatures.
    :param envelope: the signed bundle.
    """

    def __init__(
        self,
        store: ports.ObjectStore,
        reader: control.BundleReader,
        envelope: bytes,
    ) -> None:
        """Read and check the bundle.

        :raises SettingsError: if the signature or the content is wrong.
        """
        self.offered = reader.read(envelope)
        self._store = store
        self._reader = reader
        self._envelope = envelope
        self._was_sent = False

    def run(self) -> bundles.Bundle:
        """Put the bundle in force and return it.

        :raises ConflictError: if another bundle won; the error names its
            version.
        :raises PlatformError: if the platform does not answer and nothing was
            sent.
        :raises UnknownOutcomeError: if the outcome of the update is unknown.
        """
        for _ in range(MAX_ATTEMPTS):
            try:
                return self._attempt()
            except exceptions.ConflictError as conflict:
                if conflict.step == _STEP:
                    raise
            except exceptions.PlatformError as error:
                logger.warning('The rollout is retried.', error=str(error))
            gevent.sleep(clock.to_seconds(RETRY_DELAY_MS))
        raise self._exhausted()

    def _exhausted(self) -> exceptions.CarobforkError:
        if not self._was_sent:
            return exceptions.PlatformError(
                'the platform does not answer; nothing was rolled out',
                step=_STEP,
                peer=_PEER,
            )
        return exceptions.UnknownOutcomeError(
            f'the platform did not say whether version {self.offered.version} '
            'is in force; roll it out again',
            step=_STEP,
            peer=_PEER,
        )

    def _attempt(self) -> bundles.Bundle:
        found = self._store.fetch(control.BUNDLE_KEY)
        version = 0
        if found is not None:
            if found.body == self._envelope:
                return self.offered
            self._require_newer(found.body)
            version = found.version
        self._was_sent = True
        self._store.update(control.BUNDLE_KEY, self._envelope, version)
        return self.offered

    def _require_newer(self, envelope: bytes) -> None:
        """Check that the offered bundle is newer than the head object.

        A head object that the operators did not sign is in force on no host.
        It is replaced by any version above the one that it claims.
        """
        version = self._reader.claimed_version(envelope)
        if version >= self.offered.version:
            raise exceptions.ConflictError(
                f'the head object holds version {version}, version '
                f'{self.offered.version} was offered',
                current_version=version,
                step=_STEP,
                peer=_PEER,
            )
