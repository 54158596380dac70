"""Prompt-prefix cache of the engine stand-in and the events about it.

A prompt is cut into whole blocks of ``BLOCK_CHARACTERS``. A block's hash is
the XXH3 64-bit hash of its UTF-8 text, seeded with the hash of the block
before it (0 for the first), so that it names the whole prefix.
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
    """What happened to a block."""

    STORED = 'stored'
    EVICTED = 'evicted'


@attrs.frozen(kw_only=True)
class CacheEvent:
    """A change of the cache; a missing sequence number is a lost event."""

    sequence: int
    action: CacheAction
    block_hash: int
    published_seconds: float  # monotonic


def block_hashes(prompt: str) -> list[int]:
    """Returns the hashes of the whole blocks of ``prompt`` in order."""
    hashes = []
    previous = 0
    whole_length = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(0, whole_length, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS]
        previous = xxhash.xxh3_64_intdigest(block.encode(), seed=previous)
        hashes.append(previous)
    return hashes


class PromptCache:
    """Blocks in order of their last use, within a limited memory."""

    def __init__(self, *, capacity_blocks: int) -> None:
        """Creates an empty cache."""
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=_HISTORY_LENGTH)
        self._sequence = 0

    def use(self, prompt: str) -> int:
        """Stores the blocks of ``prompt``; returns how many are computed.

        A block can be used only if all blocks before it are in the cache.
        """
        missing = 0
        for block_hash in block_hashes(prompt):
            known = block_hash in self._blocks
            missing += int(missing > 0 or not known)
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
            if not known:
                self._publish(CacheAction.STORED, block_hash)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(CacheAction.EVICTED, evicted)
        return missing

    def clear(self) -> None:
        """Evicts everything, as a restart does."""
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
        """Returns the visible events past the sequence number ``after``."""
        visible_until = time.monotonic() - lag_ms / _MS_PER_SECOND
        return [
            event
            for event in self._events
            if event.sequence > after
            and event.published_seconds <= visible_until
            and _drawn_percent(event) >= loss_percent
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


def _drawn_percent(event: CacheEvent) -> int:
    return xxhash.xxh3_64_intdigest(str(event.sequence).encode()) % _PERCENT
