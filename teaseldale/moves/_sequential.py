"""Confidence bounds on a probability that hold at all times simultaneously.

For ``count`` events in ``trials`` the mixture of all binomial likelihoods
under a Beta(1/2, 1/2) weight, divided by the likelihood at the true
probability, is a martingale that starts at 1. By Ville's inequality it ever
exceeds ``1 / error_rate`` with probability at most ``error_rate``, regardless
of the number of evaluations. The bounds enclose the probabilities for which
it has not done so.

The bound on a difference uses a mixture of normal likelihoods in the same
way; it is an approximation that needs some hundreds of trials per sample.
"""

import math

import attrs

_BISECTIONS = 24
_HALF = 0.5
_SMALLEST = 1e-9
_TUNED_TRIALS = 500  # number at which the difference bound is tightest


@attrs.frozen(kw_only=True)
class Sample:
    """Number of events in a number of trials."""

    count: int
    trials: int

    @property
    def share(self) -> float:
        """Fraction of the trials with the event."""
        return self.count / self.trials


def difference_bound(
    first: Sample,
    second: Sample,
    error_rate: float,
) -> float:
    """Returns the upper bound on the share of ``first`` minus ``second``."""
    trials = first.trials + second.trials
    pooled = (first.count + second.count + 1) / (trials + 2)
    effective = first.trials * second.trials / trials
    growth = math.log1p(effective / _TUNED_TRIALS) - 2 * math.log(error_rate)
    factor = 1 + _TUNED_TRIALS / effective
    variance = pooled * (1 - pooled) / effective
    return first.share - second.share + math.sqrt(variance * factor * growth)


def lower_bound(count: int, trials: int, error_rate: float) -> float:
    """Returns the smallest probability that is not excluded."""
    if count == 0:
        return 0
    test = _MixtureTest(count, trials, error_rate)
    return test.edge(_SMALLEST, count / trials)


def upper_bound(count: int, trials: int, error_rate: float) -> float:
    """Returns the largest probability that is not excluded."""
    if count == trials:
        return 1
    test = _MixtureTest(count, trials, error_rate)
    return test.edge(1 - _SMALLEST, count / trials)


class _MixtureTest:
    def __init__(self, count: int, trials: int, error_rate: float) -> None:
        self._count = count
        self._rest = trials - count
        self._limit = _log_mixture(count, self._rest) + math.log(error_rate)

    def edge(self, outside: float, inside: float) -> float:
        """Bisects between an excluded and an accepted probability."""
        if not self._excluded(outside):
            return outside
        for _ in range(_BISECTIONS):
            middle = (outside + inside) / 2
            if self._excluded(middle):
                outside = middle
            else:
                inside = middle
        return outside

    def _excluded(self, probability: float) -> bool:
        log_likelihood = float(0)
        if self._count:
            log_likelihood += self._count * math.log(probability)
        if self._rest:
            log_likelihood += self._rest * math.log1p(-probability)
        return log_likelihood < self._limit


def _log_mixture(count: int, rest: int) -> float:
    return _log_beta(count + _HALF, rest + _HALF) - _log_beta(_HALF, _HALF)


def _log_beta(first: float, second: float) -> float:
    return (
        math.lgamma(first) + math.lgamma(second) - math.lgamma(first + second)
    )
