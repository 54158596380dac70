"""Bounded priority queue with fairness between client accounts."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from itertools import chain, zip_longest

import anyio
import attrs

from teaseldale.outcomes import Refusal
from teaseldale.routing._pool import Runner
from teaseldale.routing._request import RoutingRequest


@attrs.define(kw_only=True, eq=False)
class WaitingRequest:
    """A queued request; ``settled`` is set once it has an outcome."""

    request: RoutingRequest
    queued_ms: int  # monotonic
    outcome: Runner | Refusal | None = None
    settled: anyio.Event = attrs.field(factory=anyio.Event)

    def settle(self, outcome: Runner | Refusal) -> None:
        """Sets the outcome, a runner or a refusal, and wakes the waiter."""
        self.outcome = outcome
        self.settled.set()


_AccountQueues = OrderedDict[str, deque[WaitingRequest]]


class WaitingQueue:
    """Queue of requests for a slot of one pool."""

    def __init__(self, *, limit: int) -> None:
        """Creates an empty queue of at most ``limit`` requests."""
        self._limit = limit
        self._levels: dict[int, _AccountQueues] = {}
        self._count = 0

    def __len__(self) -> int:
        """Number of queued requests."""
        return self._count

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterates by priority, then round-robin between accounts."""
        for level in sorted(self._levels):
            rounds = zip_longest(*self._levels[level].values())
            for waiting in chain.from_iterable(tuple(rounds)):
                if waiting is not None:
                    yield waiting

    @property
    def is_full(self) -> bool:
        """Whether adding a request requires the eviction of another."""
        return self._count >= self._limit

    def count_ahead(self, queue_level: int) -> int:
        """Returns the number of requests at this or a higher priority."""
        return sum(
            len(requests)
            for level, accounts in self._levels.items()
            if level <= queue_level
            for requests in accounts.values()
        )

    def add(self, waiting: WaitingRequest) -> None:
        """Appends a request to the queue of its priority and account."""
        accounts = self._levels.setdefault(
            waiting.request.queue_level,
            OrderedDict(),
        )
        account = waiting.request.client_account
        accounts.setdefault(account, deque()).append(waiting)
        self._count += 1

    def remove(self, waiting: WaitingRequest) -> None:
        """Removes a request and moves its account to the end of the cycle."""
        level = waiting.request.queue_level
        accounts = self._levels[level]
        account = waiting.request.client_account
        requests = accounts[account]
        requests.remove(waiting)
        self._count -= 1
        accounts.move_to_end(account)
        if not requests:
            accounts.pop(account)
        if not accounts:
            self._levels.pop(level)

    def eviction_candidate(self, than_level: int) -> WaitingRequest | None:
        """Returns the request to evict for one of level ``than_level``.

        This is the newest request of the account with the most requests at
        the lowest priority. Returns None unless that priority is lower.
        """
        lowest_level = max(self._levels, default=than_level)
        if lowest_level <= than_level:
            return None
        longest_queue = max(self._levels[lowest_level].values(), key=len)
        return longest_queue[-1]
