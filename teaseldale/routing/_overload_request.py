"""Requests to overload admission, and its decisions."""

import enum
from collections.abc import Callable

import attrs

from teaseldale.routing._runner_backlog import PlannedWork

# Cost of a request without a known number of tokens.
_UNKNOWN_COST_TOKENS = 1000


@enum.unique
class OverloadAction(enum.StrEnum):
    """What to do with a request."""

    START = 'start'
    WAIT = 'wait'
    REFUSE = 'refuse'


@enum.unique
class OverloadReason(enum.StrEnum):
    """Why a request is refused; the label of a counter."""

    DEADLINE = 'deadline'  # its first event would come after its deadline
    GOAL = 'goal'  # its turn would come too late for its goal
    QUEUE_FULL = 'queue_full'  # the queue of the VM is full
    WAITED = 'waited'  # its turn did not come as early as expected


@attrs.frozen(kw_only=True)
class OverloadRequest:
    """Properties of a request on which its turn depends."""

    pool: str  # service whose runners can take it
    route: str
    account: str  # empty if the caller has none
    rank: int  # 0 is the most urgent
    work: PlannedWork
    goal_ms: float  # from the arrival to the first event or the answer
    arrival_ms: float  # monotonic
    deadline_at_ms: float  # monotonic

    @property
    def goal_at_ms(self) -> float:
        """Returns the monotonic time of the goal, at most the deadline."""
        return min(self.arrival_ms + self.goal_ms, self.deadline_at_ms)

    @property
    def cost_tokens(self) -> int:
        """Returns the tokens that are charged to the account."""
        work = self.work
        tokens = work.prompt_tokens + work.output_limit_tokens
        return tokens or _UNKNOWN_COST_TOKENS


@attrs.frozen(kw_only=True)
class OverloadDecision:
    """A decision on a request."""

    action: OverloadAction
    wait_ms: float = 0  # until the next check, or the Retry-After of a refusal
    reason: OverloadReason | None = None  # of a refusal


@attrs.define(kw_only=True, eq=False)
class WaitingTurn:
    """A request that waits for its turn."""

    request: OverloadRequest
    on_settled: Callable[[], None]  # called once it starts or is refused
    is_returning: bool = False  # a caller that was refused earlier
    is_kept: bool = False  # is expected to start in time, so is not refused
    is_held: bool = False  # has waited for the prompts at the runners
    is_started: bool = False  # and counts as starting
    is_settled: bool = False

    def settle(self) -> None:
        """Ends the wait."""
        self.is_settled = True
        self.on_settled()
