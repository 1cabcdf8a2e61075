"""Caches: an engine's prefix cache, who holds its blocks, and its events."""

import collections
import hashlib

import attrs

BLOCK_BYTES = 64
BLOCK_TOKENS = 16
EVENT_LIMIT = 10_000
_MS_PER_SECOND = 1000


@attrs.frozen
class CacheEvent:
    """A change of what a program holds, numbered without gaps at the source.

    ``blocks`` is how many blocks the program holds after the change.
    """

    number: int
    program: str
    blocks: int
    at_ms: float


class PrefixCache:
    """Keep the most recently used prompt blocks and who holds them.

    :param capacity: most blocks held.
    """

    def __init__(self, capacity: int) -> None:
        """Start empty."""
        self.held: collections.Counter[str] = collections.Counter()
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=EVENT_LIMIT
        )
        self.now_ms = 0
        self._owners: collections.OrderedDict[bytes, set[str]] = (
            collections.OrderedDict()
        )
        self._capacity = capacity
        self._event_count = 0

    def __len__(self) -> int:
        """Return how many blocks are held."""
        return len(self._owners)

    def lookup(self, blocks: list[bytes]) -> int:
        """Return how many leading blocks are held, and mark them used."""
        count = 0
        for block in blocks:
            if block not in self._owners:
                break
            self._owners.move_to_end(block)
            count += 1
        return count

    def insert(self, blocks: list[bytes], owner: str) -> None:
        """Hold blocks for an owner, dropping the least recently used."""
        for block in blocks:
            owners = self._owners.setdefault(block, set())
            self.held[owner] += owner not in owners
            owners.add(owner)
            self._owners.move_to_end(block)
        while len(self._owners) > self._capacity:
            self._drop_oldest()
        self._publish(owner)

    def release(self, owner: str) -> int:
        """Drop an owner's blocks and return how many there were."""
        for block in self.blocks_of(owner):
            self._owners[block].discard(owner)
            if not self._owners[block]:
                self._owners.pop(block)
        released = self.held.pop(owner, 0)
        self._publish(owner)
        return released

    def blocks_of(self, owner: str) -> list[bytes]:
        """Return the blocks that an owner holds."""
        return [key for key, owners in self._owners.items() if owner in owners]

    def _drop_oldest(self) -> None:
        _, owners = self._owners.popitem(last=False)
        for owner in owners:
            self.held[owner] -= 1
            if not self.held[owner]:
                self.held.pop(owner)

    def _publish(self, owner: str) -> None:
        self._event_count += 1
        self.events.append(
            CacheEvent(
                number=self._event_count,
                program=owner,
                blocks=self.held.get(owner, 0),
                at_ms=self.now_ms,
            )
        )


class WasteMeter:
    """Add up the block-seconds held for programs that are gone.

    :param cache: the cache to watch.
    """

    def __init__(self, cache: PrefixCache) -> None:
        """Start with no program gone."""
        self.block_seconds = 0
        self.gone: set[str] = set()
        self._cache = cache

    def add_span(self, span_ms: float) -> None:
        """Count what was held for the last ``span_ms``."""
        blocks = sum(self._cache.held.get(program, 0) for program in self.gone)
        self.block_seconds += blocks * span_ms / _MS_PER_SECOND


def prompt_blocks(prompt: bytes) -> list[bytes]:
    """Return the chained digests of a prompt's whole blocks."""
    digests = []
    digest = b''
    whole = len(prompt) - len(prompt) % BLOCK_BYTES
    for start in range(0, whole, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        digest = hashlib.md5(digest + block).digest()
        digests.append(digest)
    return digests
