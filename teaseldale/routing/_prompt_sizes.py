"""Sizes of recently placed prompts."""

from collections import deque

# Size of the sliding window. At the usual rate of a VM it covers about the last
# half minute and contains some of the longest few per cent of prompts.
_KEPT_PROMPTS = 400
# Minimum number of prompts for an estimate.
_LEAST_PROMPTS = 20
_REFRESH_PROMPTS = 20  # prompts between two evaluations


class PromptSizes:
    """Finds the size above which prompts make up a share of the work."""

    def __init__(self) -> None:
        """Creates an empty window."""
        self._sizes: deque[int] = deque(maxlen=_KEPT_PROMPTS)
        self._added = 0
        self._longest: dict[float, int] = {}

    def add(self, unread_tokens: int) -> None:
        """Adds a prompt by the number of tokens that a runner must prefill.

        Prompts without such tokens are ignored.
        """
        if unread_tokens <= 0:
            return
        self._sizes.append(unread_tokens)
        self._added += 1
        if self._added % _REFRESH_PROMPTS == 0:
            self._longest.clear()

    def longest_tokens(self, work_share: float) -> int | None:
        """Returns the minimum size of the prompts that make up a work share.

        ``work_share`` is a fraction of all prefill tokens in the window.
        Returns None if the window holds too few prompts.
        """
        if len(self._sizes) < _LEAST_PROMPTS:
            return None
        longest = self._longest.get(work_share)
        if longest is None:
            longest = self._find(work_share)
            self._longest[work_share] = longest
        return longest

    def _find(self, work_share: float) -> int:
        left_tokens = sum(self._sizes) * work_share
        ordered = sorted(self._sizes, reverse=True)
        for size in ordered:
            left_tokens -= size
            if left_tokens < 0:
                return size
        return ordered[-1]
