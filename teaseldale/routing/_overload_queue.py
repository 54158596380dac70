"""Queue of requests by rank, then fairly among accounts by their tokens.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each flow has a tag that
grows by the tokens that it starts, divided by its weight, and the flow with the
lowest tag is next. A flow is an account and a route at one rank.
"""

from collections import deque
from collections.abc import Iterator

import attrs

from teaseldale.routing._overload_request import OverloadRequest, WaitingTurn

# One of this many starts goes to a less urgent rank while both wait, so that a
# burst of urgent requests delays the others but does not exclude them.
STARTS_PER_LOWER_RANK = 8
_USUAL_LOAD_MS = 30_000  # time constant of an account's usual load
# Lowest weight of an account, as a share of the mean: new accounts are served.
_MIN_WEIGHT_SHARE = 0.25
_MAX_ACCOUNTS = 2000  # accounts whose usual load is known

_FlowKey = tuple[str, str]  # account and route


@attrs.define(kw_only=True)
class _Account:
    usual_tokens: float = 0  # decaying sum
    noted_ms: float = 0

    def note(self, now_ms: float, tokens: int) -> None:
        elapsed_ms = max(0, now_ms - self.noted_ms)
        kept_share = max(0, 1 - elapsed_ms / _USUAL_LOAD_MS)
        self.usual_tokens = self.usual_tokens * kept_share + tokens
        self.noted_ms = now_ms


class UsualLoads:
    """Loads of accounts while runners are not short; the weights of flows."""

    def __init__(self) -> None:
        """Starts without accounts."""
        self._accounts: dict[str, _Account] = {}
        self._total = _Account()

    def note(self, account: str, now_ms: float, tokens: int) -> None:
        """Adds a request that arrives while runners are not short."""
        known = self._accounts.pop(account, None)
        if known is None:
            known = _Account(noted_ms=now_ms)
        known.note(now_ms, tokens)
        self._total.note(now_ms, tokens)
        self._accounts[account] = known
        while len(self._accounts) > _MAX_ACCOUNTS:
            self._accounts.pop(next(iter(self._accounts)))

    def share(self, account: str) -> float:
        """Returns the part of the usual load that is an account's.

        It is 1 while no account is known, and at least that of a new account.
        """
        if not self._accounts:
            return 1
        is_new = account not in self._accounts
        return self.weight(account) / (len(self._accounts) + is_new)

    def weight(self, account: str) -> float:
        """Returns the usual load in relation to the mean, with a minimum."""
        known = self._accounts.get(account)
        if known is None:
            return _MIN_WEIGHT_SHARE
        mean = self._total.usual_tokens / len(self._accounts)
        return max(_MIN_WEIGHT_SHARE, known.usual_tokens / max(1, mean))


class _Flow:
    """Waiting requests of an account and a route, returning callers first."""

    def __init__(self) -> None:
        self.queued_tokens = 0
        self._returning: deque[WaitingTurn] = deque()
        self._new: deque[WaitingTurn] = deque()

    def __len__(self) -> int:
        return len(self._returning) + len(self._new)

    def __iter__(self) -> Iterator[WaitingTurn]:
        yield from self._returning
        yield from self._new

    @property
    def head(self) -> WaitingTurn:
        return (self._returning or self._new)[0]

    @property
    def newest(self) -> WaitingTurn:
        return (self._new or self._returning)[-1]

    def add(self, turn: WaitingTurn) -> None:
        self._turns_like(turn).append(turn)
        self.queued_tokens += turn.request.cost_tokens

    def remove(self, turn: WaitingTurn) -> None:
        self._turns_like(turn).remove(turn)
        self.queued_tokens -= turn.request.cost_tokens

    def position(self, turn: WaitingTurn) -> int:
        position = self._turns_like(turn).index(turn)
        return (
            position if turn.is_returning else position + len(self._returning)
        )

    def _turns_like(self, turn: WaitingTurn) -> deque[WaitingTurn]:
        return self._returning if turn.is_returning else self._new


