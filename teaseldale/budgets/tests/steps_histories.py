"""Steps for random histories of spending from fixed seeds."""

import concurrent.futures
import multiprocessing
import pathlib

from behave import then, when

from teaseldale.budgets.tests.histories import run_seeds

_PROCESSES = 4
_SHARE = 50
_KNOWN_RED = pathlib.Path('KNOWN-RED.txt')
_KNOWN_RED_ENTRY = 'spending histories\n'
_SEED_LINE = 'seed: '


def known_red_seeds():
    """Returns the seeds listed as known failures in KNOWN-RED.txt."""
    _, _, entry = _KNOWN_RED.read_text().partition(_KNOWN_RED_ENTRY)
    for line in entry.splitlines():
        if line.startswith(_SEED_LINE):
            return set(line.removeprefix(_SEED_LINE).split())
    return set()


@when('{count:d} histories of {steps:d} steps are run')
def run_many(context, count, steps):
    shares = [
        [str(seed) for seed in range(first, min(first + _SHARE, count))]
        for first in range(0, count, _SHARE)
    ]
    spawning = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(
        _PROCESSES,
        mp_context=spawning,
    ) as pool:
        outcomes = list(pool.map(run_seeds, shares, [steps] * len(shares)))
    context.failures = [failure for share in outcomes for failure in share]


@then('only histories listed as known failures have failed')
def failures_are_known(context):
    known = known_red_seeds()
    new = [
        (failure.seed, failure.error.strip().splitlines()[-1])
        for failure in context.failures
        if failure.seed not in known
    ]
    assert not new, new
