"""Send the records of one disk to members that copy them, page by page."""

from carobfork.storage import (
    catch_up_messages,
    chain_messages,
    disks,
    messages,
)

PAGE_BYTES = 262_144
"""Size at which a page of records is sent; a page takes a few milliseconds on
the slowest link of a store host."""


class RecordSource:
    """The records of one disk.

    :param disk: stores the records.
    """

    def __init__(self, disk: disks.Disk) -> None:
        """Create a source without a listing."""
        self._disk = disk
        self._listed_entries: list = []
        self._listing_number = 0

    def fetch(self, message: messages.Fetch) -> messages.Records | None:
        """Return one page of all records.

        A new listing replaces the one before; ``None`` is returned for a page
        of an older listing.
        """
        if not message.listing:
            self._listed_entries = list(self._disk.index.dump())
            self._listing_number += 1
        elif message.listing != self._listing_number:
            return None
        page: list[bytes] = []
        size = 0
        position = message.place
        while position < len(self._listed_entries) and size < PAGE_BYTES:
            page.append(self._disk.read(self._listed_entries[position]))
            size += len(page[-1])
            position += 1
        next_position = 0 if position >= len(self._listed_entries) else position
        return messages.Records(
            page, next_position, self._listing_number, self._is_complete
        )

    def list_changes(
        self, message: catch_up_messages.ListChanges
    ) -> catch_up_messages.Changes:
        """Return the attempts that have changed since the last request."""
        index = self._disk.index
        known = message.number if message.log == index.changes.log else 0
        attempts, number = index.changes.list_since(known)
        forms = {attempt: index.form(attempt) for attempt in attempts}
        return catch_up_messages.Changes(
            index.changes.log, number, forms, self._is_complete
        )

    def read_records(
        self, message: catch_up_messages.ReadRecords
    ) -> messages.Records:
        """Return the records of as many attempts as fit a page."""
        page: list[bytes] = []
        size = 0
        count = 0
        for attempt in message.attempts[: catch_up_messages.MAX_ATTEMPTS]:
            if size >= PAGE_BYTES:
                break
            found = [
                self._disk.read(entry)
                for entry in self._disk.index.find_records(attempt)
            ]
            page.extend(found)
            size += sum(map(len, found))
            count += 1
        return messages.Records(page, count, 0, self._is_complete)

    def read_turns(
        self, message: chain_messages.ReadTurns
    ) -> chain_messages.TurnBytes:
        """Return parts of turns."""
        return self._disk.index.turns.handle_read(message)

    @property
    def _is_complete(self) -> bool:
        return self._disk.identity.is_complete
