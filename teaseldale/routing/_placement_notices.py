"""Exchange of placement counts between VMs, so that all see the same backlogs.

Each VM sends the counts that have changed, within a byte budget. Counts are
totals that are sent again and again, so that lost datagrams are made up for.
VMs of builds that read no deltas get notices with all counts.
"""

import abc
from collections.abc import Callable, Collection, Iterable, Mapping

import anyio
import attrs
import msgspec

from teaseldale.clock import BaseClock
from teaseldale.routing._backlog_choice import BacklogChoice
from teaseldale.routing._datagram_budget import DatagramBudget
from teaseldale.routing._placement_deltas import HEARTBEAT_MS, PlacementDeltas
from teaseldale.routing._placement_messages import (
    PLACEMENT_DELTA,
    PLACEMENT_NOTICE,
    PlacementDelta,
    PlacementNotice,
    ReadPart,
    RunnerCounts,
)
from teaseldale.routing._remote_placements import RemotePlacements

_MS_PER_SECOND = 1000
# Bytes of all placement datagrams of a VM per second, with their headers.
_BUDGET_BYTES_PER_S = 8000
_HEADER_BYTES = 28  # of IP and UDP
# While more than half of the budget of a second is spent, deltas are sent at
# this interval, each with a quarter of the budget: fewer and longer datagrams
# spend less of it on headers.
_BUSY_INTERVAL_MS = 250
_DELTA_SHARE = 0.25
# The same while some VMs need notices, which get half of the budget.
_MIXED_DELTA_SHARE = 0.125
_NOTICE_SHARE = 0.5
# Interval of notices. The counts of a notice expire after 3 s, so that one may
# be lost.
_NOTICE_INTERVAL_MS = 1400
# A VM that was heard to send deltas within this time reads them as well.
_DELTA_MEMORY_MS = 10_000
_MAX_NOTICE_PARTS = 40  # newest parts for the next datagrams
_MAX_NOTICE_LEAVING = 5  # newest leaving runners in a notice
_REQUEST_TOKENS = 1000  # weight of a request beside its unread tokens


@attrs.frozen(kw_only=True)
class PlacementDatagram:
    """An encoded datagram and the VMs that it is for."""

    content: bytes
    vm_names: tuple[str, ...]


class BaseLeavingRunners(abc.ABC):
    """Runners that have announced in answers that they leave."""

    @abc.abstractmethod
    def leaving(self) -> tuple[str, ...]:
        """Returns the incarnations, the latest last."""

    @abc.abstractmethod
    def note_leaving(self, names: Iterable[str]) -> None:
        """Applies what another VM has read in answers of runners."""


