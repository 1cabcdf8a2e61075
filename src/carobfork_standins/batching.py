"""Batching: continuous batching and a prefix cache, simulated in real time.

All sequences of a batch advance by one token a step; a step takes longer
the more sequences there are. Prompts are prefilled in chunks between steps.
"""

import collections
import hashlib

import attrs
import gevent
from gevent import event

from carobfork import clock

BLOCK_BYTES = 64
BLOCK_TOKENS = 16
_WORDS = ('linen', 'rail', 'hem', 'pier', 'ring', 'buoy', 'width', 'shore')


@attrs.frozen
class Pace:
    """How fast an engine is."""

    step_ms: float = 4
    step_per_sequence_ms: float = 0.5
    prefill_tokens_per_ms: float = 20
    cache_blocks: int = 4000


class PrefixCache:
    """Keep the most recently used prompt blocks.

    :param capacity: most blocks held.
    """

    def __init__(self, capacity: int) -> None:
        """Start empty."""
        self.owners: collections.OrderedDict[bytes, str] = (
            collections.OrderedDict()
        )
        self._capacity = capacity

    def lookup(self, blocks: list[bytes]) -> int:
        """Return how many leading blocks are held, and mark them used."""
        count = 0
        for block in blocks:
            if block not in self.owners:
                break
            self.owners.move_to_end(block)
            count += 1
        return count

    def insert(self, blocks: list[bytes], owner: str) -> None:
        """Hold blocks for an owner, dropping the least recently used."""
        for block in blocks:
            self.owners[block] = owner
            self.owners.move_to_end(block)
        while len(self.owners) > self._capacity:
            self.owners.popitem(last=False)

    def release(self, owner: str) -> int:
        """Drop an owner's blocks and return how many there were."""
        released = [key for key, held in self.owners.items() if held == owner]
        for block in released:
            self.owners.pop(block)
        return len(released)


@attrs.define(eq=False)
class Sequence:
    """One request in the batch.

    ``produced`` holds the answer's tokens so far.
    """

    identifier: str
    owner: str
    prompt: bytes
    max_tokens: int
    prefill_left: int = 0
    cached_tokens: int = 0
    produced: list[str] = attrs.Factory(list)
    cancelled: bool = False
    progress: event.Event = attrs.Factory(event.Event)

    @property
    def finished(self) -> bool:
        """Whether all tokens were produced."""
        return self.cancelled or len(self.produced) >= self.max_tokens


class Batch:
    """Advance all sequences together.

    :param pace: how fast.
    """

    def __init__(self, pace: Pace) -> None:
        """Start without sequences."""
        self.cache = PrefixCache(pace.cache_blocks)
        self.sequences: list[Sequence] = []
        self.prefilled_tokens = 0
        self.produced_tokens = 0
        self._pace = pace
        self._arrived = event.Event()

    def add(self, sequence: Sequence) -> None:
        """Admit a sequence at once."""
        blocks = prompt_blocks(sequence.prompt)
        cached = self.cache.lookup(blocks)
        sequence.cached_tokens = cached * BLOCK_TOKENS
        sequence.prefill_left = (len(blocks) - cached) * BLOCK_TOKENS
        self.prefilled_tokens += sequence.prefill_left
        self.cache.insert(blocks, sequence.owner)
        self.sequences.append(sequence)
        self._arrived.set()

    def run(self) -> None:
        """Advance the batch until the greenlet is killed."""
        while True:
            if not self.sequences:
                self._arrived.clear()
                self._arrived.wait()
            gevent.sleep(clock.to_seconds(self._step()))

    def _step(self) -> float:
        """Advance all sequences by one token; return the time it takes."""
        spent_ms = self._pace.step_ms
        for sequence in self.sequences:
            if sequence.prefill_left:
                spent_ms += (
                    sequence.prefill_left / self._pace.prefill_tokens_per_ms
                )
                sequence.prefill_left = 0
            else:
                spent_ms += self._pace.step_per_sequence_ms
                self._produce(sequence)
        self.sequences = [
            sequence for sequence in self.sequences if not sequence.finished
        ]
        return spent_ms

    def _produce(self, sequence: Sequence) -> None:
        seed = f'{len(sequence.produced)}'.encode() + sequence.prompt[-32:]
        word = _WORDS[hashlib.md5(seed).digest()[0] % len(_WORDS)]
        sequence.produced.append(f'{word} ')
        self.produced_tokens += 1
        sequence.progress.set()


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
