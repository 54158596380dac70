"""Index of the runners that cache each prompt prefix.

Prefixes are whole blocks of the prompt. Cache events arrive late and some are
lost. The index therefore also assumes that a runner caches the prefixes of
requests sent to it, entries expire, and after a gap in a runner's events its
older entries expire sooner.
"""

import enum
from collections.abc import Iterable, Iterator
from typing import TypeVar

import attrs
import xxhash

BLOCK_CHARACTERS = 64
_BLOCK_LIMIT = 64
_RUNNERS_PER_PREFIX = 4
_ENTRY_LIMIT = 200_000
_ENTRY_LIFETIME_MS = 120_000
_LIFETIME_AFTER_GAP_MS = 15_000
_REFRESH_INTERVAL_MS = 5000
_TextT = TypeVar('_TextT', str, bytes)


@enum.unique
class CacheAction(enum.StrEnum):
    """Type of a change to a cached block."""

    STORED = 'stored'
    EVICTED = 'evicted'


@attrs.frozen(kw_only=True)
class CacheEvent:
    """A change to an engine's prefix cache."""

    sequence: int  # increases by one per event; a gap means lost events
    action: CacheAction
    block_hash: int  # as computed by ``prefix_hashes``


def prefix_hashes(prompt: str) -> list[int]:
    """Returns the hashes of all whole-block prefixes, the shortest first.

    Each block's hash is seeded with the previous hash, as engines do it, so
    it identifies the whole prefix. Only the first ``_BLOCK_LIMIT`` blocks are
    hashed.
    """
    start = prompt[: BLOCK_CHARACTERS * _BLOCK_LIMIT]
    if start.isascii():
        return _chained(_blocks(start.encode()))
    return _chained(block.encode() for block in _blocks(start))


def _blocks(text: _TextT) -> Iterator[_TextT]:
    for end in range(BLOCK_CHARACTERS, len(text) + 1, BLOCK_CHARACTERS):
        yield text[end - BLOCK_CHARACTERS : end]


def _chained(blocks: Iterable[bytes]) -> list[int]:
    hashes = []
    previous = 0
    for block in blocks:
        previous = xxhash.xxh3_64_intdigest(block, previous)
        hashes.append(previous)
    return hashes


class PrefixIndex:
    """Bounded index of runners by prefix hash, with expiry."""

    def __init__(self) -> None:
        """Creates an empty index."""
        self.gap_count = 0
        self._entries: dict[int, dict[str, int]] = {}
        self._sequences: dict[str, int] = {}
        self._last_gap_ms: dict[str, int] = {}

    def __len__(self) -> int:
        """Number of indexed prefixes."""
        return len(self._entries)

    def last_sequence(self, runner: str) -> int:
        """Returns the last applied sequence of a runner; 0 if there is none."""
        return self._sequences.get(runner, 0)

    def add_assumed(self, runner: str, hashes: list[int], now_ms: int) -> None:
        """Assumes that a runner caches the prefixes of a request sent to it."""
        fresh_ms = now_ms - _REFRESH_INTERVAL_MS
        for prefix_hash in hashes:
            stored_ms = self._entries.get(prefix_hash, {}).get(runner)
            if stored_ms is None or stored_ms <= fresh_ms:
                self._store(runner, prefix_hash, now_ms)

    def apply_event(self, runner: str, event: CacheEvent, now_ms: int) -> None:
        """Applies a cache event.

        Events of a runner must arrive in order; gaps are detected.
        """
        if event.sequence != self.last_sequence(runner) + 1:
            self._last_gap_ms[runner] = now_ms
            self.gap_count += 1
        self._sequences[runner] = event.sequence
        if event.action is CacheAction.STORED:
            self._store(runner, event.block_hash, now_ms)
        else:
            self._entries.get(event.block_hash, {}).pop(runner, None)

    def runners_of(self, prefix_hash: int, now_ms: int) -> list[str]:
        """Returns runners that likely cache a prefix, the latest first."""
        runners = self._entries.get(prefix_hash)
        if not runners:
            return []
        return [
            runner
            for runner, stored_ms in reversed(runners.items())
            if now_ms - stored_ms < self._lifetime_ms(runner, stored_ms)
        ]

    def _store(self, runner: str, prefix_hash: int, now_ms: int) -> None:
        runners = self._entries.get(prefix_hash)
        if runners is None:
            if len(self._entries) >= _ENTRY_LIMIT:
                self._entries.pop(next(iter(self._entries)))
            runners = {}
            self._entries[prefix_hash] = runners
        runners.pop(runner, None)
        runners[runner] = now_ms
        if len(runners) > _RUNNERS_PER_PREFIX:
            runners.pop(next(iter(runners)))

    def _lifetime_ms(self, runner: str, stored_ms: int) -> int:
        if stored_ms < self._last_gap_ms.get(runner, 0):
            return _LIFETIME_AFTER_GAP_MS
        return _ENTRY_LIFETIME_MS
