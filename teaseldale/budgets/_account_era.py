"""This VM's part in confirming an account in each era of the store."""

from collections.abc import Iterable

import attrs

from teaseldale.budgets._account_book import HeldAccount
from teaseldale.budgets._account_joining import (
    AccountState,
    EarlierKnowledge,
    JoiningHolder,
    holding_vms,
    join_account,
    open_account,
    with_withheld,
)
from teaseldale.budgets._account_rows import (
    AccountRow,
    HolderKey,
    check_of,
    row_write,
)
from teaseldale.budgets._confirmation_rows import (
    CONFIRMATION_KEY,
    ConfirmationRow,
    ReadConfirmationRow,
    decode_confirmation_row,
)
from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.tables import NO_ERA, Row, RowCheck, RowWrite, StoreEras

# Upper bound of the age of a copy that a store returns from, with a margin for
# answers under way.
_LONGEST_LOSS_MS = 12_000
# Time in which VMs that knew the account before can open it.
_OPENING_DELAY_MS = 2000


@attrs.frozen(kw_only=True)
class FoundAccount:
    """Rows of an account as read, with the VMs that may hold grants of it."""

    row: AccountRow
    active_vms: frozenset[str]  # wrote marks before the store returned
    assigned_vms: frozenset[str]  # keepers by the member list

    @property
    def is_empty(self) -> bool:
        """Whether nobody has ever written to the account."""
        return not (self.row.taken_tokens or self.active_vms)


