"""A VM incarnation as the holder of grants, and its validity period."""

import attrs

from teaseldale.clock import BaseClock
from teaseldale.peers import VmIdentity

HOLDER_VALIDITY_MS = 4_500_000
HOLDER_DRIFT_MS = 60_000


@attrs.frozen(kw_only=True)
class Settlement:
    """The bill of one request, numbered in sequence by its holder."""

    holder: str  # key of the paying holder; empty without grants
    sequence: int  # increases by one with each settlement of the holder
    budgets: tuple[str, ...]
    used_tokens: int  # billed to each of the budgets
    request: str = ''  # ``RequestIdentity.text``


class SpendingHolder:
    """Identity under which a VM spends grants, valid for a limited time.

    When peers recover a holder's grants, the VM starts a new epoch with another
    key; grants and sequence numbers of the old epoch are not valid in it.
    """

    def __init__(
        self,
        *,
        vm: VmIdentity,
        clock: BaseClock,
        validity_ms: int = HOLDER_VALIDITY_MS,
    ) -> None:
        """Creates a holder that becomes valid with its first renewal."""
        self.vm = vm
        self.settled_through = 0  # last sequence in the table service
        self.validity_ms = validity_ms
        self.registered = False  # whether the holder's row exists
        self.fenced_by_peer = False  # whether a witness rejected this holder
        self._clock = clock
        self._epoch = 1
        self._last_sequence = 0
        self._valid_until_ms = 0
        self.needs_witness = False  # whether bills need a witness before commit
        self._unwitnessed: set[int] = set()
        self.late_settlements: dict[tuple[str, int], Settlement] = {}

    @property
    def key(self) -> str:
        """Unique name of VM incarnation and epoch, used in table keys."""
        return '.'.join((self.vm.key, str(self._epoch)))

    @property
    def valid(self) -> bool:
        """Whether the validity period has not expired."""
        return self._clock.monotonic_ms() < self._valid_until_ms

    def renew(self, *, sent_ms: int) -> None:
        """Extends validity; ``sent_ms`` is read before the renewal is sent."""
        self._valid_until_ms = max(
            self._valid_until_ms,
            sent_ms + self.validity_ms,
        )

    def is_committed(self, settlement: Settlement) -> bool:
        """Whether the bill is committed in the table service."""
        if settlement.holder == self.key:
            return settlement.sequence <= self.settled_through
        return (
            settlement.holder,
            settlement.sequence,
        ) not in self.late_settlements

    def next_sequence(self) -> int:
        """Returns the sequence number for a new settlement."""
        self._last_sequence += 1
        if self.needs_witness:
            self._unwitnessed.add(self._last_sequence)
        return self._last_sequence

    def note_witnessed(self, settlement: Settlement) -> None:
        """Marks the bill as replicated, so that it may be committed."""
        if settlement.holder == self.key:
            self._unwitnessed.discard(settlement.sequence)

    def may_commit(self, settlement: Settlement) -> bool:
        """Whether the bill may be committed to the table service."""
        return settlement.sequence not in self._unwitnessed

    def start_next_epoch(self) -> None:
        """Starts the next epoch, which is not valid until it is renewed."""
        self._epoch += 1
        self._last_sequence = 0
        self._unwitnessed.clear()
        self.settled_through = 0
        self.fenced_by_peer = False
        self._valid_until_ms = 0