class PlacementExchange:
    """Encodes this VM's placements and applies those of other VMs."""

    def __init__(
        self,
        *,
        vm_name: str,
        choice: BacklogChoice,
        leaving_runners: BaseLeavingRunners,
        clock: BaseClock,
    ) -> None:
        """Reads local counts from ``choice`` and writes remote ones to it."""
        self._vm_name = vm_name
        self._choice = choice
        self._leaving_runners = leaving_runners
        self._clock = clock
        self._remote = RemotePlacements(choice=choice)
        self._deltas = PlacementDeltas(vm_name=vm_name, choice=choice)
        self._budget = DatagramBudget(
            bytes_per_s=_BUDGET_BYTES_PER_S,
            clock=clock,
        )
        self._notice_ms: int | None = None  # when the last notice was sent
        self._delta_ms: int | None = None
        self._notice_parts: tuple[tuple[str, str], ...] = ()
        self._last_received_ms: dict[str, int] = {}  # by VM; kept on expiry
        self._change_event = anyio.Event()
        choice.add_change_listener(lambda: self._change_event.set())

    @property
    def handlers(self) -> Mapping[bytes, Callable[[bytes], None]]:
        """Handlers of received datagrams, by their first byte.

        They raise ``msgspec.DecodeError``.
        """
        return {
            PLACEMENT_NOTICE: self.apply_notice,
            PLACEMENT_DELTA: self.apply_delta,
        }

    async def wait_for_change(self) -> None:
        """Waits until a datagram may be due, at most for a heartbeat."""
        if self._deltas.has_unsent:
            # The budget of the next interval has room for it.
            await self._clock.sleep_ms(_BUSY_INTERVAL_MS)
        else:
            with anyio.move_on_after(HEARTBEAT_MS / _MS_PER_SECOND):
                await self._change_event.wait()
        self._change_event = anyio.Event()

    def next_datagrams(
        self,
        vm_names: Collection[str],
    ) -> tuple[PlacementDatagram, ...]:
        """Returns what is to be sent to the VMs of the cell now."""
        now_ms = self._clock.monotonic_ms()
        parts = self._choice.take_new_parts(_MAX_NOTICE_PARTS)
        if not vm_names:
            return ()
        self._deltas.add_parts(parts, now_ms)
        older = tuple(
            name
            for name in vm_names
            if not self._remote.sends_deltas(name, now_ms, _DELTA_MEMORY_MS)
        )
        if older:
            self._notice_parts = (*self._notice_parts, *parts)
        datagrams = (
            self._next_notice(older, now_ms),
            self._next_delta(tuple(vm_names), older, now_ms),
        )
        return tuple(datagram for datagram in datagrams if datagram is not None)

    def apply_notice(self, content: bytes) -> None:
        """Applies a notice of an older build; ignores those of this VM.

        Raises ``msgspec.DecodeError`` if the content cannot be decoded.
        """
        notice = msgspec.msgpack.decode(content, type=PlacementNotice)
        if notice.vm_name == self._vm_name:
            return
        now_ms = self._clock.monotonic_ms()
        self._last_received_ms[notice.vm_name] = now_ms
        self._remote.apply_notice(notice, now_ms)
        self._leaving_runners.note_leaving(notice.leaving)

    def apply_delta(self, content: bytes) -> None:
        """Applies another VM's delta; ignores those of this VM.

        Raises ``msgspec.DecodeError`` if the content cannot be decoded.
        """
        delta = msgspec.msgpack.decode(content, type=PlacementDelta)
        if delta.vm_name == self._vm_name:
            return
        now_ms = self._clock.monotonic_ms()
        self._last_received_ms[delta.vm_name] = now_ms
        if self._remote.apply_delta(delta, now_ms):
            self._deltas.resend_counts(now_ms)
            self._change_event.set()
        self._leaving_runners.note_leaving(delta.leaving)

    def silent_for(
        self,
        duration_ms: int,
        vm_names: Iterable[str],
    ) -> tuple[str, ...]:
        """Returns the VMs without a datagram for at least ``duration_ms``.

        The time of a VM without any datagram starts at the first call with its
        name.
        """
        now_ms = self._clock.monotonic_ms()
        last_received_ms = {
            name: self._last_received_ms.get(name, now_ms) for name in vm_names
        }
        self._last_received_ms = last_received_ms
        self._remote.keep_only(last_received_ms)
        return tuple(
            name
            for name, received_ms in last_received_ms.items()
            if now_ms - received_ms >= duration_ms
        )

    def remove_expired(self) -> None:
        """Removes the expired counts of other VMs."""
        self._remote.remove_expired(self._clock.monotonic_ms())

    def _next_delta(
        self,
        vm_names: tuple[str, ...],
        older: tuple[str, ...],
        now_ms: int,
    ) -> PlacementDatagram | None:
        is_early = (
            self._delta_ms is not None
            and now_ms - self._delta_ms < _BUSY_INTERVAL_MS
        )
        if is_early and self._budget.is_half_spent:
            self._deltas.has_unsent = True
            return None
        share = _MIXED_DELTA_SHARE if older else _DELTA_SHARE
        content = self._deltas.next_delta(
            self._leaving_runners.leaving(),
            max_bytes=self._bytes_for_each(vm_names, share),
            now_ms=now_ms,
        )
        if content is None:
            return None
        self._delta_ms = now_ms
        return self._spend(PLACEMENT_DELTA + content, vm_names)

    def _next_notice(
        self,
        older: tuple[str, ...],
        now_ms: int,
    ) -> PlacementDatagram | None:
        if not older:
            self._notice_parts = ()
            return None
        self._notice_parts = self._notice_parts[-_MAX_NOTICE_PARTS:]
        is_early = (
            self._notice_ms is not None
            and now_ms - self._notice_ms < _NOTICE_INTERVAL_MS
        )
        if is_early:
            return None
        content = _encode_notice(
            PlacementNotice(
                vm_name=self._vm_name,
                counts=self._counts_by_work(),
                new_parts=tuple(
                    ReadPart(runner=runner, part_id=part_id)
                    for runner, part_id in reversed(self._notice_parts)
                ),
                leaving=self._leaving_runners.leaving()[-_MAX_NOTICE_LEAVING:],
            ),
            self._bytes_for_each(older, _NOTICE_SHARE),
        )
        if content is None:
            return None
        self._notice_ms = now_ms
        self._notice_parts = ()
        return self._spend(PLACEMENT_NOTICE + content, older)

    def _counts_by_work(self) -> tuple[RunnerCounts, ...]:
        """Returns the counts of all runners, those with most work first."""
        backlogs = sorted(
            self._choice.backlogs(),
            key=lambda backlog: (
                -backlog.running_count * _REQUEST_TOKENS - backlog.unread_tokens
            ),
        )
        return tuple(
            RunnerCounts(
                runner=backlog.runner,
                running_count=backlog.running_count,
                unread_tokens=backlog.unread_tokens,
            )
            for backlog in backlogs
            if backlog.running_count
        )

    def _bytes_for_each(self, vm_names: tuple[str, ...], share: float) -> int:
        """Returns the size of a datagram that each of the VMs can get."""
        free_bytes = min(
            self._budget.free_bytes,
            int(_BUDGET_BYTES_PER_S * share),
        )
        # The first byte is the kind.
        return free_bytes // len(vm_names) - _HEADER_BYTES - 1

    def _spend(
        self,
        content: bytes,
        vm_names: tuple[str, ...],
    ) -> PlacementDatagram:
        self._budget.spend((_HEADER_BYTES + len(content)) * len(vm_names))
        return PlacementDatagram(content=content, vm_names=vm_names)


def _encode_notice(notice: PlacementNotice, max_bytes: int) -> bytes | None:
    """Returns the notice with the first counts and parts that fit.

    Returns None if not even an empty notice fits.
    """
    content = msgspec.msgpack.encode(notice)
    while len(content) > max_bytes:
        if not (notice.counts or notice.new_parts):
            return None
        notice = msgspec.structs.replace(
            notice,
            counts=_without_last_quarter(notice.counts),
            new_parts=notice.new_parts[: len(notice.new_parts) // 2],
        )
        content = msgspec.msgpack.encode(notice)
    return content


def _without_last_quarter(
    counts: tuple[RunnerCounts, ...],
) -> tuple[RunnerCounts, ...]:
    return counts[: len(counts) * 3 // 4]
