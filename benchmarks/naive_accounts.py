"""Naive strategies for several VMs that spend from one account."""

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
_MAX_ATTEMPTS = 8


class BaseSpending(abc.ABC):
    """Strategy by which a VM pays for its requests."""

    @abc.abstractmethod
    async def pay(self, vm_number: int, tokens: int) -> bool:
        """Reserves tokens; returns False if the request must be refused."""

    def settle(self, vm_number: int, unused_tokens: int) -> None:  # noqa: B027
        """Returns the tokens that a request did not use."""

    def restart(self, vm_number: int) -> None:  # noqa: B027
        """Discards the in-memory state of a VM."""


class FixedShares(BaseSpending):
    """Gives each VM an equal share of the account, whatever its demand."""

    def __init__(self, *, fleet: AccountFleet) -> None:
        """Divides the prepaid tokens evenly among the VMs."""
        share = fleet.prepaid_tokens // len(fleet.vms)
        self._remaining_tokens = {vm.number: share for vm in fleet.vms}

    async def pay(self, vm_number: int, tokens: int) -> bool:
        """Reserves from the VM's own share."""
        if tokens > self._remaining_tokens[vm_number]:
            return False
        self._remaining_tokens[vm_number] -= tokens
        return True

    def settle(self, vm_number: int, unused_tokens: int) -> None:
        """Returns tokens to the VM's own share."""
        self._remaining_tokens[vm_number] += unused_tokens

    def restart(self, vm_number: int) -> None:
        """Drops the VM's share: what was spent of it is not stored."""
        self._remaining_tokens[vm_number] = 0


class TransactionalSpending(BaseSpending):
    """Commits one transaction on the account's row for each request."""

    def __init__(self, *, fleet: AccountFleet) -> None:
        """Uses the table clients of the fleet's VMs."""
        self._fleet = fleet
        self._unused_tokens = 0

    async def pay(self, vm_number: int, tokens: int) -> bool:
        """Reserves from the row; refuses after too many commit conflicts."""
        table = self._fleet.vms[vm_number - 1].table
        try:
            for _ in range(_MAX_ATTEMPTS):
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
