"""Follow the host list and the bundle through one platform watch."""

import json
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs
import cattrs
import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.coordination import ports, routing
from carobfork.state import bundles

PREFIX = 'control/'
HOSTS_PREFIX = 'control/hosts/'
BUNDLE_KEY = 'control/bundle'
BACKENDS_KEY = 'control/backends'
RETRY_DELAY_MS = 500
_converter = cattrs.Converter()

logger = structlog.get_logger(part='control')


class BundleReader(Protocol):
    """Checks and parses signed bundles."""

    def read(self, envelope: bytes) -> bundles.Bundle:
        """Return the bundle.

        :raises SettingsError: if the signature or the content is wrong.
        """

    def claimed_version(self, envelope: bytes) -> int:
        """Return the version of an envelope without checking its signature.

        It is 0 if the envelope is unreadable.
        """


class BundleHolder:
    """Holds the bundle in force; its version never decreases."""

    def __init__(self) -> None:
        """Initialize without a bundle."""
        self._bundle: bundles.Bundle | None = None
        self._listeners: list[Callable[[bundles.Bundle], None]] = []

    @property
    def version(self) -> int:
        """The version of the bundle in force, 0 if there is none."""
        return self._bundle.version if self._bundle else 0

    @property
    def current(self) -> bundles.Bundle:
        """The bundle in force.

        :raises NotRunError: if there is none yet.
        """
        if self._bundle is None:
            raise exceptions.NotRunError(
                'no bundle is in force yet', step='look up', peer='bundle'
            )
        return self._bundle

    def subscribe(self, listener: Callable[[bundles.Bundle], None]) -> None:
        """Call ``listener`` with the bundle in force and each later one."""
        self._listeners.append(listener)
        if self._bundle is not None:
            listener(self._bundle)

    def offer(self, bundle: bundles.Bundle) -> bool:
        """Put a bundle in force if it is newer and return whether it was."""
        if bundle.version <= self.version:
            return False
        self._bundle = bundle
        for listener in self._listeners:
            listener(bundle)
        logger.info('A bundle came into force.', version=bundle.version)
        return True


class BundleGate:
    """Verifies signed bundles and puts them in force.

    :param reader: checks the signature and content of bundles.
    :param holder: holds the bundle in force.
    """

    def __init__(self, reader: BundleReader, holder: BundleHolder) -> None:
        """Initialize without an envelope."""
        self.envelope = b''
        """The signed bundle in force in its wire form."""
        self._reader = reader
        self._holder = holder

    def offer(self, envelope: bytes) -> None:
        """Check a signed bundle and put it in force if it is newer.

        :raises SettingsError: if the signature or the content is wrong.
        """
        bundle = self._reader.read(envelope)
        if self._holder.offer(bundle):
            self.envelope = envelope
        elif bundle.version < self._holder.version:
            logger.warning(
                'An older bundle was refused.',
                version=bundle.version,
                in_force=self._holder.version,
            )


class HostDirectory:
    """Holds the entry hosts registered at the platform."""

    def __init__(self) -> None:
        """Initialize an empty directory."""
        self._hosts: dict[str, routing.EntryHost] = {}

    def registered(self) -> list[routing.EntryHost]:
        """Return the newest incarnation of each host."""
        return list(self._hosts.values())

    def find(self, name: str) -> routing.EntryHost | None:
        """Return a host's newest incarnation, if it is registered."""
        return self._hosts.get(name)

    def add(self, host: routing.EntryHost) -> None:
        """Add a host or replace its older incarnation."""
        known = self._hosts.get(host.incarnation.host)
        if known is None or known.incarnation <= host.incarnation:
            self._hosts[host.incarnation.host] = host


def register_host(
    store: ports.ObjectStore, describe: Callable[[int], routing.EntryHost]
) -> routing.EntryHost:
    """Register a new incarnation of a host at the platform.

    :param store: the platform's object API.
    :param describe: returns the host for an incarnation number.
    """
    while True:
        try:
            return _register_once(store, describe)
        except exceptions.PlatformError as error:
            # A lost answer skips an incarnation number, which is harmless:
            # numbers need not be consecutive.
            logger.warning('Registration will be retried.', error=str(error))
            gevent.sleep(clock.to_seconds(RETRY_DELAY_MS))


def _register_once(
    store: ports.ObjectStore, describe: Callable[[int], routing.EntryHost]
) -> routing.EntryHost:
    key = HOSTS_PREFIX + describe(0).incarnation.host
    found = store.fetch(key)
    if found is None:
        host = describe(1)
        store.update(key, encode_host(host), expected_version=0)
        return host
    last = decode_host(found.body)
    host = attrs.evolve(
        describe(last.incarnation.number + 1),
        predecessors=(*last.predecessors, last.incarnation),
    )
    store.update(key, encode_host(host), expected_version=found.version)
    return host


def mark_leaving(store: ports.ObjectStore, host: routing.EntryHost) -> None:
    """Mark a host as about to stop in its host object.

    :raises PlatformError: if the platform does not confirm it.
    """
    key = HOSTS_PREFIX + host.incarnation.host
    found = store.fetch(key)
    registered = decode_host(found.body) if found else None
    if registered is None or registered.incarnation != host.incarnation:
        return
    leaving = attrs.evolve(registered, leaving=True)
    store.update(key, encode_host(leaving), expected_version=found.version)


def encode_host(host: routing.EntryHost) -> bytes:
    """Encode a host as its object at the platform."""
    return json.dumps(_converter.unstructure(host)).encode()


def decode_host(body: bytes) -> routing.EntryHost:
    """Decode a host from its object at the platform."""
    return _converter.structure(json.loads(body), routing.EntryHost)


class ControlWatch:
    """Follows the control objects of the platform.

    :param store: the platform's object API.
    :param directory: receives the hosts.
    :param handlers: called with the body of the object under each key.
    """

    def __init__(
        self,
        store: ports.ObjectStore,
        directory: HostDirectory,
        handlers: Mapping[str, Callable[[bytes], None]],
    ) -> None:
        """Initialize the watch before the first revision."""
        self._store = store
        self._directory = directory
        self._handlers = handlers
        self._revision = 0

    def run(self) -> None:
        """Follow changes until the greenlet is killed."""
        while True:
            try:
                self.poll()
            except exceptions.PlatformError as error:
                logger.warning(
                    'The watch on control objects failed and is retried.',
                    error=str(error),
                )
                gevent.sleep(clock.to_seconds(RETRY_DELAY_MS))

    def poll(self) -> None:
        """Wait for the next changes and apply them."""
        revision, changes = self._store.watch(PREFIX, self._revision)
        for change in changes:
            self._apply(change)
        self._revision = revision

    def _apply(self, change: ports.StoredObject) -> None:
        try:
            self._read(change)
        except exceptions.SettingsError as error:
            logger.warning(
                'An object was refused.', key=change.key, error=str(error)
            )

    def _read(self, change: ports.StoredObject) -> None:
        if change.key.startswith(HOSTS_PREFIX):
            self._directory.add(decode_host(change.body))
            return
        handler = self._handlers.get(change.key)
        if handler is not None:
            handler(change.body)
