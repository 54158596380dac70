"""Combination of one VM's estimate with those received from other VMs.

The estimate is a weighted mean of logarithms that are bounded to a distance
from their weighted median (Huber 1964). One VM that differs from all others
thereby has at most the effect of an outlier, however fresh its values are.
"""

import itertools
import math
from collections.abc import Callable, Sequence

import attrs

_MAX_DISTANCE = math.log(1.5)  # as of an outlier in ``PaceFilter``
# Largest weight of a value in relation to all others together: below 1, so that
# the median is not the value of a VM that differs from all others.
_MAX_RELATIVE_WEIGHT = 0.99


@attrs.frozen(kw_only=True)
class WeightedLog:
    """Logarithm of an estimate of one VM."""

    log_value: float
    weight: float


@attrs.frozen(kw_only=True)
class Agreement:
    """Combined estimate."""

    log_value: float
    # Whether it is based on own samples or on those of at least two VMs that
    # agree.
    is_confirmed: bool


@attrs.define(kw_only=True)
class AgreementCache:
    """Agreement that holds until a value is added or has expired.

    All weights decay with the same time constant, so their proportions stay.
    """

    _agreement: Agreement | None = attrs.field(default=None, init=False)
    _valid_until_ms: float = attrs.field(default=-math.inf, init=False)

    def find(
        self,
        now_ms: int,
        compute: Callable[[int], tuple[Agreement | None, float]],
    ) -> Agreement | None:
        """Returns the agreement; computes it and its expiry if needed."""
        if now_ms > self._valid_until_ms:
            agreement, valid_until_ms = compute(now_ms)
            self._agreement = agreement
            self._valid_until_ms = valid_until_ms
        return self._agreement

    def invalidate(self) -> None:
        """Has the agreement computed again."""
        self._valid_until_ms = -math.inf


def combine(
    own: WeightedLog | None,
    received: Sequence[WeightedLog],
) -> Agreement | None:
    """Returns the estimate of all VMs, or None if there are no values."""
    if own is None:
        return _combine_received(received)
    if not received:
        return Agreement(log_value=own.log_value, is_confirmed=True)
    # One other VM can't be told from an outlier.
    center = own.log_value
    if len(received) > 1:
        center = _median((own, *received))
    return Agreement(
        log_value=_bounded_mean((own, *received), center),
        is_confirmed=True,
    )


def _combine_received(received: Sequence[WeightedLog]) -> Agreement | None:
    if not received:
        return None
    center = _median(received)
    near_count = sum(
        abs(value.log_value - center) <= _MAX_DISTANCE for value in received
    )
    return Agreement(
        log_value=_bounded_mean(received, center),
        is_confirmed=near_count > 1,
    )


def _median(values: Sequence[WeightedLog]) -> float:
    """Returns the weighted median; no value outweighs all others."""
    if len(values) == 1:
        return values[0].log_value
    total = sum(value.weight for value in values)
    ordered = sorted(values, key=lambda value: value.log_value)
    weights = [
        min(value.weight, (total - value.weight) * _MAX_RELATIVE_WEIGHT)
        for value in ordered
    ]
    half = sum(weights) / 2
    sums = itertools.accumulate(weights)
    return next(
        (
            value.log_value
            for value, weight_sum in zip(ordered, sums, strict=True)
            if weight_sum >= half
        ),
        ordered[-1].log_value,
    )


def _bounded_mean(values: Sequence[WeightedLog], center: float) -> float:
    total = sum(value.weight for value in values)
    if not total > 0:
        return center
    distances = (
        value.weight
        * max(-_MAX_DISTANCE, min(_MAX_DISTANCE, value.log_value - center))
        for value in values
    )
    return center + sum(distances) / total
