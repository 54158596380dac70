"""Runs random spending histories over more seeds than the tests do.

``python -m benchmarks.histories --first=2000 --count=500 --steps=80`` prints
each history that violated an invariant and exits with status 1 if any did.
"""

import sys

import fire

from teaseldale.budgets.tests.histories import run_seeds


def main(*, first: int = 2000, count: int = 500, steps: int = 50) -> None:
    """Runs ``count`` histories of ``steps`` steps, starting at ``first``."""
    failed = 0
    for seed in range(first, first + count):
        for failure in run_seeds([str(seed)], steps):
            failed += 1
            print(f'seed {seed}:', failure.error.strip().splitlines()[-1])
    print(f'{count - failed} of {count} histories held every invariant')
    if failed:
        sys.exit(1)


if __name__ == '__main__':
    fire.Fire(main)
