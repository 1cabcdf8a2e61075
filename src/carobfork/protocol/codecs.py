"""Codecs: records as MessagePack, segments compressed with Zstandard."""

from collections.abc import Iterable

import msgpack
import zstandard
from cattrs import strategies
from cattrs.preconf import msgpack as preconf

from carobfork.state import records

_COMPRESSION_LEVEL = 3


class MsgpackRecordCodec:
    """Encode records as tagged MessagePack maps."""

    def __init__(self) -> None:
        """Build the converter once; it compiles a function a class."""
        self._converter = preconf.make_converter()
        strategies.configure_tagged_union(
            records.Record, self._converter, tag_name='type'
        )

    def encode(self, record: records.Record) -> bytes:
        """Return one record's bytes."""
        return msgpack.packb(
            self._converter.unstructure(record, unstructure_as=records.Record)
        )

    def decode(self, encoded: bytes) -> records.Record:
        """Return the record of its bytes."""
        return self._converter.structure(
            msgpack.unpackb(encoded), records.Record
        )

    def pack(self, encoded: Iterable[bytes]) -> bytes:
        """Return the compressed bytes of a segment."""
        compressor = zstandard.ZstdCompressor(level=_COMPRESSION_LEVEL)
        return compressor.compress(msgpack.packb(list(encoded)))

    def unpack(self, segment: bytes) -> list[records.Record]:
        """Return the records of a segment."""
        packed = zstandard.ZstdDecompressor().decompress(segment)
        return [self.decode(entry) for entry in msgpack.unpackb(packed)]
