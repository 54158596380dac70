"""Retries allowed to one VM within a sliding window, for each service."""

from collections import deque
from collections.abc import Callable

import attrs

from teaseldale.clock import BaseClock

# Slices of a window: requests and retries are counted in each, which bounds
# the memory at any load. The window that is checked is one slice longer.
_SLICE_COUNT = 20
# Part of the fleet's extra retries that the VMs use together. The rest covers
# VMs that do not know of each other yet.
_EXTRA_SHARE = 0.8


@attrs.define(kw_only=True)
class _Slice:
    number: int
    request_count: int = 0
    retry_count: int = 0


class RetryWindow:
    """Allows a share of a service's own requests and a part of the extra."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        share: float,
        extra_count: int,
        window_ms: int,
        vm_count: Callable[[], int],
    ) -> None:
        """``extra_count`` is shared by the VMs that ``vm_count`` returns."""
        self._clock = clock
        self._share = share
        self._extra_count = extra_count
        self._slice_ms = max(1, window_ms // _SLICE_COUNT)
        self._slices: dict[str, deque[_Slice]] = {}
        self._vm_count = vm_count

    def note_request(self, service: str) -> None:
        """Counts a request of a caller."""
        self._newest(service).request_count += 1

    def take_retry(self, service: str) -> bool:
        """Takes one retry; False if the window allows no more."""
        newest = self._newest(service)
        slices = self._slices[service]
        # The oldest slice may lie before the window in part: its retries count,
        # its requests do not.
        requests = sum(
            part.request_count
            for part in slices
            if part.number > newest.number - _SLICE_COUNT
        )
        retries = sum(part.retry_count for part in slices)
        extra = self._extra_count * _EXTRA_SHARE / max(self._vm_count(), 1)
        if retries + 1 > requests * self._share + extra:
            return False
        newest.retry_count += 1
        return True

    def _newest(self, service: str) -> _Slice:
        slices = self._slices.setdefault(service, deque())
        number = self._clock.monotonic_ms() // self._slice_ms
        while slices and slices[0].number < number - _SLICE_COUNT:
            slices.popleft()
        if not slices or slices[-1].number != number:
            slices.append(_Slice(number=number))
        return slices[-1]
