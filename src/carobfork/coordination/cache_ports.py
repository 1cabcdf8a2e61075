"""Interfaces to the cache of model engines."""

from typing import Protocol

import attrs

from carobfork.state import bundles


@attrs.frozen
class Inventory:
    """What a model engine holds for each program.

    ``blocks`` counts cached blocks, ``streams`` the streams under way.
    """

    blocks: dict[str, int]
    streams: dict[str, int]

    @property
    def programs(self) -> set[str]:
        """The programs for which anything is held."""
        return {*self.blocks, *self.streams}


class CacheBackend(Protocol):
    """The cache of model engines.

    Each method raises ``ConnectionFailedError`` without an answer.
    """

    def inventory(self, worker: bundles.Worker) -> Inventory:
        """Return what an engine holds."""

    def release(self, worker: bundles.Worker, program: str) -> None:
        """Cancel a program's streams and drop its cached blocks."""
