"""Cache snapshots of the platform's objects and exchange deltas of them.

Hosts send each other only what has changed since the revision that the
requesting host knows, because a listing of all backend servers is large and
changes often.
"""

from collections.abc import Mapping

import attrs

UNKNOWN_REVISION = -1


@attrs.frozen
class Delta:
    """The changes of one kind of objects since a revision.

    :param revision: the revision that the delta leads to.
    :param entries: revision and content of changed objects, by name.
    :param names: the names of all objects present at that revision.
    """

    revision: int
    entries: dict[str, tuple[int, bytes]] = attrs.field(repr=False)
    names: list[str]


@attrs.frozen
class Snapshot:
    """All objects of one kind at a revision.

    :param entries: revision and content of each object, by name.
    """

    revision: int = UNKNOWN_REVISION
    entries: dict[str, tuple[int, bytes]] = attrs.field(
        factory=dict, repr=False
    )

    def delta_since(self, revision: int) -> Delta:
        """Return the changes since an earlier revision."""
        changed = {
            name: entry
            for name, entry in self.entries.items()
            if entry[0] > revision
        }
        return Delta(self.revision, changed, list(self.entries))

    def apply(self, delta: Delta) -> 'Snapshot | None':
        """Return the snapshot after a delta.

        Returns ``None`` if the delta omits an object that this snapshot does
        not hold.
        """
        known = {**self.entries, **delta.entries}
        if not known.keys() >= set(delta.names):
            return None
        return Snapshot(
            delta.revision, {name: known[name] for name in delta.names}
        )


class SnapshotCache:
    """The newest snapshot of each kind of objects.

    :param snapshots: initial snapshots, by kind.
    """

    def __init__(self, snapshots: Mapping[str, Snapshot] | None = None) -> None:
        """Create a cache with the initial snapshots."""
        self.snapshots = dict(snapshots or {})

    def revisions(self) -> dict[str, int]:
        """Return the cached revision of each kind."""
        return {
            kind: snapshot.revision for kind, snapshot in self.snapshots.items()
        }

    def is_behind(self, revisions: Mapping[str, int]) -> bool:
        """Return whether another host's revisions include a newer one."""
        return any(
            revision > self.get(kind).revision
            for kind, revision in revisions.items()
        )

    def get(self, kind: str) -> Snapshot:
        """Return the snapshot of a kind, or an empty one."""
        return self.snapshots.get(kind) or Snapshot()

    def put(self, kind: str, snapshot: Snapshot) -> bool:
        """Store a snapshot unless a newer one is cached.

        :return: whether it was stored.
        """
        if snapshot.revision < self.get(kind).revision:
            return False
        self.snapshots[kind] = snapshot
        return True

    def deltas_since(self, revisions: Mapping[str, int]) -> dict[str, Delta]:
        """Return the deltas for a host that knows certain revisions."""
        return {
            kind: snapshot.delta_since(revisions.get(kind, UNKNOWN_REVISION))
            for kind, snapshot in self.snapshots.items()
            if snapshot.revision > revisions.get(kind, UNKNOWN_REVISION)
        }

    def merge(self, deltas: Mapping[str, Delta]) -> tuple[list[str], bool]:
        """Apply another host's deltas.

        :return: the kinds that were updated, and whether all deltas could be
            applied; otherwise full snapshots have to be requested.
        """
        updated_kinds = []
        is_complete = True
        for kind, delta in deltas.items():
            if delta.revision <= self.get(kind).revision:
                continue
            snapshot = self.get(kind).apply(delta)
            if snapshot is None:
                is_complete = False
            else:
                self.snapshots[kind] = snapshot
                updated_kinds.append(kind)
        return updated_kinds, is_complete
