"""Write compacted records to chunks below the platform's object size limit."""

from collections.abc import Callable, Container

import attrs

from carobfork.coordination import journals, ports
from carobfork.state import programs, records, spending

_MIN_LIVE_RATIO = 0.5
"""A chunk is kept if live records fill more than this ratio of its limit."""


@attrs.define
class ChunkSummary:
    """Holds the encoded size of each program's records in a chunk."""

    program_bytes: dict[str, int] = attrs.Factory(dict)

    def add(self, program: str, size: int) -> None:
        """Count a record.

        :param size: encoded size in bytes.
        """
        self.program_bytes[program] = self.program_bytes.get(program, 0) + size

    def is_worth_keeping(self, live: Container[str]) -> bool:
        """Return whether records of live programs fill enough of the chunk."""
        live_bytes = sum(
            size
            for program, size in self.program_bytes.items()
            if program in live
        )
        return live_bytes > _MIN_LIVE_RATIO * journals.MAX_SEGMENT_BYTES


class ChunkWriter:
    """Writes records to chunks in order.

    :param store: the platform's object API.
    :param codec: encodes the records.
    :param new_key: returns an unused key.
    :param written: receives a summary of each new chunk, by key.
    """

    def __init__(
        self,
        store: ports.ObjectStore,
        codec: ports.RecordCodec,
        new_key: Callable[[], str],
        written: dict[str, ChunkSummary],
    ) -> None:
        """Initialize the writer without chunks."""
        self._store = store
        self._codec = codec
        self._new_key = new_key
        self._written = written
        self._keys: list[str] = []
        self._encoded: list[bytes] = []
        self._size = 0
        self._summary = ChunkSummary()

    def add_existing(self, key: str) -> None:
        """Include an existing chunk unchanged."""
        self._flush()
        self._keys.append(key)

    def add(self, record: records.Record) -> None:
        """Add a record to the current chunk."""
        encoded = self._codec.encode(record)
        if self._size + len(encoded) > journals.MAX_SEGMENT_BYTES:
            self._flush()
        self._encoded.append(encoded)
        self._size += len(encoded)
        self._summary.add(getattr(record, 'program', ''), len(encoded))

    def close(self) -> list[str]:
        """Write the last chunk and return the keys of all chunks in order."""
        self._flush()
        return self._keys

    def _flush(self) -> None:
        if not self._encoded:
            return
        key = self._new_key()
        self._written[key] = self._summary
        self._store.update(key, self._codec.pack(self._encoded), 0)
        self._keys.append(key)
        self._encoded = []
        self._size = 0
        self._summary = ChunkSummary()


def is_live(record: records.Record, table: programs.ProgramTable) -> bool:
    """Return whether a record is needed to restore the programs of a table."""
    if isinstance(record, records.JOURNAL_RECORDS):
        return False
    return _is_relevant(record, table)


def _is_relevant(record: records.Record, table: programs.ProgramTable) -> bool:
    if isinstance(record, records.Adopted):
        return record.incarnation in table.incarnations()
    if isinstance(record, spending.TimeSpent):
        return table.is_latest_time(record)
    name = getattr(record, 'program', '')
    if not name:
        return True
    program = table.programs.get(name)
    return program is not None and _is_relevant_to_program(program, record)


def _is_relevant_to_program(
    program: programs.Program, record: records.Record
) -> bool:
    if isinstance(record, spending.CallDispatched):
        return program.is_dispatched(record)
    if isinstance(record, (records.IntentRecorded, records.IntentWithdrawn)):
        call = program.calls.get(record.key)
        return call is not None and call.answer is None
    return True
