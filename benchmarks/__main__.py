"""Runs every measurement, prints the table and writes JSON and plots.

``make bench`` runs all; ``BENCH_FLAGS=--quick`` runs fewer sizes.
``--only=NAME`` runs ``measure_NAME`` alone.
"""

import fire

from benchmarks.collect import measure_all
from benchmarks.plots import write_plots
from benchmarks.report import print_table, write_json


def main(*, quick: bool = False, only: str = '') -> None:
    """Runs the measurements; exits with 1 if a row is not held."""
    measured = measure_all(quick=quick, only=only)
    print_table(measured)
    write_json(measured)
    write_plots(measured)
    if measured.failures or not all(
        row.held for module in measured.modules for row in module.rows
    ):
        raise SystemExit(1)


if __name__ == '__main__':
    fire.Fire(main)
