"""Step definitions that run the command line on settings files."""

import pathlib
import subprocess
import sys
import tempfile

from behave import then, when

from benchmarks.fleet import Fleet

_INVALID_REPLACEMENTS = {
    'name = "mill-0"': 'name = "mill 0"',
    'callers_address = "127.0.0.1': 'callers_address = "localhost',
    'membership_url': 'colour = "red"\nmembership_url',
    '[limits]': '[limits]\ncoalesce_ms = 500',
    '"key_value"': '"xml"',
}


def run_command(*arguments):
    """Runs the command line and returns the completed process."""
    return subprocess.run(
        (sys.executable, '-m', 'teaseldale', *arguments),
        capture_output=True,
        text=True,
        timeout=60,
    )


def _file(context, text):
    folder = context.cleanup.enter_context(tempfile.TemporaryDirectory())
    context.path = str(pathlib.Path(folder) / 'vm.toml')
    pathlib.Path(context.path).write_text(text)


def _settings():
    fleet = Fleet(vm_count=1)
    return fleet.settings_of(fleet.vms[0])


@when('a settings file with five errors is checked')
def check_invalid(context):
    text = _settings()
    for right, wrong in _INVALID_REPLACEMENTS.items():
        assert right in text, right
        text = text.replace(right, wrong)
    _file(context, text)
    context.completed = run_command('check', '--settings', context.path)


@when('a settings file with malformed TOML is checked')
def check_not_toml(context):
    _file(context, '[vm\nname')
    context.completed = run_command('check', '--settings', context.path)


@when('a settings file that does not exist is checked')
def check_missing(context):
    context.path = '/nowhere/vm.toml'
    context.completed = run_command('check', '--settings', context.path)


@when('a VM is started with an empty operators key file')
def serve_without_key(context):
    text = _settings()
    _file(context, '')
    empty = context.path
    lines = [
        f'operators_key_file = "{empty}"'
        if line.startswith('operators_key_file')
        else line
        for line in text.splitlines()
    ]
    _file(context, '\n'.join(lines))
    context.completed = run_command('serve', '--settings', context.path)


@then('the exit status is 1 and standard error reports each error')
def names_each(context):
    assert context.completed.returncode == 1, context.completed
    context.lines = context.completed.stderr.splitlines()
    for row in context.table:
        matching = [
            line
            for line in context.lines
            if line.startswith(f'{context.path}: {row["field"]}: ')
            and row['allowed'] in line
        ]
        assert len(matching) == 1, (row['field'], context.lines)


@then('no other error is reported')
def nothing_else(context):
    assert len(context.lines) == 5, context.lines
    assert context.completed.stdout == ''


@then('the exit status is 1 and standard error starts with the file path')
def names_file(context):
    assert context.completed.returncode == 1, context.completed
    assert context.completed.stderr.startswith(f'{context.path}: '), (
        context.completed
    )


@then('the exit status is 1 and standard error starts with {field}')
def names_field(context, field):
    assert context.completed.returncode == 1, context.completed
    assert context.completed.stderr.startswith(f'{field}: '), context.completed


@then('each command exits with status 2 and prints a usage text')
def usage_errors(context):
    for row in context.table:
        completed = run_command(*row['arguments'].split())
        assert completed.returncode == 2, (row['arguments'], completed)
        assert 'sage' in completed.stderr, (row['arguments'], completed)
