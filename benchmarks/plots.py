"""Plots slopes as SVG files."""

import matplotlib

matplotlib.use('svg')

import matplotlib.pyplot as pyplot  # noqa: E402

from benchmarks.collect import Measured  # noqa: E402
from benchmarks.report import RESULTS_FOLDER  # noqa: E402
from benchmarks.rows import Slope  # noqa: E402


def write_plots(measured: Measured) -> None:
    """Writes ``build/bench/<slope>.svg`` for each slope."""
    for module in measured.modules:
        for slope in module.slopes:
            _plot(slope)


def _plot(slope: Slope) -> None:
    figure, axes = pyplot.subplots(figsize=(6, 4))
    axes.plot(
        [point.size for point in slope.points],
        [point.measured for point in slope.points],
        marker='o',
    )
    axes.set_xlabel(slope.size_name)
    axes.set_ylabel(slope.unit)
    axes.set_title(slope.name)
    axes.set_ylim(bottom=0)
    axes.grid(visible=True)
    name = slope.name.replace('/', '_')
    figure.savefig(RESULTS_FOLDER / f'{name}.svg')
    pyplot.close(figure)