class AccountEra:
    """Joins each era with the grant that this VM held in the one before."""

    def __init__(
        self,
        *,
        holder: HolderKey,
        started_ms: int,
        held: HeldAccount,
        clock: BaseClock,
        eras: StoreEras,
        is_first_start: bool,
    ) -> None:
        """Starts outside of any era."""
        self._holder = holder
        self._started_ms = started_ms
        self._held = held
        self._clock = clock
        self._eras = eras
        self._is_first_start = is_first_start
        self._known_since_ms = clock.monotonic_ms()
        self._earlier: EarlierKnowledge | None = None
        self._prepaid_tokens = 0  # as known soon after the return
        self._log = StateLog(channel='grants')
        self.number = NO_ERA  # of the rows as read
        self.read: ReadConfirmationRow | None = None

    @property
    def is_current(self) -> bool:
        """Whether the rows were read in the store's current era."""
        return self.number == self._eras.current

    @property
    def is_joined(self) -> bool:
        """Whether the account row counts this VM's grant."""
        if self.number == NO_ERA:
            return True
        confirmation = self.confirmation
        return (
            confirmation is not None
            and self._holder.text in confirmation.joined
        )

    @property
    def is_join_due(self) -> bool:
        """Whether others may wait for what this VM knows of the account."""
        return self._earlier is not None and not self.is_joined

    @property
    def confirmation(self) -> ConfirmationRow | None:
        """The confirmation in the current era; None before it is opened."""
        if self.read is None or self.read.row.era != self.number:
            return None
        return self.read.row

    @property
    def awaited_vms(self) -> frozenset[str]:
        """VMs whose grants are not known, so that no tokens are free."""
        if self.read is None:
            return frozenset()
        return frozenset(self.read.row.awaited_vms)

    def leave(self, row: AccountRow, active_vms: frozenset[str]) -> None:
        """Keeps what is known of an account when its era has ended."""
        if self.is_joined and self._holder.vm_name not in self.awaited_vms:
            self._earlier = EarlierKnowledge(
                charged_tokens=row.charged_to_earlier(self._holder),
                vm_names=holding_vms(row) | active_vms | self.awaited_vms,
            )

    def enter(self, era: int) -> None:
        """Enters an era whose rows have not been applied yet."""
        self.number = era
        self.read = None

    def apply(self, row: Row | None) -> None:
        """Applies the confirmation row as read."""
        self.read = None if row is None else decode_confirmation_row(row)

    def checks(self) -> Iterable[RowCheck]:
        """Returns the check that fails for transactions of earlier eras."""
        if self.number == NO_ERA:
            return ()
        revision = 0 if self.read is None else self.read.revision
        return (check_of(CONFIRMATION_KEY, revision),)

    def writes(self, state: AccountState | None) -> Iterable[RowWrite]:
        """Returns the write of a changed confirmation row."""
        if state is None or state.confirmation == self.confirmation:
            return ()
        if self.number == NO_ERA:
            return ()
        return (row_write(CONFIRMATION_KEY, state.confirmation),)

    def acknowledge(self, state: AccountState, revision: int) -> None:
        """Records that the store has committed a state."""
        if self.number == NO_ERA or state.confirmation == self.confirmation:
            return
        if not self.is_joined:
            self._log_joined(state)
        self.read = ReadConfirmationRow(
            row=state.confirmation, revision=revision
        )

    def joined_state(self, found: FoundAccount) -> AccountState | None:
        """Returns the account with this VM joined; None to wait for others."""
        confirmation = self.confirmation
        if confirmation is None:
            state = self._opened(found)
            if state is None:
                return None
        else:
            state = AccountState(row=found.row, confirmation=confirmation)
        joining = JoiningHolder(
            holder=self._holder,
            granted_tokens=self._held.granted_tokens,
            is_complete=self._is_complete(),
            earlier=self._earlier,
            prepaid_tokens=self._early_prepaid_tokens(),
        )
        return with_withheld(join_account(state, joining))

    def changed_state(self, row: AccountRow) -> AccountState:
        """Returns a changed account row with its confirmation."""
        confirmation = self.confirmation or ConfirmationRow(era=self.number)
        if confirmation.awaited_vms:
            known = max(
                confirmation.prepaid_tokens, self._early_prepaid_tokens()
            )
            confirmation = attrs.evolve(confirmation, prepaid_tokens=known)
        return with_withheld(AccountState(row=row, confirmation=confirmation))

    def _log_joined(self, state: AccountState) -> None:
        """Logs the grant that this VM has confirmed."""
        self._log.changed(
            'grant_confirmed',
            account=self._held.account,
            era=self.number,
            granted=self._held.granted_tokens,
            was_known=self._earlier is not None,
            awaited_vms=list(state.confirmation.awaited_vms),
            taken_tokens=state.row.taken_tokens,
        )

    def _opened(self, found: FoundAccount) -> AccountState | None:
        awaited = self._awaited_when_opened(found)
        if awaited is None:
            return None
        return open_account(found.row, era=self.number, awaited_vms=awaited)

    def _awaited_when_opened(self, found: FoundAccount) -> Iterable[str] | None:
        """Returns the VMs to wait for; None to let other VMs open first."""
        if self.read is not None or self._earlier is not None:
            known = found.active_vms | found.assigned_vms | self.awaited_vms
            return known | {self._holder.vm_name}
        if found.is_empty and self._is_complete():
            return ()
        if not self._is_opening_due():
            return None
        # Rows without a confirmation are those of an earlier build.
        return found.assigned_vms if found.is_empty else ()

    def _is_opening_due(self) -> bool:
        seen_ms = self._eras.seen_since_ms or 0
        first_ms = max(seen_ms, self._known_since_ms)
        return self._clock.monotonic_ms() - first_ms >= _OPENING_DELAY_MS

    def _is_complete(self) -> bool:
        """Whether no incarnation of this VM has spent unknown tokens."""
        if self._earlier is not None or self._is_first_start:
            return True
        left_ms = self._eras.left_ms
        if left_ms is not None:
            if self._started_ms <= left_ms - _LONGEST_LOSS_MS:
                return True
        seen_ms = self._eras.seen_since_ms or 0
        return self._known_since_ms - seen_ms >= _LONGEST_LOSS_MS

    def _early_prepaid_tokens(self) -> int:
        """Returns the prepaid tokens that a VM of the lost time may know.

        A later top-up is not affected by the loss.
        """
        seen_ms = self._eras.seen_since_ms or 0
        age_ms = self._clock.monotonic_ms() - seen_ms
        if age_ms < _LONGEST_LOSS_MS or not self._prepaid_tokens:
            self._prepaid_tokens = self._held.prepaid_tokens
        return self._prepaid_tokens
