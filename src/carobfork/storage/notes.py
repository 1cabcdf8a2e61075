"""Notes: what the platform told last, passed on between hosts.

Hosts tell each other what has changed since the revision that the asker
knows, since a listing of all backend servers is large and changes often.
"""

from collections.abc import Mapping

import attrs

UNKNOWN_REVISION = -1


@attrs.frozen
class Change:
    """What has changed of one kind of objects.

    :param revision: the state that it leads to.
    :param entries: revision and content of changed objects, by name.
    :param names: all objects that are present.
    """

    revision: int
    entries: dict[str, tuple[int, bytes]]
    names: list[str]


@attrs.frozen
class Note:
    """All objects of one kind at a revision.

    :param entries: revision and content of each object, by name.
    """

    revision: int = UNKNOWN_REVISION
    entries: dict[str, tuple[int, bytes]] = attrs.Factory(dict)

    def since(self, revision: int) -> Change:
        """Return what a host lacks that knows an earlier revision."""
        changed = {
            name: entry
            for name, entry in self.entries.items()
            if entry[0] > revision
        }
        return Change(self.revision, changed, list(self.entries))

    def apply(self, change: Change) -> 'Note | None':
        """Return the note after a change.

        Nothing, where the change leaves out an object that is not known here.
        """
        known = {**self.entries, **change.entries}
        if not known.keys() >= set(change.names):
            return None
        return Note(
            change.revision, {name: known[name] for name in change.names}
        )


class Notebook:
    """The newest note of each kind.

    :param notes: what was known before, by kind.
    """

    def __init__(self, notes: Mapping[str, Note] | None = None) -> None:
        """Start with what was known before."""
        self.notes = dict(notes or {})

    def revisions(self) -> dict[str, int]:
        """Return the known revision of each kind."""
        return {kind: note.revision for kind, note in self.notes.items()}

    def is_behind(self, revisions: Mapping[str, int]) -> bool:
        """Tell whether another host knows more."""
        return any(
            revision > self.get(kind).revision
            for kind, revision in revisions.items()
        )

    def get(self, kind: str) -> Note:
        """Return the note of a kind, an empty one where none is known."""
        return self.notes.get(kind) or Note()

    def put(self, kind: str, note: Note) -> bool:
        """Keep a note unless a newer one is known; tell whether it is kept."""
        if note.revision < self.get(kind).revision:
            return False
        self.notes[kind] = note
        return True

    def since(self, revisions: Mapping[str, int]) -> dict[str, Change]:
        """Return what a host lacks that knows certain revisions."""
        return {
            kind: note.since(revisions.get(kind, UNKNOWN_REVISION))
            for kind, note in self.notes.items()
            if note.revision > revisions.get(kind, UNKNOWN_REVISION)
        }

    def merge(self, changes: Mapping[str, Change]) -> tuple[list[str], bool]:
        """Take what another host told.

        :return: the kinds that are newer now, and whether all of it could be
            taken; otherwise the host must be asked for everything.
        """
        renewed = []
        is_whole = True
        for kind, change in changes.items():
            if change.revision <= self.get(kind).revision:
                continue
            note = self.get(kind).apply(change)
            if note is None:
                is_whole = False
            else:
                self.notes[kind] = note
                renewed.append(kind)
        return renewed, is_whole
