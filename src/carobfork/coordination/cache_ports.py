"""Define the interface to the cache of model engines.

A worker is the backend server that runs an engine.
"""

from typing import Protocol

import attrs

from carobfork.state import bundles


@attrs.frozen
class Inventory:
    """What a model engine holds for each program.

    ``blocks`` counts the cached blocks, ``streams`` the streams in progress.
    """

    blocks: dict[str, int]
    streams: dict[str, int]

    @property
    def programs(self) -> set[str]:
        """Programs with cached blocks or streams."""
        return {*self.blocks, *self.streams}


class CacheBackend(Protocol):
    """Client of the cache of model engines.

    Each method raises ``ConnectionFailedError`` if the engine does not
    answer.
    """

    def inventory(self, worker: bundles.Worker) -> Inventory:
        """Return what an engine holds for each program."""

    def release(self, worker: bundles.Worker, program: str) -> None:
        """Cancel a program's streams and free its cached blocks."""
