"""Prompts that wait at runners, and the time until another one is read."""

import attrs

_MIN_TOKEN_MS = 1e-6


@attrs.frozen(kw_only=True)
class PromptQueue:
    """Prompts that one runner has not read."""

    tokens: int
    token_ms: float  # time to read a token

    @property
    def wait_ms(self) -> float:
        """Returns the time until the runner begins to read another prompt."""
        return self.tokens * self.token_ms


@attrs.frozen(kw_only=True)
class PromptRoom:
    """Prompts at the runners of a cell that have a free slot."""

    free_count: int
    taken_count: int
    slot_count: int
    queues: tuple[PromptQueue, ...]

    def share(self, starting_count: int) -> float:
        """Returns the taken part of the slots, with requests that start."""
        return (self.taken_count + starting_count) / max(1, self.slot_count)

    def wait_ms(self, starting_tokens: int) -> float:
        """Returns the shortest time until another prompt is read.

        ``starting_tokens`` are those of requests that have started but are not
        placed at a runner yet; each is taken to go to the shortest queue.
        """
        queues = sorted(self.queues, key=lambda queue: queue.wait_ms)
        level_ms = queues[0].wait_ms
        rate: float = 0  # tokens per ms of the queues up to the level
        left = float(starting_tokens)
        for queue in queues:
            needed = (queue.wait_ms - level_ms) * rate
            if needed > left:
                break
            left -= needed
            level_ms = queue.wait_ms
            rate += 1 / max(queue.token_ms, _MIN_TOKEN_MS)
        return level_ms + left / rate
