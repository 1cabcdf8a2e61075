"""Return the memory of large messages to the system as soon as it is free.

By default, the allocator of the C library takes blocks up to a length that
grows to several MB from a heap. A crowd of large messages leaves it with gaps
that are of no use to the next ones, and the process grows.
"""

import contextlib
import functools
import importlib

MAPPED_BYTES = 262_144
"""Shortest block that is mapped by itself; shorter ones are reused well."""
_MMAP_THRESHOLD = -3
"""``M_MMAP_THRESHOLD`` of the GNU C library."""


@functools.cache
def map_large_blocks() -> None:
    """Map large blocks by themselves, if the C library can be told to.

    What this takes is loaded with the first large message.
    """
    with contextlib.suppress(ImportError, AttributeError, OSError):
        library = importlib.import_module('ctypes').CDLL(None)
        library.mallopt(_MMAP_THRESHOLD, MAPPED_BYTES)
