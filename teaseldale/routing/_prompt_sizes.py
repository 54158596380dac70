"""Sizes of recently placed prompts."""

from collections import deque

# Size of the sliding window. At the usual rate of a VM it covers about the last
# half minute and contains some of the longest few per cent of prompts.
_WINDOW_PROMPTS = 400
# Minimum number of prompts for an estimate.
_MIN_PROMPTS = 20
_REFRESH_PROMPTS = 20  # prompts between two evaluations


class PromptSizes:
    """Finds the size above which prompts make up a share of the work."""

    def __init__(self) -> None:
        """Creates an empty window."""
        self._sizes: deque[int] = deque(maxlen=_WINDOW_PROMPTS)
        self._added_count = 0
        self._thresholds: dict[float, int] = {}

    def add(self, unread_tokens: int) -> None:
        """Adds a prompt by the number of tokens that a runner must prefill.

        Prompts without such tokens are ignored.
        """
        if unread_tokens <= 0:
            return
        self._sizes.append(unread_tokens)
        self._added_count += 1
        if self._added_count % _REFRESH_PROMPTS == 0:
            self._thresholds.clear()

    def longest_tokens(self, work_share: float) -> int | None:
        """Returns the minimum size of the prompts that make up a work share.

        ``work_share`` is a fraction of all prefill tokens in the window.
        Returns None if the window holds too few prompts.
        """
        if len(self._sizes) < _MIN_PROMPTS:
            return None
        longest = self._thresholds.get(work_share)
        if longest is None:
            longest = self._compute_threshold(work_share)
            self._thresholds[work_share] = longest
        return longest

    def _compute_threshold(self, work_share: float) -> int:
        remaining_tokens = sum(self._sizes) * work_share
        ordered = sorted(self._sizes, reverse=True)
        for size in ordered:
            remaining_tokens -= size
            if remaining_tokens < 0:
                return size
        return ordered[-1]
