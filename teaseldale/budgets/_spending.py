"""Interface through which requests spend from budgets."""

import abc

import attrs

from teaseldale.outcomes import Refusal
from teaseldale.requests import RequestIdentity, Settlement


@attrs.frozen(kw_only=True)
class Reservation:
    """Tokens set aside for one request in each of its budgets."""

    request: RequestIdentity
    budgets: tuple[str, ...]
    tokens: int  # upper bound of the request's use
    holder: str = ''  # key of the holder that pays, empty without grants


@attrs.frozen(kw_only=True)
class BudgetState:
    """What the table service says of a budget."""

    name: str
    topped_up_tokens: int  # credited since the budget was created
    billed_tokens: int  # settled for good
    open_tokens: int  # reserved or granted, and not yet billed

    @property
    def free_tokens(self) -> int:
        """Tokens that can still be reserved or granted."""
        return self.topped_up_tokens - self.billed_tokens - self.open_tokens


class BaseSpending(abc.ABC):
    """Reserves tokens before a request runs and settles its use after."""

    @abc.abstractmethod
    async def reserve(
        self,
        *,
        request: RequestIdentity,
        budgets: tuple[str, ...],
        tokens: int,
    ) -> Reservation | Refusal:
        """Sets ``tokens`` aside in all ``budgets``, or in none."""

    @abc.abstractmethod
    async def settle(
        self,
        reservation: Reservation,
        *,
        used_tokens: int,
    ) -> Settlement | Refusal:
        """Bills ``used_tokens``, at most those reserved; frees the rest.

        A refusal says that nothing was billed, since the grant was lost; the
        answer may not end then.
        """
