"""Selection of the counts that a VM sends next, within a size."""

import itertools
import uuid
from collections.abc import Iterable

import attrs

from teaseldale.routing._backlog_choice import BacklogChoice
from teaseldale.routing._pace_messages import encode_observations
from teaseldale.routing._placement_messages import (
    PlacementDelta,
    encode_delta,
    runner_code,
)

# A delta is sent after this time even if nothing has changed.
HEARTBEAT_MS = 1000
# Counts that have not changed are sent again after this time, so that one lost
# datagram does not let them expire.
_RESEND_MS = 900
# After this time they are sent before changed ones: they expire soon.
_OVERDUE_MS = 2000
# The end of the work at a runner is sent again this often, in case it is lost.
_END_REPEATS = 2
_END_REPEAT_MS = 250
# Weight of a request in a change, in prompt tokens.
_REQUEST_TOKENS = 1000
# Parts of prompts that were sent lately are not sent again with each request.
_PART_INTERVAL_MS = 4000
_MAX_PENDING_PARTS = 200
_MAX_SENT_PARTS = 4000
_PARTS_SHARE = 0.5  # of a delta, at most, while counts are left out
# Observed paces are sent at this interval, in what the counts have left of a
# delta and at most this share of it, so that they hardly delay later counts.
_PACES_INTERVAL_MS = 250
_PACES_SHARE = 0.33
_PACES_OVERHEAD_BYTES = 3
# A runner's leaving is sent again after this time, doubled with each sending.
_LEAVING_INTERVAL_MS = 100
_LEAVING_DOUBLINGS = 5
_MAX_LEAVING = 20  # newest leaving runners
# Encoded size of everything but the elements, without the name of the VM.
_FRAME_BYTES = 27
_CODE_BYTES = 5
# Ids of processes have 16 bits, the first of them set, so that no id is 0 and
# all have the same encoded size.
_PROCESS_ID_SHIFT_BITS = 112
_PROCESS_ID_FIRST_BIT = 1 << 15
_TEXT_OVERHEAD_BYTES = 3
# Encoded size of an integer by the number of its bits.
_MSGPACK_SIZES = ((7, 1), (8, 2), (16, 3), (32, 5))
_MSGPACK_MAX_SIZE = 9

_Part = tuple[str, str]  # runner and part id


@attrs.define(kw_only=True)
class _SentCounts:
    counts: tuple[int, int]  # running requests and unread tokens
    sent_ms: int
    left_repeats: int = _END_REPEATS


@attrs.frozen(kw_only=True)
class _DueCounts:
    runner: str
    counts: tuple[int, int]
    order: tuple[int, int]
    is_changed: bool

    @property
    def size_bytes(self) -> int:
        return 1 + _CODE_BYTES + sum(map(_encoded_bytes, self.counts))


@attrs.define(kw_only=True)
class _SentLeaving:
    sent_ms: int
    sent_count: int = 1


