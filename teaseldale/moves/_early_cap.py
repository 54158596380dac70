"""Limit on the requests that a VM sends to a new version without evidence."""

_PERMILLE = 1000


class EarlyCap:
    """Keeps random draws from exceeding the bound on the early share."""

    def __init__(self, *, largest_permille: int) -> None:
        """Admits at most ``largest_permille`` of the requests, plus one."""
        self._largest_permille = largest_permille
        self._admitted = 0
        self._total = 0

    def count_old(self) -> None:
        """Counts a request to the old version."""
        self._total += 1

    def admit(self, share_permille: int) -> bool:
        """Counts a request; returns whether the new version may serve it.

        Shares above the bound are set only on evidence and always admitted.
        """
        self._total += 1
        early = share_permille <= self._largest_permille
        bound = self._largest_permille * self._total
        if early and self._admitted * _PERMILLE > bound:
            return False
        self._admitted += 1
        return True