class _RankQueue:
    """Waiting requests of one rank."""

    def __init__(self) -> None:
        self.flows: dict[_FlowKey, _Flow] = {}
        self._tags: dict[_FlowKey, float] = {}
        self._virtual_tokens: float = 0

    def add(self, turn: WaitingTurn) -> None:
        key = _flow_of(turn.request)
        self.flows.setdefault(key, _Flow()).add(turn)
        tag = self._tags.get(key, self._virtual_tokens)
        self._tags[key] = max(tag, self._virtual_tokens)

    def remove(self, turn: WaitingTurn) -> None:
        key = _flow_of(turn.request)
        self.flows[key].remove(turn)
        if not self.flows[key]:
            self.flows.pop(key)

    def heads(self) -> list[WaitingTurn]:
        """Returns the next request of each flow, returning callers first."""
        keys = sorted(
            self.flows,
            key=lambda flow: (
                not self.flows[flow].head.is_returning,
                self._tags[flow],
            ),
        )
        return [self.flows[key].head for key in keys]

    def charge(self, request: OverloadRequest, weight: float) -> None:
        key = _flow_of(request)
        tag = max(self._tags.get(key, 0), self._virtual_tokens)
        self._virtual_tokens = tag
        # An account's share is divided among its routes that wait.
        route_count = sum(account == key[0] for account, _ in self.flows)
        cost_tokens = request.cost_tokens * max(1, route_count)
        self._tags[key] = tag + cost_tokens / weight
        if len(self._tags) > _MAX_ACCOUNTS:
            self._forget_idle()

    def count_ahead(self, turn: WaitingTurn) -> int:
        own = self.flows[_flow_of(turn.request)]
        position = own.position(turn)
        others = sum(
            min(len(flow), position + 1)
            for flow in self.flows.values()
            if flow is not own
        )
        return position + others

    def longest_flow(self) -> _Flow:
        return max(self.flows.values(), key=lambda flow: flow.queued_tokens)

    def _forget_idle(self) -> None:
        self._tags = {
            key: tag
            for key, tag in self._tags.items()
            if key in self.flows or tag > self._virtual_tokens
        }


class OverloadQueue:
    """Requests that wait for the runners of one service."""

    def __init__(self, *, limit_count: int) -> None:
        """Creates an empty queue of at most ``limit_count`` requests."""
        self._limit_count = limit_count
        self._ranks: dict[int, _RankQueue] = {}
        self._count = 0
        self._urgent_starts = 0  # since the last start of a lower rank
        self.usual = UsualLoads()

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return self._count

    def add(self, turn: WaitingTurn) -> WaitingTurn | None:
        """Adds a request; returns the one that is removed if it is full.

        The latter is the newest of the account with the most tokens in the
        queue at the least urgent rank, possibly the added one.
        """
        rank = turn.request.rank
        self._ranks.setdefault(rank, _RankQueue()).add(turn)
        self._count += 1
        if self._count <= self._limit_count:
            return None
        lowest = self._ranks[max(self._waiting_ranks())]
        removed = lowest.longest_flow().newest
        self.remove(removed)
        return removed

    def remove(self, turn: WaitingTurn) -> None:
        """Removes a waiting request without charging its account."""
        self._ranks[turn.request.rank].remove(turn)
        self._count -= 1

    def first(self) -> WaitingTurn | None:
        """Returns the request whose turn is next, or None."""
        return next(iter(self.heads()), None)

    def heads(self) -> list[WaitingTurn]:
        """Returns the next request of each flow, in the order of their turns.

        One that may not start yet does not delay those of other flows.
        """
        ranks = self._waiting_ranks()
        if self._urgent_starts >= STARTS_PER_LOWER_RANK - 1:
            ranks = ranks[1:] + ranks[:1]
        return [head for rank in ranks for head in self._ranks[rank].heads()]

    def start(self, turn: WaitingTurn) -> None:
        """Removes a request that starts and charges its account."""
        ranks = self._waiting_ranks()
        if turn.request.rank == ranks[0] and len(ranks) > 1:
            self._urgent_starts += 1
        else:
            self._urgent_starts = 0
        self.remove(turn)
        request = turn.request
        weight = self.usual.weight(request.account)
        self._ranks[request.rank].charge(request, weight)

    def count_ahead(self, turn: WaitingTurn) -> int:
        """Returns how many requests of its rank are expected to precede it."""
        return self._ranks[turn.request.rank].count_ahead(turn)

    def has_more_urgent(self, rank: int) -> bool:
        """Returns whether a request of a more urgent rank waits."""
        return any(other < rank for other in self._waiting_ranks())

    def _waiting_ranks(self) -> list[int]:
        return sorted(
            rank for rank, queue in self._ranks.items() if queue.flows
        )


def _flow_of(request: OverloadRequest) -> _FlowKey:
    return request.account, request.route
