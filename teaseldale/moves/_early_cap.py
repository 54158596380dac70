"""Bound on requests that a VM sends to a new version before evidence."""

_PERMILLE = 1000


class EarlyCap:
    """Counts requests, so that chance can't take the share above its bound."""

    def __init__(self, *, largest_permille: int) -> None:
        """Admits ``largest_permille`` of all requests counted, and one more."""
        self._largest_permille = largest_permille
        self._admitted = 0
        self._total = 0

    def count_old(self) -> None:
        """Notes a request at the old version."""
        self._total += 1

    def admit(self, share_permille: int) -> bool:
        """Counts a request; whether it may go to the new version.

        Shares above the bound are ordered on evidence only and are admitted.
        """
        self._total += 1
        early = share_permille <= self._largest_permille
        bound = self._largest_permille * self._total
        if early and self._admitted * _PERMILLE > bound:
            return False
        self._admitted += 1
        return True
