"""Finds and runs the measurement modules ``benchmarks/measure_*.py``."""

import importlib
import pathlib
import time
import traceback

import attrs

from benchmarks.rows import BenchmarkRow, Slope

_FOLDER = pathlib.Path(__file__).parent


@attrs.frozen(kw_only=True)
class MeasuredModule:
    """Results of one measurement module."""

    name: str  # without "measure_"
    rows: tuple[BenchmarkRow, ...]
    slopes: tuple[Slope, ...]
    duration_seconds: float


@attrs.frozen(kw_only=True)
class Measured:
    """Results of all measurement modules in one run."""

    quick: bool  # whether only some of the sizes were measured
    modules: tuple[MeasuredModule, ...]
    failures: tuple[str, ...]  # modules that raised, with the traceback


def module_names() -> tuple[str, ...]:
    """Returns the names of all measurement modules, without "measure_"."""
    return tuple(
        path.stem.removeprefix('measure_')
        for path in sorted(_FOLDER.glob('measure_*.py'))
    )


def measure_module(name: str, *, quick: bool) -> MeasuredModule:
    """Imports and runs one measurement module."""
    module = importlib.import_module(f'benchmarks.measure_{name}')
    started = time.monotonic()
    rows = tuple(module.rows(quick))
    slopes = tuple(module.slopes(quick)) if hasattr(module, 'slopes') else ()
    return MeasuredModule(
        name=name,
        rows=rows,
        slopes=slopes,
        duration_seconds=time.monotonic() - started,
    )


def measure_all(*, quick: bool, only: str = '') -> Measured:
    """Runs all modules; a module that raises is added to ``failures``."""
    modules: list[MeasuredModule] = []
    failures: list[str] = []
    for name in module_names():
        if only and name != only:
            continue
        print(f'measuring {name} ...', flush=True)
        try:
            modules.append(measure_module(name, quick=quick))
        except Exception:
            failures.append(f'{name}: {traceback.format_exc()}')
    return Measured(
        quick=quick,
        modules=tuple(modules),
        failures=tuple(failures),
    )
