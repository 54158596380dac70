"""Finds and runs the modules ``benchmarks/measure_*.py``."""

import importlib
import pathlib
import time
import traceback

import attrs

from benchmarks.rows import BenchmarkRow, Slope

_FOLDER = pathlib.Path(__file__).parent


@attrs.frozen(kw_only=True)
class MeasuredModule:
    """What one module gave."""

    name: str  # without "measure_"
    rows: tuple[BenchmarkRow, ...]
    slopes: tuple[Slope, ...]
    duration_seconds: float


@attrs.frozen(kw_only=True)
class Measured:
    """What all modules gave in one run."""

    quick: bool  # fewer sizes were measured
    modules: tuple[MeasuredModule, ...]
    failures: tuple[str, ...]  # modules that raised, with the error


def module_names() -> tuple[str, ...]:
    """Returns the names of all measurements, without "measure_"."""
    return tuple(
        path.stem.removeprefix('measure_')
        for path in sorted(_FOLDER.glob('measure_*.py'))
    )


def measure_module(name: str, *, quick: bool) -> MeasuredModule:
    """Runs one module."""
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
    """Runs all modules; one that raises is listed among the failures."""
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
