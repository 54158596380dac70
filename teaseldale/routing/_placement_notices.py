"""Exchange of placement counts between VMs, so that all see the same backlogs.

Each VM broadcasts its own counts in datagrams when they have changed, a few
times a second at most. Each message replaces the sender's earlier counts, so
the next datagram compensates for a lost one.
"""

import abc
from collections.abc import Iterable

import anyio
import attrs
import msgspec

from teaseldale.clock import BaseClock
from teaseldale.routing._backlog_choice import BacklogChoice
from teaseldale.routing._runner_backlog import RunnerBacklog

_MS_PER_SECOND = 1000
# Counts of a VM expire after this time without a message: the VM has stopped
# or is unreachable, and its requests end without further messages.
_COUNTS_LIFETIME_MS = 3000
# Unchanged counts are sent again after this interval, which is well below the
# expiry time, so that one lost datagram does not expire them.
_RESEND_INTERVAL_MS = 1000
_MAX_NOTICE_PARTS = 40  # newest parts in each datagram; bounds its size
_MAX_NOTICE_LEAVING = 20  # newest leaving runners in each datagram


class RunnerCounts(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One VM's requests at one runner; encoded as an array."""

    runner: str
    running_count: int
    unread_tokens: int


class ReadPart(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A shared prompt part that was sent to a runner."""

    runner: str
    part_id: str


class PlacementNotice(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    kw_only=True,
):
    """Placement counts that a VM broadcasts to the others."""

    vm_name: str
    counts: tuple[RunnerCounts, ...]  # all runners with work of this VM
    new_parts: tuple[ReadPart, ...]  # since the sender's previous notice
    # Incarnations that have announced in answers that they leave. VMs of
    # earlier versions send none, and ignore those of others.
    leaving: tuple[str, ...] = ()


@attrs.define(kw_only=True)
class _RemoteCounts:
    counts: tuple[RunnerCounts, ...]
    heard_ms: int


class BaseLeavingRunners(abc.ABC):
    """Runners that have announced in answers that they leave."""

    @abc.abstractmethod
    def leaving(self) -> tuple[str, ...]:
        """Returns the incarnations, the latest last."""

    @abc.abstractmethod
    def note_leaving(self, names: Iterable[str]) -> None:
        """Applies what another VM has read in answers of runners."""


class PlacementExchange:
    """Encodes this VM's notices and applies those of other VMs."""

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
        self._remote_counts: dict[str, _RemoteCounts] = {}
        self._last_received_ms: dict[str, int] = {}  # by VM; kept on expiry
        self._last_counts: tuple[RunnerCounts, ...] = ()
        self._last_leaving: tuple[str, ...] = ()
        self._last_sent_ms = clock.monotonic_ms()
        self._change_event = anyio.Event()
        choice.add_change_listener(lambda: self._change_event.set())

    async def wait_for_change(self) -> None:
        """Waits for a local change, for at most the resend interval."""
        with anyio.move_on_after(_RESEND_INTERVAL_MS / _MS_PER_SECOND):
            await self._change_event.wait()
        self._change_event = anyio.Event()

    def next_notice(self) -> bytes | None:
        """Returns an encoded notice, or None if none needs to be sent."""
        counts = tuple(
            RunnerCounts(
                runner=backlog.runner,
                running_count=backlog.running_count,
                unread_tokens=backlog.unread_tokens,
            )
            for backlog in self._choice.backlogs()
            if backlog.running_count
        )
        parts = self._choice.take_new_parts(_MAX_NOTICE_PARTS)
        leaving = self._leaving_runners.leaving()[-_MAX_NOTICE_LEAVING:]
        now_ms = self._clock.monotonic_ms()
        is_due = now_ms - self._last_sent_ms >= _RESEND_INTERVAL_MS
        has_changed = bool(
            counts != self._last_counts
            or parts
            or leaving != self._last_leaving
        )
        if not (has_changed or is_due):
            return None
        self._last_counts = counts
        self._last_leaving = leaving
        self._last_sent_ms = now_ms
        return msgspec.msgpack.encode(
            PlacementNotice(
                vm_name=self._vm_name,
                counts=counts,
                new_parts=tuple(
                    ReadPart(runner=runner, part_id=part_id)
                    for runner, part_id in parts
                ),
                leaving=leaving,
            ),
        )

    def apply_notice(self, content: bytes) -> None:
        """Applies another VM's notice; ignores notices of this VM.

        Raises ``msgspec.DecodeError`` if the content cannot be decoded.
        """
        notice = msgspec.msgpack.decode(content, type=PlacementNotice)
        if notice.vm_name == self._vm_name:
            return
        now_ms = self._clock.monotonic_ms()
        self._last_received_ms[notice.vm_name] = now_ms
        self._remote_counts[notice.vm_name] = _RemoteCounts(
            counts=notice.counts,
            heard_ms=now_ms,
        )
        for part in notice.new_parts:
            self._choice.note_remote_part(part.runner, part.part_id)
        self._leaving_runners.note_leaving(notice.leaving)
        self._recount()

    def silent_for(
        self,
        duration_ms: int,
        vm_names: Iterable[str],
    ) -> tuple[str, ...]:
        """Returns the VMs without a notice for at least ``duration_ms``.

        The time of a VM without any notice starts at the first call with its
        name.
        """
        now_ms = self._clock.monotonic_ms()
        last_received_ms = {
            name: self._last_received_ms.get(name, now_ms) for name in vm_names
        }
        self._last_received_ms = last_received_ms
        return tuple(
            name
            for name, received_ms in last_received_ms.items()
            if now_ms - received_ms >= duration_ms
        )

    def remove_expired(self) -> None:
        """Removes the expired counts of VMs that stopped sending notices."""
        oldest_ms = self._clock.monotonic_ms() - _COUNTS_LIFETIME_MS
        expired = [
            name
            for name, remote in self._remote_counts.items()
            if remote.heard_ms < oldest_ms
        ]
        for name in expired:
            self._remote_counts.pop(name)
        if expired:
            self._recount()

    def _recount(self) -> None:
        for backlog in self._choice.backlogs():
            backlog.remote_count = 0
            backlog.remote_unread_tokens = 0
        for remote in self._remote_counts.values():
            self._add_counts(remote.counts)

    def _add_counts(self, counts: Iterable[RunnerCounts]) -> None:
        for runner_counts in counts:
            backlog: RunnerBacklog | None = self._choice.find_backlog(
                runner_counts.runner
            )
            if backlog is not None:
                backlog.remote_count += runner_counts.running_count
                backlog.remote_unread_tokens += runner_counts.unread_tokens
