"""Prompt-prefix cache of the engine stand-in and its change events.

A prompt is split into blocks of ``BLOCK_CHARACTERS``; an incomplete last block
is ignored. The hash of a block is the XXH3 64-bit hash of its UTF-8 text,
seeded with the hash of the block before it (0 for the first), so that it
identifies the whole prefix.
"""

import enum
import time
from collections import OrderedDict, deque

import attrs
import xxhash

BLOCK_CHARACTERS = 64
_HISTORY_LENGTH = 4096
_PERCENT = 100
_MS_PER_SECOND = 1000


@enum.unique
class CacheAction(enum.StrEnum):
    """Change of a block in the cache."""

    STORED = 'stored'
    EVICTED = 'evicted'


@attrs.frozen(kw_only=True)
class CacheEvent:
    """Change of the cache; a gap in the sequence is a lost event."""

    sequence: int
    action: CacheAction
    block_hash: int
    published_seconds: float  # on the monotonic clock


def block_hashes(prompt: str) -> list[int]:
    """Returns the hashes of the complete blocks of ``prompt`` in order."""
    hashes = []
    previous = 0
    whole_length = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(0, whole_length, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS]
        previous = xxhash.xxh3_64_intdigest(block.encode(), seed=previous)
        hashes.append(previous)
    return hashes


class PromptCache:
    """LRU cache of prompt blocks with a limited capacity."""

    def __init__(self, *, capacity_blocks: int) -> None:
        """Creates an empty cache of up to ``capacity_blocks`` blocks."""
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=_HISTORY_LENGTH)
        self._sequence = 0

    def use(self, prompt: str) -> int:
        """Stores the blocks of ``prompt``; returns the number of misses.

        A block hits only if all blocks before it hit as well.
        """
        missing = 0
        for block_hash in block_hashes(prompt):
            is_cached = block_hash in self._blocks
            missing += int(missing > 0 or not is_cached)
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
            if not is_cached:
                self._publish(CacheAction.STORED, block_hash)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(CacheAction.EVICTED, evicted)
        return missing

    def clear(self) -> None:
        """Evicts all blocks, as a restart does."""
        for block_hash in self._blocks:
            self._publish(CacheAction.EVICTED, block_hash)
        self._blocks.clear()

    def events(
        self,
        *,
        after: int,
        lag_ms: int,
        loss_percent: int,
    ) -> list[CacheEvent]:
        """Returns the events with a sequence number above ``after``.

        Leaves out events younger than ``lag_ms`` and a fixed selection of
        ``loss_percent`` of all events.
        """
        visible_until = time.monotonic() - lag_ms / _MS_PER_SECOND
        return [
            event
            for event in self._events
            if event.sequence > after
            and event.published_seconds <= visible_until
            and _loss_percentile(event) >= loss_percent
        ]

    def _publish(self, action: CacheAction, block_hash: int) -> None:
        self._sequence += 1
        self._events.append(
            CacheEvent(
                sequence=self._sequence,
                action=action,
                block_hash=block_hash,
                published_seconds=time.monotonic(),
            ),
        )


def _loss_percentile(event: CacheEvent) -> int:
    return xxhash.xxh3_64_intdigest(str(event.sequence).encode()) % _PERCENT
