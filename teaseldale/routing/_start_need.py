"""What a request needs of the memory of its runner."""

import attrs

from teaseldale.routing._runner_backlog import PlannedWork, SharedPart


@attrs.frozen(kw_only=True)
class StartNeed:
    """Memory that a runner must have free to start a request."""

    own_tokens: int = 0  # of this request alone, its output included
    # Parts of the prompt that a runner keeps once for all requests with them.
    shared_parts: tuple[SharedPart, ...] = ()
    memory_tokens: int = 0  # of the runner, as configured; 0 if unknown


UNKNOWN_NEED = StartNeed()


def need_of(work: PlannedWork, memory_tokens: int) -> StartNeed:
    """Returns the most that a request may need of such a memory."""
    shared_parts = work.parts[:-1]
    shared_tokens = sum(part.token_count for part in shared_parts)
    own_prompt_tokens = max(0, work.prompt_tokens - shared_tokens)
    return StartNeed(
        own_tokens=own_prompt_tokens + work.output_limit_tokens,
        shared_parts=shared_parts,
        memory_tokens=memory_tokens,
    )
