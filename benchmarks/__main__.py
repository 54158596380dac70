"""Runs all measurements, prints the results and writes JSON files and plots.

``make bench`` runs everything; ``BENCH_FLAGS=--quick`` measures fewer sizes.
``--only=NAME`` runs only ``measure_NAME``.
"""

import fire

from benchmarks.collect import measure_all
from benchmarks.plots import write_plots
from benchmarks.report import print_table, write_json


def main(*, quick: bool = False, only: str = '') -> None:
    """Runs the measurements; exits with 1 on an error or a missed bound."""
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
