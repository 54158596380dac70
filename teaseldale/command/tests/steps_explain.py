"""Steps for the story of a request."""

import os
import pathlib
import re
import subprocess
import sys

from behave import then, when

from teaseldale.command._explain import read_lines, tell_story
from teaseldale.command._usage import CommandFailedError

_LOGS = pathlib.Path('examples/logs')
_LINE = (
    '{"time":"2026-01-01T00:00:00.5","vm":"vm-1","channel":"requests",'
    '"event":"request_ended","request":"r-1","status":200}'
)


@when('request "{request}" is explained from "{name}"')
def explained(context, request, name):
    lines = read_lines([str(_LOGS / name)])
    context.story = tell_story(request, lines)


@when('a request is explained from lines with noise between them')
def noisy(context):
    lines = ['Traceback (most recent call last):', _LINE, _LINE[:40], '', '{}']
    context.story = tell_story('r-1', lines)


@then('the story has "{text}"')
def story_has(context, text):
    assert text in context.story.render(), context.story.render()


@then('the context has "{text}"')
def context_has(context, text):
    events = [line.event for line in context.story.context]
    assert text in events, events


@then('the story and its context are in order of time')
def ordered(context):
    for lines in (context.story.lines, context.story.context):
        times = [line.time for line in lines]
        assert times and times == sorted(times), times


@then('explaining request "{request}" from "{name}" fails and names it')
def unknown(context, request, name):
    try:
        tell_story(request, read_lines([str(_LOGS / name)]))
    except CommandFailedError as error:
        assert request in str(error)
        return
    raise AssertionError('an unknown request was explained')


@then('the story has {count:d} line')
def line_count(context, count):
    assert len(context.story.lines) == count, context.story.lines


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
