"""Step definitions for the diagnosis of requests from log lines."""

import os
import pathlib
import re
import subprocess
import sys

import msgspec
from behave import given, then, when

from teaseldale.command._account_tokens import account_seconds
from teaseldale.command._causes import find_causes
from teaseldale.command._explain import build_timeline
from teaseldale.command._log_lines import read_lines
from teaseldale.command._usage import CommandFailedError

_LOGS = pathlib.Path('examples/logs')
_LINE = (
    '{"time":"2026-01-01T00:00:00.5","vm":"vm-1","channel":"requests",'
    '"event":"request_ended","request":"r-1","status":200}'
)


@when('request "{request}" is explained from "{name}"')
def explain_request(context, request, name):
    lines = read_lines([str(_LOGS / name)])
    context.timeline = build_timeline(request, lines)


@when('a request is explained from log lines mixed with malformed lines')
def explain_mixed_lines(context):
    lines = ['Traceback (most recent call last):', _LINE, _LINE[:40], '', '{}']
    context.timeline = build_timeline('r-1', lines)


@then('the timeline contains "{text}"')
def timeline_contains(context, text):
    assert text in context.timeline.render(), context.timeline.render()


@then('the context contains the event "{text}"')
def context_has(context, text):
    events = [line.event for line in context.timeline.context]
    assert text in events, events


@then('the timeline and its context are ordered by time')
def is_ordered_by_time(context):
    for lines in (context.timeline.lines, context.timeline.context):
        times = [line.time for line in lines]
        assert times and times == sorted(times), times


@then('explaining request "{request}" from "{name}" fails with its id')
def unknown(context, request, name):
    try:
        build_timeline(request, read_lines([str(_LOGS / name)]))
    except CommandFailedError as error:
        assert request in str(error)
        return
    raise AssertionError('explaining an unknown request did not fail')


@then('the timeline has {count:d} line')
def line_count(context, count):
    assert len(context.timeline.lines) == count, context.timeline.lines


@then('the commands of "{page}" succeed')
def commands_succeed(context, page):
    blocks = re.findall(
        r'```sh\n(.*?)```',
        pathlib.Path(page).read_text(),
        re.DOTALL,
    )
    commands = [line for block in blocks for line in block.splitlines()]
    assert len(commands) >= 5, commands
    folder = str(pathlib.Path(sys.executable).parent)
    path = os.pathsep.join((folder, os.environ['PATH']))
    for command in commands:
        subprocess.run(
            ['bash', '-c', f'set -o pipefail; {command}'],
            check=True,
            capture_output=True,
            env={**os.environ, 'PATH': path},
        )


_REFUSED = {
    'event': 'reservation_refused',
    'account': 'a',
    'code': 'budget_held',
    'granted_tokens': 900,
    'limit_tokens': 900,
    'used_tokens': 800,
}
_CLOSED = {
    'runners': ['i-1'],
    'reasons': ['i-1: disconnected: the connection was closed'],
}
_DRAW = {
    'event': 'draw_refused',
    'account': 'a',
    'code': 'budget_unavailable',
    'silent_keepers': [],
}
# Log lines before that of the request, and fields of the request's line.
_BEFORE = {
    'nothing else happens': ([], {}),
    'the account has nothing left': (
        [{**_REFUSED, 'code': 'budget_exhausted'}],
        {},
    ),
    'other VMs hold what is left': ([_REFUSED], {}),
    'the mark allows no more': ([{**_REFUSED, 'limit_tokens': 850}], {}),
    'the store is lost': ([_REFUSED, {'event': 'grants_store_lost'}], {}),
    'keepers are silent': ([{**_DRAW, 'silent_keepers': ['vm-2']}], {}),
    'a keeper has too little': ([{**_DRAW, 'code': 'budget_held'}], {}),
    'a runner closed the connection': ([], _CLOSED),
    'no runner is known': ([], {}),
    'a runner says nothing': ([], {'runners': ['i-1']}),
}


def _line(number, fields):
    return msgspec.json.encode(
        {
            'time': f'2026-01-01T00:00:{number:02}',
            'vm': 'vm-1',
            'channel': 'c',
            **fields,
        },
    ).decode()


@given('the log of a VM where {before}')
def log_before(context, before):
    context.before = _BEFORE[before]


@when('a request ends with "{ending}"')
def request_ends(context, ending):
    name, _, detail = ending.partition(' ')
    request_fields = {
        'event': 'request_ended',
        'request': 'r-1',
        'account': 'a',
        'service': 's',
        'status': 0,
        'runners': [],
        'reasons': [],
        **context.before[1],
        name: int(detail) if name == 'status' else detail,
    }
    if detail == 'unauthorized':
        request_fields = {
            **request_fields,
            'event': 'request_refused',
            'text': 'The key is unknown.',
        }
    lines = [*context.before[0], request_fields]
    context.report = find_causes(
        _line(number, fields) for number, fields in enumerate(lines)
    )


@then('its cause is "{cause}"')
def cause_is(context, cause):
    causes = [request.cause for request in context.report.failed]
    assert causes == [cause], causes


@then('the report counts 1 request and no failure')
def none_failed(context):
    assert context.report.request_count == 1
    assert not context.report.failed


@then('the report lists it as unexplained')
def listed(context):
    assert context.report.document()['unexplained'] == ['r-1']


def _account_line(time, vm, **fields):
    line = {
        'time': f'2026-01-01T00:00:{time}',
        'vm': vm,
        'channel': 'grants',
        'event': 'account_tokens',
        'account': 'a',
        'prepaid_tokens': 1000,
        'closed_tokens': 0,
        'free_tokens': 100,
        'granted_tokens': 450,
        'limit_tokens': 300,
        'spent_tokens': 200,
        'reserved_tokens': 40,
        **fields,
    }
    return msgspec.json.encode(line).decode()


@given('two VMs log the tokens of an account, and one of them starts again')
def account_lines(context):
    context.lines = [
        _account_line('01.1', 'vm-1'),
        _account_line('01.2', 'vm-2', limit_tokens=450),
        _account_line('01.3', 'vm-2', event='reservation_refused', code='x'),
        _account_line('04.0', 'vm-1', event='started', account=''),
        _account_line('04.2', 'vm-2', closed_tokens=300, spent_tokens=250),
    ]


@when('the account is explained')
def explain_account(context):
    context.seconds = account_seconds('a', context.lines)


@then('its seconds show what is spent, payable and withheld by marks')
def seconds_shown(context):
    first, last = context.seconds
    assert (first.spent, first.reserved) == (400, 80), first
    assert (first.payable, first.withheld) == (270, 150), first
    assert first.refusals == {'x': 1}, first
    assert (last.closed, last.spent) == (300, 250), last
    assert (last.payable, last.withheld) == (10, 150), last
    assert not last.refusals, last


@then('explaining the account "{account}" fails with its name')
def unknown_account(context, account):
    try:
        account_seconds(account, [_LINE])
    except CommandFailedError as error:
        assert account in str(error)
        return
    raise AssertionError('an account without lines was explained')
