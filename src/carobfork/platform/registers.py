"""Registers: the storage group and retirements in the platform's store."""

import msgspec
import structlog

from carobfork import exceptions
from carobfork.platform import decoding, followers, names, objects
from carobfork.storage import groups

GROUP_NAME = 'main'

logger = structlog.get_logger(part='platform')


def decode_group(stored: decoding.StoredObject) -> groups.Group:
    """Return the group that an object describes.

    :raises SettingsError: it is malformed.
    """
    try:
        return msgspec.convert(stored.spec, groups.Group)
    except msgspec.ValidationError as error:
        raise exceptions.SettingsError(
            f'the storage group is malformed: {error!r}', step='decode'
        ) from error


class GroupRegister:
    """The storage group as last seen, and its conditional writes.

    :param store: where the group's specification lives.
    """

    def __init__(self, store: objects.ObjectStore) -> None:
        """Start without having read the store."""
        self._store = store
        self._group: groups.Group | None = None
        self._revision = 0
        self._was_read = False

    def is_known(self) -> bool:
        """Tell whether the platform's store was read since the start."""
        return self._was_read

    def current(self) -> tuple[groups.Group | None, int]:
        """Return the group and its revision, as last seen."""
        return self._group, self._revision

    def update(self, seen: followers.Snapshot) -> None:
        """Take the objects of the group's kind."""
        self._was_read = True
        for stored in seen.stored_objects:
            if stored.name == GROUP_NAME:
                self._group = decode_group(stored)
                self._revision = stored.revision

    def write(self, group: groups.Group, revision: int) -> None:
        """Replace the group of a revision; 0 creates it.

        :raises PlatformError: it was not written, or nobody knows.
        """
        spec = msgspec.to_builtins(group)
        if revision:
            self._store.replace(names.KIND_STORAGE, GROUP_NAME, spec, revision)
        else:
            self._store.create(names.KIND_STORAGE, GROUP_NAME, spec)


class Retirement:
    """Whether one store host is to be emptied, and its progress.

    :param store: where the request lives.
    :param node: the host.
    """

    def __init__(self, store: objects.ObjectStore, node: str) -> None:
        """Start without a request."""
        self._store = store
        self._node = node
        self._request: decoding.StoredObject | None = None

    @property
    def is_requested(self) -> bool:
        """Whether the host is to be emptied."""
        return self._request is not None

    def update(self, seen: followers.Snapshot) -> None:
        """Take the objects of the retirements' kind."""
        mine = [
            stored
            for stored in seen.stored_objects
            if stored.name == self._node
        ]
        self._request = mine[0] if mine else None

    def report(self, is_done: bool) -> None:
        """Write the progress, unless it stands there already.

        :raises PlatformError: it was not written, or nobody knows.
        """
        request = self._request
        if request is None:
            return
        state = 'completed' if is_done else 'running'
        written = (request.status or {}).get('State')
        if written in {state, 'completed'}:
            return
        logger.info('retirement', state=state)
        self._store.replace_status(
            names.KIND_RETIREMENTS,
            self._node,
            {'State': state},
            request.revision,
        )
