"""Work for runners, and a VM's view of each runner's backlog."""

from collections import OrderedDict

import attrs

_MAX_PARTS = 2000  # most recent parts tracked per runner
_REPORT_VALID_MS = 1000  # older load reports are ignored


@attrs.frozen(kw_only=True)
class SharedPart:
    """Identified part of a prompt that other prompts may share."""

    part_id: str
    token_count: int


@attrs.frozen(kw_only=True)
class PlannedWork:
    """Work that a request requires of a runner."""

    parts: tuple[SharedPart, ...] = ()  # of the prompt, in order
    prompt_tokens: int = 0
    output_limit_tokens: int = 0  # maximum that may be generated


@attrs.frozen(kw_only=True)
class PlacedWork:
    """A request that was placed at a runner."""

    runner: str
    unread_tokens: int  # prompt tokens that the runner must prefill
    # Runner that caches more of the prompt, from which it can be fetched.
    fetch_from: str | None = None


@attrs.define(kw_only=True)
class RunnerBacklog:
    """A VM's view of the work at one runner."""

    runner: str
    slot_count: int
    running_count: int = 0  # requests of this VM
    unread_tokens: int = 0  # of this VM's requests without output yet
    reported_count: int = 0  # requests of all VMs, as last reported
    reported_running_count: int = 0  # requests of this VM at that time
    reported_ms: int = 0
    remote_count: int = 0  # requests of other VMs, from their notices
    remote_unread_tokens: int = 0
    failure_share: float = 0  # moving average over recent requests
    unreachable_until_ms: int = 0  # monotonic
    parts: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def unread_tokens_of(self, work: PlannedWork) -> int:
        """Returns the prompt tokens after the prefix that is cached here."""
        unread = work.prompt_tokens
        for part in work.parts:
            if part.part_id not in self.parts:
                break
            unread -= part.token_count
        return max(unread, 0)

    def caches_prefix(self, work: PlannedWork) -> bool:
        """Returns whether all shared parts of a prompt are cached here.

        The last part is specific to the request.
        """
        return all(part.part_id in self.parts for part in work.parts[:-1])

    def note_parts(self, work: PlannedWork) -> None:
        """Records that the runner caches all parts of ``work``."""
        for part in work.parts:
            self.note_part(part.part_id)

    def note_part(self, part_id: str) -> None:
        """Records that the runner caches a part; evicts the oldest ones."""
        self.parts.pop(part_id, None)
        self.parts[part_id] = None
        while len(self.parts) > _MAX_PARTS:
            self.parts.popitem(last=False)

    def has_room(self, now_ms: int) -> bool:
        """Returns whether the runner is reachable and has a free slot."""
        return (
            now_ms >= self.unreachable_until_ms
            and self.load_count(now_ms) < self.slot_count
        )

    def has_recent_report(self, now_ms: int) -> bool:
        """Returns whether the runner's own report still counts."""
        return now_ms - self.reported_ms <= _REPORT_VALID_MS

    def unannounced_count(self, now_ms: int) -> int:
        """Returns the requests that only the runner's report mentions."""
        known = self.running_count + self.remote_count
        return self.load_count(now_ms) - known

    def load_count(self, now_ms: int) -> int:
        """Estimates the number of requests of all VMs at the runner."""
        known = self.running_count + self.remote_count
        if not self.has_recent_report(now_ms):
            return known
        started_since_report = self.running_count - self.reported_running_count
        return max(known, self.reported_count + started_since_report)
