"""Notes: what the platform told last, passed on between hosts.

Hosts tell each other what has changed since the revision that the asker
knows, since a listing of all backend servers is large and changes often.
"""

from collections.abc import Mapping

import attrs

UNKNOWN_REVISION = -1


@attrs.frozen
class Delta:
    """What has changed of one kind of objects.

    :param revision: the state that it leads to.
    :param entries: revision and content of changed objects, by name.
    :param names: all objects that are present.
    """

    revision: int
    entries: dict[str, tuple[int, bytes]]
    names: list[str]


@attrs.frozen
class Snapshot:
    """All objects of one kind at a revision.

    :param entries: revision and content of each object, by name.
    """

    revision: int = UNKNOWN_REVISION
    entries: dict[str, tuple[int, bytes]] = attrs.Factory(dict)

    def delta_since(self, revision: int) -> Delta:
        """Return what a host lacks that knows an earlier revision."""
        changed = {
            name: entry
            for name, entry in self.entries.items()
            if entry[0] > revision
        }
        return Delta(self.revision, changed, list(self.entries))

    def apply(self, delta: Delta) -> 'Snapshot | None':
        """Return the note after a change.

        Nothing, where the change leaves out an object that is not known here.
        """
        known = {**self.entries, **delta.entries}
        if not known.keys() >= set(delta.names):
            return None
        return Snapshot(
            delta.revision, {name: known[name] for name in delta.names}
        )


class SnapshotCache:
    """The newest note of each kind.

    :param notes: what was known before, by kind.
    """

    def __init__(self, snapshots: Mapping[str, Snapshot] | None = None) -> None:
        """Start with what was known before."""
        self.snapshots = dict(snapshots or {})

    def revisions(self) -> dict[str, int]:
        """Return the known revision of each kind."""
        return {
            kind: snapshot.revision for kind, snapshot in self.snapshots.items()
        }

    def is_behind(self, revisions: Mapping[str, int]) -> bool:
        """Tell whether another host knows more."""
        return any(
            revision > self.get(kind).revision
            for kind, revision in revisions.items()
        )

    def get(self, kind: str) -> Snapshot:
        """Return the note of a kind, an empty one where none is known."""
        return self.snapshots.get(kind) or Snapshot()

    def put(self, kind: str, snapshot: Snapshot) -> bool:
        """Keep a note unless a newer one is known; tell whether it is kept."""
        if snapshot.revision < self.get(kind).revision:
            return False
        self.snapshots[kind] = snapshot
        return True

    def deltas_since(self, revisions: Mapping[str, int]) -> dict[str, Delta]:
        """Return what a host lacks that knows certain revisions."""
        return {
            kind: snapshot.delta_since(revisions.get(kind, UNKNOWN_REVISION))
            for kind, snapshot in self.snapshots.items()
            if snapshot.revision > revisions.get(kind, UNKNOWN_REVISION)
        }

    def merge(self, deltas: Mapping[str, Delta]) -> tuple[list[str], bool]:
        """Take what another host told.

        :return: the kinds that are newer now, and whether all of it could be
            taken; otherwise the host must be asked for everything.
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
