"""Decides whether this VM's link has capacity for another request.

A request that is refused before its body is read is sent again to another VM.
Refusals start well before the link is full, since callers wait outside the
process on a full link. Their share rises with the load: large and less urgent
requests are refused first, and never all of a kind, so that the callers do not
all move at once.
"""

import math
import random

import attrs

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.routing._link_window import LinkLoad, LinkWindow
from teaseldale.routing._readiness_breaks import ReadinessBreaks

_MS_PER_SECOND = 1000
# Nothing is refused below the lower share. Refusals start at the higher one and
# end at the lower one.
_REFUSING_FROM_SHARE = 0.75
_REFUSING_UNTIL_SHARE = 0.7
# The smallest and most urgent requests are refused from a load that is higher
# by this share.
_VALUE_SHARE = 0.12
# Increase of the load over which the refused part rises from none to the most.
# A full link measures 0.85 to 0.95, as not all packets are counted.
_RISE_SHARE = 0.12
_MOST_REFUSED = 0.9
# Bodies of these sizes and beyond count as smallest and as largest.
_SMALLEST_BODY_BYTES = 1024
_LARGEST_BODY_BYTES = 65_536
# Part of the link that a request gets at least, in estimates of its duration.
_LEAST_FREE_SHARE = 0.05
# Another VM can serve the request at once; the spread keeps retries apart.
_RETRY_AFTER_MS = 50
_RETRY_SPREAD_MS = 100
# Callers honour a retry delay up to one third of their remaining time.
_RETRY_TIME_SHARE = 3


@attrs.frozen(kw_only=True)
class CapacityRequest:
    """What the decision needs to know of a request."""

    body_bytes: int | None  # None if the length is not known beforehand
    priority: int  # rank, 0 is the most urgent
    left_ms: int  # until the deadline


@attrs.frozen(kw_only=True)
class CapacityRefusal:
    """A request for which this VM has no capacity."""

    retry_after_ms: int


class VmCapacity:
    """Load of the VM's link, and the decisions that depend on it."""

    def __init__(
        self,
        *,
        link: LinkWindow,
        clock: BaseClock,
        metrics: Metrics,
        random_source: random.Random,
    ) -> None:
        """Decides by ``link``; refuses nothing if its rate is not known."""
        self._link = link
        self._metrics = metrics
        self._random = random_source
        self._is_refusing = False
        self._breaks = ReadinessBreaks(
            clock=clock,
            metrics=metrics,
            random_source=random_source,
        )
        self._log = StateLog(channel='capacity')

    @property
    def is_ready(self) -> bool:
        """Returns whether the load balancer may send new connections."""
        self.update()
        return self._breaks.is_ready

    @property
    def closes_connection(self) -> bool:
        """Returns whether the next answer should close its connection.

        All do while the load balancer sends new connections to other VMs.
        """
        return self._breaks.is_noticed

    def update(self) -> LinkLoad:
        """Applies the current load of the link and returns it.

        Called for each request and each readiness check, and several times a
        second by the load reporter.
        """
        load = self._link.load()
        share = load.busiest_share
        limit_share = (
            _REFUSING_UNTIL_SHARE if self._is_refusing else _REFUSING_FROM_SHARE
        )
        is_refusing = share >= limit_share
        if is_refusing != self._is_refusing:
            self._is_refusing = is_refusing
            self._log.changed(
                'vm_capacity_changed',
                is_refusing=is_refusing,
                link_percent=round(share * 100),
            )
        self._breaks.update(share)
        return load

    def decide(self, request: CapacityRequest) -> CapacityRefusal | None:
        """Returns a refusal if the link has no capacity for a request.

        Called once for each request, before its body is read.
        """
        load = self.update()
        if not self._is_refusing:
            return None
        reason = self._find_reason(request, load)
        if reason is None:
            return None
        self._metrics.increment('link_refusals', reason)
        spread_ms = self._random.randrange(_RETRY_SPREAD_MS)
        longest_ms = request.left_ms // _RETRY_TIME_SHARE
        return CapacityRefusal(
            retry_after_ms=max(1, min(_RETRY_AFTER_MS + spread_ms, longest_ms)),
        )

    def _find_reason(
        self, request: CapacityRequest, load: LinkLoad
    ) -> str | None:
        if self._transfer_ms(request, load) > request.left_ms:
            return 'too late'
        refused_part = _refused_part(request, load.busiest_share)
        if refused_part > 0 and self._random.random() < refused_part:
            return 'link full'
        return None

    def _transfer_ms(self, request: CapacityRequest, load: LinkLoad) -> float:
        """Estimates the time to read the body and to forward it."""
        scaled_bytes = (request.body_bytes or 0) * _MS_PER_SECOND
        whole_link_ms = scaled_bytes / self._link.link_bytes_per_s
        return whole_link_ms / _free_share(load.received_share) + (
            whole_link_ms / _free_share(load.sent_share)
        )


def _free_share(used_share: float) -> float:
    return max(_LEAST_FREE_SHARE, 1 - used_share)


def _refused_part(request: CapacityRequest, busiest_share: float) -> float:
    """Returns the part of such requests to refuse, 0 to below 1."""
    value = (_smallness(request.body_bytes) + _urgency(request.priority)) / 2
    from_share = _REFUSING_UNTIL_SHARE + value * _VALUE_SHARE
    return min(_MOST_REFUSED, (busiest_share - from_share) / _RISE_SHARE)


def _smallness(body_bytes: int | None) -> float:
    """Returns 1 for the smallest bodies and 0 for the largest ones.

    A body of unknown length counts as one of the largest.
    """
    if body_bytes is None:
        return 0
    bounded = min(max(body_bytes, _SMALLEST_BODY_BYTES), _LARGEST_BODY_BYTES)
    return math.log(_LARGEST_BODY_BYTES / bounded) / math.log(
        _LARGEST_BODY_BYTES / _SMALLEST_BODY_BYTES,
    )


def _urgency(priority: int) -> float:
    """Returns 1 for the most urgent rank, and less for each further one."""
    return 1 / (1 + max(0, priority))
