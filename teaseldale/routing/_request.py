"""What a request asks of the router and what it is given."""

import attrs

from teaseldale.notes import Upstream
from teaseldale.peers import VmIdentity


@attrs.frozen(kw_only=True)
class RoutingRequest:
    """What the choice of an upstream depends on."""

    route: str
    version: str  # only upstreams of this version may run the request
    prompt: str  # prefix decides about cache affinity
    priority: int  # 0 is the highest
    deadline_ms: int  # monotonic time by which the answer is wanted
    excluded: frozenset[str] = frozenset()  # upstreams tried already
    client_account: str = ''  # accounts wait in turn
    only_upstream: str = ''  # the one upstream allowed; empty for any
    first_attempt: bool = True  # first attempts earn the route retries
    resumed: bool = False  # part of the answer has been produced already

    @property
    def queue_level(self) -> int:
        """Place in the queue; begun answers go with the highest priority."""
        return 0 if self.resumed else self.priority

    def allows(self, upstream: str) -> bool:
        """Whether the request may run at the upstream of this name."""
        if self.only_upstream:
            return upstream == self.only_upstream
        return upstream not in self.excluded


@attrs.frozen(kw_only=True)
class SlotLoan:
    """A slot that another VM has lent for one request."""

    loan_id: str
    lender: VmIdentity
    upstream: str


@attrs.frozen(kw_only=True)
class Placement:
    """A slot of an upstream, held until it is released."""

    upstream: Upstream
    request: RoutingRequest
    placed_ms: int = 0  # monotonic
    loan: SlotLoan | None = None  # if the slot is another VM's
