"""Steps that validate the example settings and release notes."""

import collections
import pathlib

from behave import then

from benchmarks.fleet import Fleet
from teaseldale.notes import read_release_note
from teaseldale.settings import load_settings

_FOLDER = pathlib.Path('examples')


def _note(fleet):
    return (_FOLDER / fleet / 'notes' / 'first.toml').read_bytes()


@then('the examples of each fleet are consistent')
def examples_are_consistent(context):
    for row in context.table:
        folder = _FOLDER / row['fleet'] / 'settings'
        vms = [load_settings(str(path)).vm for path in sorted(folder.iterdir())]
        zones = {zone.strip() for zone in row['zones'].split(',')}
        _check_vms(vms, int(row['vms']), zones)
        _check_note(read_release_note(_note(row['fleet'])), row, zones)


def _check_vms(vms, count, zones):
    assert len(vms) == count, vms
    assert {vm.availability_zone for vm in vms} == zones, vms
    for field in ('name', 'peer_address', 'callers_address'):
        assert len({getattr(vm, field) for vm in vms}) == count, field


def _check_note(note, row, zones):
    added = note.additions
    assert len(added.accounts) == int(row['accounts']), added.accounts
    upstream_counts = collections.Counter(
        upstream.route for upstream in added.upstreams
    )
    for pair in row['upstreams'].split(','):
        route, count = pair.split()
        assert upstream_counts[route] == int(count), upstream_counts
    budgets = {budget.name for budget in added.budgets}
    for account in added.accounts:
        assert set(account.budgets) <= budgets, account
    assert len({account.key_hash for account in added.accounts}) == 10
    assert {upstream.availability_zone for upstream in added.upstreams} == zones
    assert {route.name for route in added.routes} == set(upstream_counts), (
        upstream_counts
    )


@then('a fleet that starts with the first note of {name} becomes ready')
def becomes_ready(context, name):
    with Fleet(vm_count=1, engine_count=0, note=_note(name).decode()):
        pass