class PlacementDeltas:
    """Encodes deltas of a VM's own placements."""

    def __init__(self, *, vm_name: str, choice: BacklogChoice) -> None:
        """Reads the counts and the new prompt parts of ``choice``."""
        self._vm_name = vm_name
        self._choice = choice
        # Tells this process from earlier ones of the VM, whose counts end with
        # them.
        random_id = uuid.uuid4().int >> _PROCESS_ID_SHIFT_BITS
        self._process_id = random_id | _PROCESS_ID_FIRST_BIT
        self._numbers = itertools.count()
        self._sent: dict[str, _SentCounts] = {}
        self._sent_ms: int | None = None
        self._pending_parts: dict[_Part, None] = {}
        self._sent_parts: dict[_Part, int] = {}
        self._leaving: dict[str, _SentLeaving] = {}
        self._paces_ms: int | None = None  # when paces were sent
        self.has_unsent = False  # whether changes did not fit the last delta

    def add_parts(self, parts: Iterable[_Part], now_ms: int) -> None:
        """Adds prompt parts that were placed, unless sent a short time ago."""
        for part in parts:
            sent_ms = self._sent_parts.get(part)
            if sent_ms is None or now_ms - sent_ms >= _PART_INTERVAL_MS:
                self._pending_parts.pop(part, None)
                self._pending_parts[part] = None
        while len(self._pending_parts) > _MAX_PENDING_PARTS:
            self._pending_parts.pop(next(iter(self._pending_parts)))

    def resend_counts(self, now_ms: int) -> None:
        """Makes all counts due, as another VM does not know them."""
        self._sent_ms = None
        for sent in self._sent.values():
            if sent.counts[0]:
                sent.sent_ms = min(sent.sent_ms, now_ms - _OVERDUE_MS)

    def next_delta(
        self,
        leaving: tuple[str, ...],
        *,
        max_bytes: int,
        now_ms: int,
    ) -> bytes | None:
        """Returns an encoded delta, or None if none needs to be sent.

        Returns None as well if ``max_bytes`` holds nothing.
        """
        due = self._due_counts(now_ms)
        due_leaving = self._due_leaving(leaving[-_MAX_LEAVING:], now_ms)
        has_news = bool(due_leaving or self._pending_parts) or any(
            counts.is_changed for counts in due
        )
        is_due = self._sent_ms is None or now_ms - self._sent_ms >= HEARTBEAT_MS
        if not (has_news or is_due):
            self.has_unsent = False
            return None
        left_bytes = max_bytes - _FRAME_BYTES - len(self._vm_name.encode())
        if left_bytes < 0:
            self.has_unsent = True
            return None
        return self._encode(due, due_leaving, left_bytes, now_ms)

    def _encode(
        self,
        due: list[_DueCounts],
        due_leaving: list[str],
        left_bytes: int,
        now_ms: int,
    ) -> bytes:
        max_paces_bytes = int(left_bytes * _PACES_SHARE)
        leaving = self._take_leaving(due_leaving, left_bytes, now_ms)
        left_bytes -= sum(map(_text_bytes, leaving))
        counts_bytes = sum(counts.size_bytes for counts in due)
        parts = self._take_parts(
            max(left_bytes - counts_bytes, int(left_bytes * _PARTS_SHARE)),
            now_ms,
        )
        left_bytes -= sum(map(_part_bytes, parts))
        taken = self._take_counts(due, left_bytes, now_ms)
        left_bytes -= sum(counts.size_bytes for counts in taken)
        self.has_unsent = bool(self._pending_parts) or any(
            counts.is_changed for counts in due[len(taken) :]
        )
        self._sent_ms = now_ms
        return encode_delta(
            PlacementDelta(
                vm_name=self._vm_name,
                number=next(self._numbers),
                counts=tuple(
                    (runner_code(counts.runner), *counts.counts)
                    for counts in taken
                ),
                new_parts=tuple(
                    (runner_code(runner), part_id) for runner, part_id in parts
                ),
                leaving=tuple(leaving),
                paces=self._take_paces(
                    min(left_bytes, max_paces_bytes),
                    now_ms,
                ),
                process_id=self._process_id,
            ),
        )

    def _take_paces(self, left_bytes: int, now_ms: int) -> bytes:
        """Returns encoded observations that fit, none if sent lately."""
        if (
            self._paces_ms is not None
            and now_ms - self._paces_ms < _PACES_INTERVAL_MS
        ):
            return b''
        paces = encode_observations(
            self._choice.paces.take_observations(
                left_bytes - _PACES_OVERHEAD_BYTES,
            ),
        )
        if paces:
            self._paces_ms = now_ms
        return paces

    def _due_counts(self, now_ms: int) -> list[_DueCounts]:
        """Returns the counts to be sent, the most important ones first."""
        current = {
            backlog.runner: (backlog.running_count, backlog.unread_tokens)
            for backlog in self._choice.backlogs()
            if backlog.running_count
        }
        due = [
            self._due_of(runner, current.get(runner, (0, 0)), now_ms)
            for runner in dict.fromkeys((*self._sent, *current))
        ]
        return sorted(
            (counts for counts in due if counts is not None),
            key=lambda counts: counts.order,
        )

    def _due_of(
        self,
        runner: str,
        counts: tuple[int, int],
        now_ms: int,
    ) -> _DueCounts | None:
        sent = self._sent.get(runner)
        if sent is None:
            sent = _SentCounts(counts=(0, 0), sent_ms=now_ms)
        change = _change_tokens(sent.counts, counts)
        order = _order_of(counts[0], change, now_ms - sent.sent_ms)
        if order is None:
            return None
        return _DueCounts(
            runner=runner,
            counts=counts,
            order=order,
            is_changed=bool(change),
        )

    def _take_counts(
        self,
        due: list[_DueCounts],
        left_bytes: int,
        now_ms: int,
    ) -> list[_DueCounts]:
        """Returns the first counts that fit and records them as sent."""
        taken: list[_DueCounts] = []
        for counts in due:
            left_bytes -= counts.size_bytes
            if left_bytes < 0:
                break
            taken.append(counts)
            self._record(counts, now_ms)
        return taken

    def _record(self, counts: _DueCounts, now_ms: int) -> None:
        sent = _SentCounts(counts=counts.counts, sent_ms=now_ms)
        if not counts.counts[0] and not counts.is_changed:
            sent.left_repeats = self._sent[counts.runner].left_repeats - 1
        if sent.left_repeats > 0:
            self._sent[counts.runner] = sent
        else:
            self._sent.pop(counts.runner)

    def _take_parts(self, left_bytes: int, now_ms: int) -> list[_Part]:
        """Returns the newest parts that fit and records them as sent."""
        taken: list[_Part] = []
        while self._pending_parts:
            part = next(reversed(self._pending_parts))
            left_bytes -= _part_bytes(part)
            if left_bytes < 0:
                break
            self._pending_parts.pop(part)
            taken.append(part)
            self._sent_parts.pop(part, None)
            self._sent_parts[part] = now_ms
        while len(self._sent_parts) > _MAX_SENT_PARTS:
            self._sent_parts.pop(next(iter(self._sent_parts)))
        return taken

    def _due_leaving(self, names: tuple[str, ...], now_ms: int) -> list[str]:
        self._leaving = {
            name: sent for name, sent in self._leaving.items() if name in names
        }
        due: list[str] = []
        for name in reversed(names):
            sent = self._leaving.get(name)
            if sent is None:
                due.append(name)
                continue
            doublings = min(sent.sent_count, _LEAVING_DOUBLINGS)
            if now_ms - sent.sent_ms >= _LEAVING_INTERVAL_MS << doublings:
                due.append(name)
        return due

    def _take_leaving(
        self,
        due: list[str],
        left_bytes: int,
        now_ms: int,
    ) -> list[str]:
        taken: list[str] = []
        for name in due:
            left_bytes -= _text_bytes(name)
            if left_bytes < 0:
                break
            taken.append(name)
            sent = self._leaving.get(name)
            sent_count = 1 if sent is None else sent.sent_count + 1
            self._leaving[name] = _SentLeaving(
                sent_ms=now_ms,
                sent_count=sent_count,
            )
        return taken


def _change_tokens(before: tuple[int, int], after: tuple[int, int]) -> int:
    """Returns the size of a change, 0 if nothing has changed."""
    request_count = abs(after[0] - before[0])
    return request_count * _REQUEST_TOKENS + abs(after[1] - before[1])


def _order_of(
    running_count: int,
    change_tokens: int,
    age_ms: int,
) -> tuple[int, int] | None:
    """Returns the rank of counts for a delta; None if they can wait."""
    if running_count and age_ms >= _OVERDUE_MS:
        return 0, -age_ms
    if change_tokens:
        return 1, -change_tokens
    resend_ms = _RESEND_MS if running_count else _END_REPEAT_MS
    return (2, -age_ms) if age_ms >= resend_ms else None


def _encoded_bytes(number: int) -> int:
    """Returns the encoded size of an integer."""
    for bit_count, size_bytes in _MSGPACK_SIZES:
        if 0 <= number < 1 << bit_count:
            return size_bytes
    return _MSGPACK_MAX_SIZE


def _text_bytes(text: str) -> int:
    return _TEXT_OVERHEAD_BYTES + len(text.encode())


def _part_bytes(part: _Part) -> int:
    return 1 + _CODE_BYTES + _text_bytes(part[1])
