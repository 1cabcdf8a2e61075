"""Append checksummed records to files of bounded size.

A process never appends to a file of an earlier process. After a power loss
the end of that file may be torn, and records after a torn one can't be read.
"""

import os
import pathlib
import struct
import zlib
from collections.abc import Iterator

import attrs

SEGMENT_BYTES = 8_388_608
"""Size at which a new segment starts; small enough that a segment can be
removed soon after its last turn expires."""
_HEADER = struct.Struct('>II')
_SUFFIX = '.records'


@attrs.frozen
class RecordLocation:
    """The location of a record in a segment."""

    segment: int
    offset: int
    length: int


class Segments:
    """The segment files of one directory.

    :param folder: the directory; it must exist.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Find the existing files; records will be appended to a new one."""
        self._folder = folder
        self._numbers = sorted(
            int(path.stem) for path in folder.glob(f'*{_SUFFIX}')
        )
        self._readers: dict[int, int] = {}
        self._writer: int | None = None
        self._size = 0

    @property
    def current(self) -> int:
        """The number of the newest file, 0 if there is none."""
        return self._numbers[-1] if self._numbers else 0

    def replay(self) -> Iterator[tuple[RecordLocation, bytes]]:
        """Yield the intact records of all files, oldest first."""
        for number in list(self._numbers):
            content = self._path(number).read_bytes()
            yield from _parse_records(number, content)

    def append(self, records: list[bytes]) -> list[RecordLocation]:
        """Write records without a sync and return their locations.

        :raises OSError: if the write fails.
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
        """Wait until all appended records are on the disk."""
        os.fdatasync(self._writer)

    def read(self, location: RecordLocation) -> bytes:
        """Return the bytes of a record."""
        descriptor = self._readers.get(location.segment)
        if descriptor is None:
            descriptor = os.open(self._path(location.segment), os.O_RDONLY)
            self._readers[location.segment] = descriptor
        return os.pread(descriptor, location.length, location.offset)

    def remove(self, number: int) -> None:
        """Remove a file; it must not be the one being written."""
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
    """Make the entries of a directory durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_file(path: pathlib.Path, content: bytes) -> None:
    """Replace a small file atomically and durably."""
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
    """Yield records up to the first torn one."""
    offset = 0
    while len(content) - offset >= _HEADER.size:
        length, checksum = _HEADER.unpack_from(content, offset)
        begin = offset + _HEADER.size
        record = content[begin : begin + length]
        if len(record) < length or zlib.crc32(record) != checksum:
            return
        yield RecordLocation(number, begin, length), record
        offset = begin + length
