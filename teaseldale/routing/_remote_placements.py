"""Placement counts of other VMs, as last heard."""

from collections.abc import Iterable

import attrs

from teaseldale.routing._backlog_choice import BacklogChoice
from teaseldale.routing._pace_messages import decode_observations
from teaseldale.routing._placement_messages import (
    PlacementDelta,
    PlacementNotice,
    runner_code,
)

# Counts expire after this time without being heard again: the VM has stopped or
# is unreachable, or the message that its work has ended was lost.
COUNTS_LIFETIME_MS = 3000
# A delta of an earlier build with a number that is lower by at most this was
# overtaken by others. One that is lower by more comes from a new start of the
# sender.
_MAX_OVERTAKEN = 100
# Interval at which runners that have become known get the counts heard before.
_RECOUNT_INTERVAL_MS = 250


@attrs.frozen(kw_only=True)
class _HeardCounts:
    running_count: int
    unread_tokens: int
    heard_ms: int


@attrs.define(kw_only=True)
class _RemoteVm:
    counts: dict[int, _HeardCounts] = attrs.field(factory=dict)
    number: int = -1  # of the latest delta
    delta_ms: int | None = None  # when the latest delta was heard
    process_id: int = 0  # of the latest delta
    ended_ids: frozenset[int] = frozenset()  # of earlier processes

    def is_restart(self, delta: PlacementDelta) -> bool:
        """Returns whether a delta is the first one of a new process."""
        if delta.process_id != self.process_id:
            return True
        # Processes of earlier builds differ in their numbers only.
        is_named = delta.process_id != 0
        return not is_named and self.number - delta.number > _MAX_OVERTAKEN


class RemotePlacements:
    """Adds the counts of other VMs to the backlogs of a choice."""

    def __init__(self, *, choice: BacklogChoice) -> None:
        """Writes to the backlogs of ``choice``."""
        self._choice = choice
        self._vms: dict[str, _RemoteVm] = {}
        self._names: dict[int, str] = {}  # runners, by code
        self._recounted_ms = 0

    def sends_deltas(self, vm_name: str, now_ms: int, within_ms: int) -> bool:
        """Returns whether a delta of a VM was heard in the last time."""
        remote = self._vms.get(vm_name)
        if remote is None or remote.delta_ms is None:
            return False
        return now_ms - remote.delta_ms <= within_ms

    def apply_notice(self, notice: PlacementNotice, now_ms: int) -> None:
        """Replaces all counts of a VM, unless deltas of it are heard.

        A VM that sends deltas leaves small counts out of its notices.
        """
        for part in notice.new_parts:
            self._choice.note_remote_part(part.runner, part.part_id)
        if self.sends_deltas(notice.vm_name, now_ms, COUNTS_LIFETIME_MS):
            return
        remote = self._vms.setdefault(notice.vm_name, _RemoteVm())
        earlier = frozenset(remote.counts)
        remote.counts = {
            runner_code(counts.runner): _HeardCounts(
                running_count=counts.running_count,
                unread_tokens=counts.unread_tokens,
                heard_ms=now_ms,
            )
            for counts in notice.counts
        }
        self._recount(earlier.union(remote.counts))

    def apply_delta(self, delta: PlacementDelta, now_ms: int) -> bool:
        """Replaces the counts that a delta has; ignores overtaken deltas.

        Returns whether the delta is the first one of a process of its sender.
        """
        remote = self._vms.setdefault(delta.vm_name, _RemoteVm())
        if delta.process_id in remote.ended_ids:
            return False
        is_first = remote.is_restart(delta)
        if is_first:
            self._start_process(remote, delta.process_id)
        elif delta.number <= remote.number:
            remote.delta_ms = now_ms
            return False
        remote.delta_ms = now_ms
        remote.number = delta.number
        for code, running_count, unread_tokens in delta.counts:
            if running_count:
                remote.counts[code] = _HeardCounts(
                    running_count=running_count,
                    unread_tokens=unread_tokens,
                    heard_ms=now_ms,
                )
            else:
                remote.counts.pop(code, None)
        self._recount(counts[0] for counts in delta.counts)
        for part_code, part_id in delta.new_parts:
            runner = self._find_name(part_code)
            if runner is not None:
                self._choice.note_remote_part(runner, part_id)
        self._note_paces(delta)
        return is_first

    def remove_expired(self, now_ms: int) -> None:
        """Removes expired counts and applies the others to new runners."""
        oldest_ms = now_ms - COUNTS_LIFETIME_MS
        is_expired = False
        for remote in self._vms.values():
            for code, counts in tuple(remote.counts.items()):
                if counts.heard_ms < oldest_ms:
                    remote.counts.pop(code)
                    is_expired = True
        if is_expired or now_ms - self._recounted_ms >= _RECOUNT_INTERVAL_MS:
            self._recounted_ms = now_ms
            self._read_names()
            self._recount(self._names)

    def keep_only(self, vm_names: Iterable[str]) -> None:
        """Drops the state of other VMs without counts."""
        kept = frozenset(vm_names)
        self._vms = {
            name: remote
            for name, remote in self._vms.items()
            if remote.counts or name in kept
        }

    def _start_process(self, remote: _RemoteVm, process_id: int) -> None:
        """Drops the counts of a VM's earlier process, whose work has ended."""
        if remote.process_id and process_id:
            # A late delta of an earlier build does not end this process.
            remote.ended_ids |= {remote.process_id}
        remote.process_id = process_id
        if remote.delta_ms is None:
            return  # The counts come from notices of the same process.
        ended = tuple(remote.counts)
        remote.counts.clear()
        self._recount(ended)

    def _note_paces(self, delta: PlacementDelta) -> None:
        for observation in decode_observations(delta.paces):
            runner = self._find_name(observation.runner_code)
            if runner is not None:
                self._choice.paces.note_received(
                    delta.vm_name,
                    runner,
                    observation,
                )

    def _read_names(self) -> None:
        self._names = {
            runner_code(backlog.runner): backlog.runner
            for backlog in self._choice.backlogs()
        }

    def _recount(self, codes: Iterable[int]) -> None:
        for code in codes:
            backlog = self._choice.find_backlog(self._find_name(code) or '')
            if backlog is None:
                continue
            heard = [
                remote.counts[code]
                for remote in self._vms.values()
                if code in remote.counts
            ]
            backlog.remote_count = sum(counts.running_count for counts in heard)
            backlog.remote_unread_tokens = sum(
                counts.unread_tokens for counts in heard
            )

    def _find_name(self, code: int) -> str | None:
        """Returns a runner's name; reads the names again if it may be new."""
        if code not in self._names and (
            len(self._choice.backlogs()) != len(self._names)
        ):
            self._read_names()
        return self._names.get(code)
