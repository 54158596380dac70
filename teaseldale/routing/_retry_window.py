"""Limit on a VM's retries per service within a sliding window."""

from collections import deque
from collections.abc import Callable

import attrs

from teaseldale.clock import BaseClock

# Requests and retries are counted per slice of the window, which bounds memory
# at any load. The window that is checked is one slice longer.
_SLICE_COUNT = 20
# Share of the fleet's extra retries that is divided among the known VMs. The
# rest covers VMs that have not discovered each other yet.
_EXTRA_SHARE = 0.8


@attrs.define(kw_only=True)
class _Slice:
    number: int
    request_count: int = 0
    retry_count: int = 0


class RetryWindow:
    """Allows retries for a share of requests plus a part of the extra ones."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        share: float,
        extra_count: int,
        window_ms: int,
        vm_count: Callable[[], int],
    ) -> None:
        """Creates a limit for windows of ``window_ms``.

        ``share`` is the number of retries per request of a service;
        ``extra_count`` further ones per window are divided among the VMs
        that ``vm_count`` counts.
        """
        self._clock = clock
        self._share = share
        self._extra_count = extra_count
        self._slice_ms = max(1, window_ms // _SLICE_COUNT)
        self._slices: dict[str, deque[_Slice]] = {}
        self._vm_count = vm_count

    def note_request(self, service: str) -> None:
        """Counts a request that a caller sent to a service."""
        self._current_slice(service).request_count += 1

    def take_retry(self, service: str) -> bool:
        """Consumes one retry; returns False if the window allows no more."""
        current_slice = self._current_slice(service)
        slices = self._slices[service]
        # The oldest slice may be partly outside the window: to stay within the
        # limit, its retries are counted but its requests are not.
        requests = sum(
            window_slice.request_count
            for window_slice in slices
            if window_slice.number > current_slice.number - _SLICE_COUNT
        )
        retries = sum(window_slice.retry_count for window_slice in slices)
        extra = self._extra_count * _EXTRA_SHARE / max(self._vm_count(), 1)
        if retries + 1 > requests * self._share + extra:
            return False
        current_slice.retry_count += 1
        return True

    def _current_slice(self, service: str) -> _Slice:
        slices = self._slices.setdefault(service, deque())
        number = self._clock.monotonic_ms() // self._slice_ms
        while slices and slices[0].number < number - _SLICE_COUNT:
            slices.popleft()
        if not slices or slices[-1].number != number:
            slices.append(_Slice(number=number))
        return slices[-1]
