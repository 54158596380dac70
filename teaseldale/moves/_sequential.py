"""Bounds on a probability that hold at every moment at once.

For ``count`` events in ``trials`` the mixture of all binomial likelihoods
under a Beta(1/2, 1/2) weight, divided by the likelihood at the true
probability, is a martingale that starts at 1. By Ville's inequality it passes
``1 / error_rate`` at any time with probability ``error_rate`` at most, however
often one looks. The bounds are the probabilities for which it has not.
"""

import math

_BISECTIONS = 24
_HALF = 0.5
_SMALLEST = 1e-9


def lower_bound(count: int, trials: int, error_rate: float) -> float:
    """Returns the least probability that is not excluded."""
    if count == 0:
        return 0
    test = _MixtureTest(count, trials, error_rate)
    return test.edge(_SMALLEST, count / trials)


def upper_bound(count: int, trials: int, error_rate: float) -> float:
    """Returns the greatest probability that is not excluded."""
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
        """Bisects between an excluded probability and one that is not."""
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
