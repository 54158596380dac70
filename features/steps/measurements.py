"""Steps that check the deterministic rows of the measurements."""

import importlib

import attrs
from behave import then, when

from benchmarks.collect import module_names
from benchmarks.rows import BenchmarkRow, BoundKind


@when('all measurements with deterministic rows run in quick mode')
def run_measurements(context):
    context.rows = []
    for name in module_names():
        module = importlib.import_module(f'benchmarks.measure_{name}')
        # A module may compute its deterministic rows separately.
        get_rows = getattr(module, 'deterministic_rows', None) or module.rows
        context.rows.extend(row for row in get_rows(True) if row.deterministic)


@then('each deterministic row meets its bound')
def all_held(context):
    assert context.rows
    missed = [
        (row.name, row.ours, row.bound) for row in context.rows if not row.held
    ]
    assert not missed, missed


@then('a row that misses its bound is distinguished from one that meets it')
def bounds_are_distinguished(context):
    row = BenchmarkRow(
        name='example',
        unit='tokens',
        ours=2,
        naive=None,
        bound=1,
        deterministic=True,
    )
    assert not row.held
    assert attrs.evolve(row, bound_kind=BoundKind.AT_LEAST).held
