"""Step definitions that run commands against a fleet."""

import json
import pathlib

import msgspec
from behave import then, when

from benchmarks.fleet import ACCOUNT_KEY, free_port
from teaseldale.settings.tests.steps_settings import run_command


def _operate(context, command, **options):
    fleet = context.fleet
    url = f'http://{fleet.vms[-1].operators}'
    flags = {'url': url, 'key_file': fleet.path / 'operators.key', **options}
    pairs = [f'--{name}={text}' for name, text in flags.items()]
    return run_command(*command.split(), *pairs)


def _failed(completed, text):
    assert completed.returncode == 1, completed
    assert text in completed.stderr, completed
    assert 'Traceback' not in completed.stderr, completed


@then('the command "{command}" succeeds')
def succeeds(context, command):
    completed = _operate(context, command)
    assert completed.returncode == 0, completed


@then('the command "{command}" prints {text}')
def prints(context, command, text):
    completed = _operate(context, command)
    assert completed.returncode == 0, completed
    assert text in completed.stdout, completed


@then('the command "{command}" fails with "{text}"')
def fails(context, command, text):
    _failed(_operate(context, command), text)


@then(
    'applying a note with an unknown field fails with an error about the field'
)
def wrong_note(context):
    path = context.fleet.path / 'wrong.toml'
    path.write_text('name = "x"\nteam = 7\n')
    _failed(_operate(context, f'note apply {path}'), 'team')


@then('a command with an invalid operators\' key fails with "{text}"')
def wrong_key(context, text):
    path = context.fleet.path / 'wrong.key'
    path.write_text('wrong')
    _failed(_operate(context, 'budget show roofs', key_file=path), text)


@then('a command for an unused address fails with an error about the address')
def unused_address(context):
    url = f'http://127.0.0.1:{free_port()}'
    _failed(_operate(context, 'budget show roofs', url=url), url)


def _load(context, key):
    path = pathlib.Path(context.fleet.path / 'account.key')
    path.write_text(key)
    return run_command(
        'load',
        '--url=' + ','.join(vm.url for vm in context.fleet.vms),
        f'--key_file={path}',
        '--streams=5',
        '--requests=20',
        '--output_tokens=8',
        '--json',
    )


@then('a load of {count:d} requests reports {whole:d} complete answers in JSON')
def load_fleet(context, count, whole):
    completed = _load(context, ACCOUNT_KEY)
    assert completed.returncode == 0, completed
    report = msgspec.json.decode(completed.stdout)
    assert report['whole_answers'] == whole, report
    assert report['failures'] == {}, report
    assert 0 < report['first_token_p50_ms'] <= report['request_p95_ms'], report
    assert json.loads(completed.stdout)['output_tokens'] == whole * 8


@then('the same load with an invalid key fails')
def load_with_wrong_key(context):
    _failed(_load(context, 'wrong'), 'unauthorized')


@then('the help of each command contains the word')
def has_help(context):
    for row in context.table:
        completed = run_command(*row['command'].split(), '--help')
        assert completed.returncode == 0, (row['command'], completed)
        assert row['word'] in completed.stdout + completed.stderr, completed


@when('a second VM is started with the same settings')
def serve_again(context):
    context.vm = context.fleet.vms[0]
    path = context.fleet.path / f'{context.vm.name}.toml'
    context.completed = run_command('serve', '--settings', str(path))


@then('the second VM exits with status 1 and an error about the address')
def address_reported(context):
    _failed(context.completed, context.vm.operators)
