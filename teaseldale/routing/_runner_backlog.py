"""Work for runners, and what a VM knows of the work of each."""

from collections import OrderedDict

import attrs

_KEPT_PARTS = 2000  # parts remembered for each runner
_REPORT_VALID_MS = 1000  # older reports of load are not used


@attrs.frozen(kw_only=True)
class SharedPart:
    """A part of a prompt, and its size."""

    part_id: str
    token_count: int


@attrs.frozen(kw_only=True)
class PlannedWork:
    """What a request asks of a runner."""

    parts: tuple[SharedPart, ...] = ()  # of its prompt, in order
    prompt_tokens: int = 0
    output_limit_tokens: int = 0  # most that the request may generate


@attrs.frozen(kw_only=True)
class PlacedWork:
    """A request that was given to a runner."""

    runner: str
    unread_tokens: int  # prompt tokens that the runner had to read
    # Runner from which it can fetch more of the prompt than it holds itself.
    fetch_from: str | None = None


@attrs.define(kw_only=True)
class RunnerBacklog:
    """What a VM knows of one runner's work."""

    runner: str
    slot_count: int
    running_count: int = 0  # requests of this VM
    unread_tokens: int = 0  # of this VM's requests before their first event
    reported_count: int = 0  # requests of all VMs, as the runner said
    reported_running_count: int = 0  # of this VM when the report came
    reported_ms: int = 0
    remote_count: int = 0  # requests of other VMs, as they said
    remote_unread_tokens: int = 0
    failure_share: float = 0  # of the requests of late
    avoided_until_ms: int = 0  # monotonic
    parts: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def unread_of(self, work: PlannedWork) -> int:
        """Returns the prompt tokens that the runner would have to read."""
        unread = work.prompt_tokens
        for part in work.parts:
            if part.part_id not in self.parts:
                break
            unread -= part.token_count
        return max(unread, 0)

    def note_parts(self, work: PlannedWork) -> None:
        """Remembers that the runner holds the parts of ``work``."""
        for part in work.parts:
            self.note_part(part.part_id)

    def note_part(self, part_id: str) -> None:
        """Remembers that the runner holds a part."""
        self.parts.pop(part_id, None)
        self.parts[part_id] = None
        while len(self.parts) > _KEPT_PARTS:
            self.parts.popitem(last=False)

    def load_count(self, now_ms: int) -> int:
        """Returns how many requests the runner works on."""
        known = self.running_count + self.remote_count
        if now_ms - self.reported_ms > _REPORT_VALID_MS:
            return known
        since = self.running_count - self.reported_running_count
        return max(known, self.reported_count + since)
