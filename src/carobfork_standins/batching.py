"""Batching: continuous batching, simulated in real time.

All sequences of a batch advance by one token a step; a step takes longer
the more sequences there are. Prompts are prefilled in chunks between steps.
"""

import collections
import hashlib

import attrs
import gevent
from gevent import event

from carobfork import clock
from carobfork_standins import caches

_WORDS = ('linen', 'rail', 'hem', 'pier', 'ring', 'buoy', 'width', 'shore')
_TAIL_BYTES = 32


@attrs.frozen
class Pace:
    """How fast an engine is.

    :param linger_ms: how long a stream without a reader can be resumed.
    """

    step_ms: float = 4
    step_per_sequence_ms: float = 0.5
    prefill_tokens_per_ms: float = 20
    cache_blocks: int = 4000
    linger_ms: float = 15_000


@attrs.define(eq=False)
class Sequence:
    """One request in the batch.

    ``produced`` holds the answer's tokens so far, ``salt`` sets the answers
    of several attempts apart.
    """

    identifier: str
    owner: str
    prompt: bytes
    max_tokens: int
    salt: str = ''
    prefill_left: int = 0
    cached_tokens: int = 0
    produced: list[str] = attrs.Factory(list)
    cancelled: bool = False
    progress: event.Event = attrs.Factory(event.Event)

    @property
    def finished(self) -> bool:
        """Whether all tokens were produced."""
        return self.cancelled or len(self.produced) >= self.max_tokens

    def cancel(self) -> None:
        """End the sequence before its time."""
        self.cancelled = True
        self.progress.set()

    def produce(self) -> None:
        """Add one token."""
        tail = self.prompt[-_TAIL_BYTES:]
        seed = f'{self.salt}{len(self.produced)}'.encode() + tail
        word = _WORDS[hashlib.md5(seed).digest()[0] % len(_WORDS)]
        self.produced.append(f'{word} ')
        self.progress.set()

    def usage(self) -> dict:
        """Return the usage that a closing event reports."""
        blocks = caches.prompt_blocks(self.prompt)
        prompt_tokens = len(blocks) * caches.BLOCK_TOKENS
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': len(self.produced),
            'total_tokens': prompt_tokens + len(self.produced),
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }


class Batch:
    """Advance all sequences together.

    :param pace: how fast.
    """

    def __init__(self, pace: Pace) -> None:
        """Start without sequences."""
        self.cache = caches.PrefixCache(pace.cache_blocks)
        self.sequences: list[Sequence] = []
        self.prefilled_tokens = 0
        self.produced_tokens = 0
        self.billed: collections.Counter[str] = collections.Counter()
        """Tokens of prompts and answers by program, cached ones included."""
        self.stalled = False
        self._pace = pace
        self._arrived = event.Event()

    def add(self, sequence: Sequence) -> None:
        """Admit a sequence at once."""
        blocks = caches.prompt_blocks(sequence.prompt)
        cached = self.cache.lookup(blocks)
        self.billed[sequence.owner] += len(blocks) * caches.BLOCK_TOKENS
        sequence.cached_tokens = cached * caches.BLOCK_TOKENS
        sequence.prefill_left = (len(blocks) - cached) * caches.BLOCK_TOKENS
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
            if self.stalled or sequence.cancelled:
                continue
            if sequence.prefill_left:
                spent_ms += (
                    sequence.prefill_left / self._pace.prefill_tokens_per_ms
                )
                sequence.prefill_left = 0
            else:
                spent_ms += self._pace.step_per_sequence_ms
                sequence.produce()
                self.produced_tokens += 1
                self.billed[sequence.owner] += 1
        self.sequences = [
            sequence for sequence in self.sequences if not sequence.finished
        ]
        return spent_ms
