"""Interface through which requests spend from budgets."""

import abc

import attrs

from teaseldale.outcomes import Refusal
from teaseldale.requests import RequestIdentity, Settlement


@attrs.frozen(kw_only=True)
class Reservation:
    """Tokens reserved for one request in each of its budgets."""

    request: RequestIdentity
    budgets: tuple[str, ...]
    tokens: int  # upper bound of the request's use
    holder: str = ''  # key of the paying holder, empty without grants


@attrs.frozen(kw_only=True)
class BudgetState:
    """Totals of a budget in the table service."""

    name: str
    topped_up_tokens: int  # credited since the budget was created
    billed_tokens: int  # settled
    open_tokens: int  # reserved or granted, and not yet billed

    @property
    def free_tokens(self) -> int:
        """Tokens that are available for reservations and grants."""
        return self.topped_up_tokens - self.billed_tokens - self.open_tokens


class BaseSpending(abc.ABC):
    """Reserves tokens before a request runs and settles its use afterwards."""

    @abc.abstractmethod
    async def reserve(
        self,
        *,
        request: RequestIdentity,
        budgets: tuple[str, ...],
        tokens: int,
    ) -> Reservation | Refusal:
        """Reserves ``tokens`` in all ``budgets``, or in none."""

    @abc.abstractmethod
    async def settle(
        self,
        reservation: Reservation,
        *,
        used_tokens: int,
    ) -> Settlement | Refusal:
        """Bills ``used_tokens``, capped at the reservation; frees the rest.

        A refusal means that nothing was billed because the grant was lost; the
        answer must not be completed then.
        """
