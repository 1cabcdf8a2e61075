"""Read and write the storage group and retirements of store hosts.

Both are objects of the platform's store.
"""

import msgspec
import structlog

from carobfork import exceptions
from carobfork.platform import decoding, followers, names, objects
from carobfork.storage import groups

GROUP_NAME = 'main'

logger = structlog.get_logger(part='platform')


def decode_group(stored: decoding.StoredObject) -> groups.Group:
    """Return the storage group that an object describes.

    :raises SettingsError: if it is malformed.
    """
    try:
        return msgspec.convert(stored.spec, groups.Group)
    except msgspec.ValidationError as error:
        raise exceptions.SettingsError(
            f'the storage group is malformed: {error!r}', step='decode'
        ) from error


class GroupRegister:
    """The storage group as last read, and conditional writes to it.

    :param store: client of the platform's store.
    """

    def __init__(self, store: objects.ObjectStore) -> None:
        """Create a register that has not read the store."""
        self._store = store
        self._group: groups.Group | None = None
        self._revision = 0
        self._was_read = False

    def is_known(self) -> bool:
        """Tell whether the store was read since the process started."""
        return self._was_read

    def current(self) -> tuple[groups.Group | None, int]:
        """Return the group and its revision as last read."""
        return self._group, self._revision

    def update(self, seen: followers.Snapshot) -> None:
        """Read the group from a snapshot of its kind.

        A malformed group is logged and ignored.
        """
        self._was_read = True
        for stored in seen.stored_objects:
            if stored.name == GROUP_NAME:
                self._read_group(stored)

    def write(self, group: groups.Group, revision: int) -> None:
        """Write the group if its revision has not changed.

        :param revision: the revision to replace; 0 creates the group.
        :raises PlatformError: if it was not written or the outcome is unknown.
        """
        spec = msgspec.to_builtins(group)
        if revision:
            self._store.replace(names.KIND_STORAGE, GROUP_NAME, spec, revision)
        else:
            self._store.create(names.KIND_STORAGE, GROUP_NAME, spec)

    def _read_group(self, stored: decoding.StoredObject) -> None:
        try:
            self._group = decode_group(stored)
        except exceptions.SettingsError as error:
            logger.warning('storage group rejected', reason=error.message)
            return
        self._revision = stored.revision


class Retirement:
    """Request of the platform to empty a store host, and its progress.

    :param store: client of the platform's store.
    :param node: name of the host.
    """

    def __init__(self, store: objects.ObjectStore, node: str) -> None:
        """Create a retirement that is not requested."""
        self._store = store
        self._node = node
        self._request: decoding.StoredObject | None = None

    @property
    def is_requested(self) -> bool:
        """Whether the host is to be emptied."""
        return self._request is not None

    def update(self, seen: followers.Snapshot) -> None:
        """Look for a request in a snapshot of the retirements."""
        mine = [
            stored
            for stored in seen.stored_objects
            if stored.name == self._node
        ]
        self._request = mine[0] if mine else None

    def report(self, is_done: bool) -> None:
        """Write the progress if it has changed and is not yet completed.

        :param is_done: whether the host is emptied.
        :raises PlatformError: if it was not written or the outcome is unknown.
        """
        request = self._request
        if request is None:
            return
        state = 'completed' if is_done else 'running'
        status = request.status
        written = status.get('State') if isinstance(status, dict) else None
        if written in (state, 'completed'):
            return
        logger.info('retirement', state=state)
        self._store.replace_status(
            names.KIND_RETIREMENTS,
            self._node,
            {'State': state},
            request.revision,
        )
