"""Routing requests and the placements that answer them."""

import attrs

from teaseldale.notes import Upstream
from teaseldale.peers import VmIdentity


@attrs.frozen(kw_only=True)
class RoutingRequest:
    """Properties of a request on which its placement depends."""

    route: str
    version: str  # only upstreams of this version may run the request
    prompt: str  # its prefix determines cache affinity
    priority: int  # 0 is the highest
    deadline_ms: int  # monotonic; latest time for the answer
    excluded: frozenset[str] = frozenset()  # upstreams that were already tried
    client_account: str = ''  # queued accounts are served in turn
    only_upstream: str = ''  # the one upstream allowed; empty for any
    first_attempt: bool = True  # adds to the route's retry budget
    resumed: bool = False  # continues a partly produced answer

    @property
    def queue_level(self) -> int:
        """Queue priority; resumed requests have the highest one."""
        return 0 if self.resumed else self.priority

    def allows(self, upstream: str) -> bool:
        """Whether the request may run at the named upstream."""
        if self.only_upstream:
            return upstream == self.only_upstream
        return upstream not in self.excluded


@attrs.frozen(kw_only=True)
class SlotLoan:
    """A slot that another VM lends for the duration of one request."""

    loan_id: str
    lender: VmIdentity
    upstream: str


@attrs.frozen(kw_only=True)
class Placement:
    """A slot of an upstream, acquired for a request until released."""

    upstream: Upstream
    request: RoutingRequest
    placed_ms: int = 0  # monotonic
    loan: SlotLoan | None = None  # set if the slot belongs to another VM
