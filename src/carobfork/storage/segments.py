"""Segments: checksummed records appended to files of bounded size.

A process never appends to a file of an earlier one: after a power loss its
end may be torn, and whatever follows a torn record can't be framed.
"""

import os
import pathlib
import struct
import zlib
from collections.abc import Iterator

import attrs

SEGMENT_BYTES = 8_388_608
"""Small enough that a segment is dropped soon after its last turn expires."""
_HEADER = struct.Struct('>II')
_SUFFIX = '.records'


@attrs.frozen
class RecordLocation:
    """Where a record lies."""

    segment: int
    offset: int
    length: int


class Segments:
    """The record files of one directory.

    :param folder: the directory; it must exist.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Find the files that exist; records are appended to a new one."""
        self._folder = folder
        self._numbers = sorted(
            int(path.stem) for path in folder.glob(f'*{_SUFFIX}')
        )
        self._readers: dict[int, int] = {}
        self._writer: int | None = None
        self._size = 0

    @property
    def current(self) -> int:
        """The number of the file that is being written, 0 for none."""
        return self._numbers[-1] if self._numbers else 0

    def replay(self) -> Iterator[tuple[RecordLocation, bytes]]:
        """Yield the whole records of all files, oldest first."""
        for number in list(self._numbers):
            content = self._path(number).read_bytes()
            yield from _parse_records(number, content)

    def append(self, records: list[bytes]) -> list[RecordLocation]:
        """Write records and return their places; they are not synced yet.

        :raises OSError: the disk refused.
        """
        if self._writer is None or self._size > SEGMENT_BYTES:
            self._roll()
        locations = []
        pieces = []
        for record in records:
            header = _HEADER.pack(len(record), zlib.crc32(record))
            offset = self._size + _HEADER.size
            locations.append(RecordLocation(self.current, offset, len(record)))
            pieces.extend((header, record))
            self._size = offset + len(record)
        _write_all(self._writer, b''.join(pieces))
        return locations

    def sync(self) -> None:
        """Wait until all that was appended is on the disk."""
        os.fdatasync(self._writer)

    def read(self, location: RecordLocation) -> bytes:
        """Return a record."""
        descriptor = self._readers.get(location.segment)
        if descriptor is None:
            descriptor = os.open(self._path(location.segment), os.O_RDONLY)
            self._readers[location.segment] = descriptor
        return os.pread(descriptor, location.length, location.offset)

    def remove(self, number: int) -> None:
        """Remove a file that is not being written."""
        descriptor = self._readers.pop(number, None)
        if descriptor is not None:
            os.close(descriptor)
        self._numbers.remove(number)
        self._path(number).unlink()

    def close(self) -> None:
        """Close all files."""
        opened = list(self._readers.values())
        if self._writer is not None:
            opened.append(self._writer)
        for descriptor in opened:
            os.close(descriptor)
        self._readers.clear()
        self._writer = None

    def _roll(self) -> None:
        if self._writer is not None:
            os.fdatasync(self._writer)
            os.close(self._writer)
        self._numbers.append(self.current + 1)
        self._writer = os.open(
            self._path(self.current),
            os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND,
        )
        self._size = 0
        sync_folder(self._folder)

    def _path(self, number: int) -> pathlib.Path:
        return self._folder / f'{number:08d}{_SUFFIX}'


def sync_folder(folder: pathlib.Path) -> None:
    """Make the names of a directory permanent."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_file(path: pathlib.Path, content: bytes) -> None:
    """Replace a small file as a whole, permanently."""
    temporary = path.with_suffix('.new')
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    try:
        _write_all(descriptor, content)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    temporary.rename(path)
    sync_folder(path.parent)


def _write_all(descriptor: int, content: bytes) -> None:
    remaining = memoryview(content)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def _parse_records(
    number: int, content: bytes
) -> Iterator[tuple[RecordLocation, bytes]]:
    """Yield records up to the first that is torn."""
    offset = 0
    while len(content) - offset >= _HEADER.size:
        length, checksum = _HEADER.unpack_from(content, offset)
        begin = offset + _HEADER.size
        record = content[begin : begin + length]
        if len(record) < length or zlib.crc32(record) != checksum:
            return
        yield RecordLocation(number, begin, length), record
        offset = begin + length
