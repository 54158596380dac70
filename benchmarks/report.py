"""Prints the results of a run as a table and stores them as JSON."""

import pathlib

import attrs
import msgspec

from benchmarks.collect import Measured, MeasuredModule
from benchmarks.rows import BenchmarkRow, BoundKind

RESULTS_FOLDER = pathlib.Path('build/bench')
_HEADINGS = ('measure', 'unit', 'ours', 'naive', 'ratio', 'bound', 'verdict')
_RIGHT_ALIGNED = frozenset(('ours', 'naive', 'ratio', 'bound'))


@attrs.frozen(kw_only=True)
class ModuleResult:
    """Content of the JSON file of one module."""

    module: MeasuredModule
    quick: bool  # whether only some of the sizes were measured
    verdicts: dict[str, str]  # by the name of the row


def verdict_of(row: BenchmarkRow) -> str:
    """Returns "held" if the row meets its bound, else "not held"."""
    return 'held' if row.held else 'not held'


def print_table(measured: Measured) -> None:
    """Prints one line for each row, with its verdict in the last column."""
    lines = [_HEADINGS]
    for module in measured.modules:
        lines.extend(_cells(row) for row in module.rows)
    widths = [max(len(line[at]) for line in lines) for at in range(7)]
    for line in lines:
        print(_aligned(line, widths))
    for module in measured.modules:
        print(f'{module.name} took {module.duration_seconds:.1f} s')
    for failure in measured.failures:
        print(f'FAILED {failure}')


def write_json(measured: Measured) -> None:
    """Writes ``build/bench/<module>.json`` for each module."""
    RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
    for module in measured.modules:
        result = ModuleResult(
            module=module,
            quick=measured.quick,
            verdicts={row.name: verdict_of(row) for row in module.rows},
        )
        encoded = msgspec.json.format(msgspec.json.encode(result))
        _path_of(module.name).write_bytes(encoded + b'\n')


def read_results() -> tuple[MeasuredModule, ...]:
    """Returns the modules' results that the last runs have stored."""
    return tuple(
        msgspec.json.decode(path.read_bytes(), type=ModuleResult).module
        for path in sorted(RESULTS_FOLDER.glob('*.json'))
    )


def figure(amount: float | None) -> str:
    """Formats a number with four significant digits; None gives "-"."""
    if amount is None:
        return '-'
    if amount and abs(amount) < 0.001:
        return f'{amount:.2e}'
    if abs(amount) >= 1000:
        return f'{amount:,.0f}'
    return f'{amount:.4g}'


def _path_of(name: str) -> pathlib.Path:
    return RESULTS_FOLDER / f'{name}.json'


def _cells(row: BenchmarkRow) -> tuple[str, ...]:
    sign = '<=' if row.bound_kind is BoundKind.AT_MOST else '>='
    return (
        row.name,
        row.unit,
        figure(row.ours),
        figure(row.naive),
        figure(row.ours / row.naive if row.naive else None),
        f'{sign} {figure(row.bound)}',
        verdict_of(row),
    )


def _aligned(line: tuple[str, ...], widths: list[int]) -> str:
    return '  '.join(
        cell.rjust(width) if heading in _RIGHT_ALIGNED else cell.ljust(width)
        for heading, cell, width in zip(_HEADINGS, line, widths, strict=True)
    )
