"""Step definitions that run the command line on settings files."""

import pathlib
import subprocess
import sys
import tempfile

from behave import then, when

from benchmarks.fleet import Fleet

_GOOD = {
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
def check_mistakes(context):
    text = _settings()
    for right, wrong in _GOOD.items():
        assert right in text, right
        text = text.replace(right, wrong)
    _file(context, text)
    context.ended = run_command('check', '--settings', context.path)


@when('a settings file with malformed TOML is checked')
def check_not_toml(context):
    _file(context, '[vm\nname')
    context.ended = run_command('check', '--settings', context.path)


@when('a settings file that does not exist is checked')
def check_missing(context):
    context.path = '/nowhere/vm.toml'
    context.ended = run_command('check', '--settings', context.path)


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
    context.ended = run_command('serve', '--settings', context.path)


@then('the exit status is 1 and standard error reports each error')
def names_each(context):
    assert context.ended.returncode == 1, context.ended
    context.lines = context.ended.stderr.splitlines()
    for row in context.table:
        found = [
            line
            for line in context.lines
            if line.startswith(f'{context.path}: {row["field"]}: ')
            and row['allowed'] in line
        ]
        assert len(found) == 1, (row['field'], context.lines)


@then('no other error is reported')
def nothing_else(context):
    assert len(context.lines) == 5, context.lines
    assert context.ended.stdout == ''


@then('the exit status is 1 and standard error starts with the file path')
def names_file(context):
    assert context.ended.returncode == 1, context.ended
    assert context.ended.stderr.startswith(f'{context.path}: '), context.ended


@then('the exit status is 1 and standard error starts with {field}')
def names_field(context, field):
    assert context.ended.returncode == 1, context.ended
    assert context.ended.stderr.startswith(f'{field}: '), context.ended


@then('each command exits with status 2 and prints a usage text')
def wrong_use(context):
    for row in context.table:
        ended = run_command(*row['arguments'].split())
        assert ended.returncode == 2, (row['arguments'], ended)
        assert 'sage' in ended.stderr, (row['arguments'], ended)
