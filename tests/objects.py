"""The platform's object API in memory, with answers that get lost."""

from carobfork import exceptions
from carobfork.coordination import ports


class MemoryStore:
    """Keep objects and versions; ``lost_answers`` updates tell nothing."""

    def __init__(self):
        """Start without objects."""
        self.kept = {}
        self.lost_answers = 0
        self.updates = 0
        self.before_update = None

    def fetch(self, key):
        """Return an object, or nothing where it does not exist."""
        return self.kept.get(key)

    def update(self, key, body, expected_version):
        """Replace an object of this version and return the new version."""
        if self.before_update is not None:
            interloper = self.before_update
            self.before_update = None
            interloper()
        found = self.kept.get(key)
        version = found.version if found else 0
        if version != expected_version:
            raise exceptions.ConflictError('another', current_version=version)
        self.updates += 1
        self.kept[key] = ports.StoredObject(key, version + 1, body)
        if self.lost_answers:
            self.lost_answers -= 1
            raise exceptions.PlatformError('the answer was lost')
        return version + 1
