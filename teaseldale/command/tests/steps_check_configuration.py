"""Steps for the ``check-configuration`` command."""

import json
import pathlib
import re
import tempfile

from behave import given, then, when

from teaseldale.settings.tests.steps_settings import run_command

_RIGHT = f"""name = "first"
team = "platform"

[[additions.budgets]]
name = "drafts"
initial_tokens = 1000

[[additions.accounts]]
name = "office"
key_hash = "{'a' * 64}"
budgets = ["drafts"]

[[additions.routes]]
name = "orders"
kind = "service"
version = "v1"
deadline_ms = 60000
tokens_per_call = 5

[[additions.upstreams]]
name = "desk"
route = "orders"
version = "v1"
url = "http://127.0.0.1:8000"
availability_zone = "mill"
slot_count = 4
"""
_SECOND = """
[[additions.budgets]]
name = "second"

[[additions.accounts]]
name = "second"
key_hash = "{hash}"
budgets = ["second"]
""".replace('{hash}', 'c' * 64)
_ANNEX = f"""
[[additions.accounts]]
name = "annex"
key_hash = "{'a' * 64}"
budgets = ["drafts"]
"""
_SPARE = """
[[additions.budgets]]
name = "spare"
initial_tokens = 3
"""
_OLD = """
[[additions.upstreams]]
name = "old"
route = "orders"
version = "v0"
url = "http://127.0.0.1:8001"
availability_zone = "mill"
slot_count = 4
"""
_MOVE = """
[[additions.moves]]
name = "up"
route = "orders"
from_version = "v1"
to_version = "v0"
deadline_wall_ms = 9000000000000
"""
_CHANGES = """name = "second"
team = "platform"
written_against_revision = 1

[[changes.routes]]
name = "orders"
kind = "service"
version = "v1"
deadline_ms = 40000
tokens_per_call = 5

[[withdrawals]]
kind = "budget"
name = "missing"
written_against_revision = 1
"""
# Replacements in the right file, and what is added to it.
_FAULTS = {
    'a table is not closed': (('[[additions.budgets]]', '[[additions'), ''),
    'a field is unknown': (('initial_tokens', 'colour'), ''),
    'a number is a text': (('1000', '"many"'), ''),
    'a name has a space': (('"drafts"', '"dra fts"'), ''),
    'a deadline is 0': (('60000', '0'), ''),
    'a budget that is named is missing': (('["drafts"]', '["missing"]'), ''),
    'an item stands there twice': (
        ('', ''),
        '[[additions.budgets]]\nname = "drafts"\n',
    ),
    'two accounts have the same key': (('', ''), _ANNEX),
    'a budget is charged by nothing': (('', ''), _SPARE),
    'a route has no upstream': (
        (
            'version = "v1"\ndeadline',
            'version = "v2"\ndeadline',
        ),
        '',
    ),
    'an upstream has an unused version': (('', ''), _OLD),
    'a goal is over the deadline': (
        ('', ''),
        f'{_OLD}{_MOVE}first_token_guard_ms = 90000\n',
    ),
    'a gap is over the deadline': (
        ('', ''),
        f'{_OLD}{_MOVE}token_gap_guard_ms = 90000\n',
    ),
    'a move watches beyond its deadline': (
        ('', ''),
        f'{_OLD}{_MOVE}watch_ms = 9000000000000\n',
    ),
    'the deadline of a move has passed': (
        ('', ''),
        _OLD + _MOVE.replace('9000000000000', '1000'),
    ),
    'a budget is below one request': (('1000', '3'), ''),
    'the budget of a route is too small': (
        ('tokens_per_call = 5', 'tokens_per_call = 5\nbudgets = ["spare"]'),
        _SPARE,
    ),
    'a budget starts at 0': (('1000', '0'), ''),
}


def run_check(context, *arguments):
    context.completed = run_command('check-configuration', *map(str, arguments))


@given('a configuration file without findings')
def right_file(context):
    folder = context.cleanup.enter_context(tempfile.TemporaryDirectory())
    context.file = pathlib.Path(folder) / 'file.toml'
    context.other = pathlib.Path(folder) / 'other.toml'
    context.file.write_text(_RIGHT)


@given('a file in which {fault}')
def file_with(context, fault):
    (old, new), added = _FAULTS[fault]
    text = _RIGHT.replace(old, new) if old else _RIGHT
    context.file.write_text(text + added)


@given('another file in which a deadline is shorter and a budget is missing')
def differing_file(context):
    context.other.write_text(_RIGHT.replace('60000', '50000'))
    context.file.write_text(_RIGHT + _SECOND)


@given('another file without findings')
def other_file(context):
    context.other.write_text(_RIGHT)


@given('a note that shortens a deadline and withdraws a missing budget')
def note_of_changes(context):
    context.file.write_text(_CHANGES)


@when('the file is checked')
def check(context):
    run_check(context, context.file)


@when('the file is checked against the other')
def check_against(context):
    run_check(context, context.file, '--against', context.other)


@when('the file is checked with a report in JSON')
def check_as_json(context):
    run_check(context, context.file, '--json')


@when('the check is called with {mistake}')
def call_with(context, mistake):
    missing = context.file.with_name('missing.toml')
    if mistake == 'a note of changes alone':
        context.file.write_text(_CHANGES)
    run_check(
        context,
        *{
            'no file': (),
            'an unknown option': (context.file, '--unknown', '1'),
            '--against without a file': (context.file, '--against'),
            'a note of changes alone': (context.file,),
            'a file that is missing': (missing,),
            'another file that is missing': (
                context.file,
                '--against',
                missing,
            ),
        }[mistake],
    )


@then('the check exits with {status:d}')
def exits_with(context, status):
    assert context.completed.returncode == status, context.completed
    assert 'Traceback' not in context.completed.stderr, context.completed


@then('it prints "{pattern}"')
def prints_pattern(context, pattern):
    assert re.search(pattern, context.completed.stdout), context.completed


@then('the JSON names the kind, the place, the line and the message')
def json_report(context):
    (finding,) = json.loads(context.completed.stdout)['findings']
    assert finding == {
        'kind': 'error',
        'place': 'route/orders.deadline_ms',
        'line': 13,
        'message': 'must be above 0',
    }, finding
