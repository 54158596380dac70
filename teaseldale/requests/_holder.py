"""A VM incarnation as holder of grants, with its validity."""

import attrs

from teaseldale.clock import BaseClock
from teaseldale.peers import VmIdentity

HOLDER_VALIDITY_MS = 4_500_000
HOLDER_DRIFT_MS = 60_000


@attrs.frozen(kw_only=True)
class Settlement:
    """The bill of one request, numbered by the holder that pays."""

    holder: str  # key of the holder, empty without grants
    sequence: int  # grows by one with each settlement of the holder
    budgets: tuple[str, ...]
    used_tokens: int  # billed to each of the budgets
    request: str = ''  # text of the request's identity


class SpendingHolder:
    """Identity under which a VM spends, and until when it may.

    A holder whose grants were recovered by others is replaced by one of the
    next epoch; nothing of the earlier one is valid for it.
    """

    def __init__(
        self,
        *,
        vm: VmIdentity,
        clock: BaseClock,
        validity_ms: int = HOLDER_VALIDITY_MS,
    ) -> None:
        """Creates a holder that is not valid before its first renewal."""
        self.vm = vm
        self.settled_through = 0  # last sequence that the table includes
        self.validity_ms = validity_ms
        self.registered = False  # the table service knows the holder
        self.fenced_by_peer = False  # a witness refused this holder
        self._clock = clock
        self._epoch = 1
        self._last_sequence = 0
        self._valid_until_ms = 0
        self.needs_witness = False  # a bill waits until it is witnessed
        self._unwitnessed: set[int] = set()
        self.late: dict[tuple[str, int], Settlement] = {}

    @property
    def key(self) -> str:
        """Unique text of the holder, used in table keys."""
        return '.'.join((self.vm.key, str(self._epoch)))

    @property
    def valid(self) -> bool:
        """Whether grants of this holder may be spent now."""
        return self._clock.monotonic_ms() < self._valid_until_ms

    def renew(self, *, sent_ms: int) -> None:
        """Extends validity; ``sent_ms`` is from before the renewal left."""
        self._valid_until_ms = max(
            self._valid_until_ms,
            sent_ms + self.validity_ms,
        )

    def includes(self, settlement: Settlement) -> bool:
        """Whether the bill is in the table service for good."""
        if settlement.holder == self.key:
            return settlement.sequence <= self.settled_through
        return (settlement.holder, settlement.sequence) not in self.late

    def next_sequence(self) -> int:
        """Numbers a settlement."""
        self._last_sequence += 1
        if self.needs_witness:
            self._unwitnessed.add(self._last_sequence)
        return self._last_sequence

    def note_witnessed(self, settlement: Settlement) -> None:
        """Lets the bill go to the table service."""
        if settlement.holder == self.key:
            self._unwitnessed.discard(settlement.sequence)

    def may_bill(self, settlement: Settlement) -> bool:
        """Whether the bill may go to the table service."""
        return settlement.sequence not in self._unwitnessed

    def replace(self) -> None:
        """Goes over to the next epoch, which is not valid yet."""
        self._epoch += 1
        self._last_sequence = 0
        self._unwitnessed.clear()
        self.settled_through = 0
        self.fenced_by_peer = False
        self._valid_until_ms = 0
