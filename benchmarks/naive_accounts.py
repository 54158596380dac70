"""Naive ways for VMs to draw on one account."""

import abc

from teaseldale.budgets.tests.account_fleet import ACCOUNT, AccountFleet
from teaseldale.outcomes import PlatformError
from teaseldale.tables import (
    Committed,
    RowCheck,
    RowWrite,
    make_transaction,
)

_TABLE = 'naive'
_TRIES = 8


class BaseSpending(abc.ABC):
    """How a VM pays for its requests."""

    @abc.abstractmethod
    async def pay(self, vm_number: int, tokens: int) -> bool:
        """Sets tokens aside; False refuses the request."""

    def settle(self, vm_number: int, unused_tokens: int) -> None:  # noqa: B027
        """Gives back what a request did not use."""

    def restart(self, vm_number: int) -> None:  # noqa: B027
        """Forgets what a VM had in memory."""


class FixedShares(BaseSpending):
    """Each VM has its part of the account, whatever is asked of it."""

    def __init__(self, *, fleet: AccountFleet) -> None:
        """Divides the account evenly."""
        share = fleet.prepaid_tokens // len(fleet.vms)
        self._left = {vm.number: share for vm in fleet.vms}

    async def pay(self, vm_number: int, tokens: int) -> bool:
        """Pays from the VM's own part."""
        if tokens > self._left[vm_number]:
            return False
        self._left[vm_number] -= tokens
        return True

    def settle(self, vm_number: int, unused_tokens: int) -> None:
        """Adds to the VM's own part."""
        self._left[vm_number] += unused_tokens

    def restart(self, vm_number: int) -> None:
        """Loses the VM's part: nobody knows what was spent of it."""
        self._left[vm_number] = 0


class TransactionalSpending(BaseSpending):
    """Each request is paid by a transaction on the account's row."""

    def __init__(self, *, fleet: AccountFleet) -> None:
        """Uses the tables of the fleet's VMs."""
        self._fleet = fleet
        self._unused_tokens = 0

    async def pay(self, vm_number: int, tokens: int) -> bool:
        """Takes tokens from the row, unless it changes too often."""
        table = self._fleet.vms[vm_number - 1].table
        try:
            for _ in range(_TRIES):
                row = await table.read(table=_TABLE, key=ACCOUNT)
                spent = 0 if row is None else int(row.value or b'0')
                spent -= self._unused_tokens
                if spent + tokens > self._fleet.prepaid_tokens:
                    return False
                self._unused_tokens = 0
                outcome = await table.commit(
                    make_transaction(
                        checks=(
                            RowCheck(
                                table=_TABLE,
                                key=ACCOUNT,
                                revision=0 if row is None else row.revision,
                            ),
                        ),
                        writes=(
                            RowWrite(
                                table=_TABLE,
                                key=ACCOUNT,
                                value=str(spent + tokens).encode(),
                            ),
                        ),
                    ),
                )
                if isinstance(outcome, Committed):
                    return True
        except PlatformError:
            return False
        return False
