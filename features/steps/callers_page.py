"""Steps that check docs/CALLERS.md and run its examples."""

import os
import pathlib
import re
import subprocess
import sys

from behave import then

from benchmarks.fleet import ACCOUNT_KEY
from teaseldale.outcomes import Refusal, RefusalCode, Step

_PAGE = pathlib.Path('docs/CALLERS.md')
_URL = 'http://127.0.0.1:7201'
_BLOCK = r'```{kind}\n(.*?)```'


def _blocks(kind):
    blocks = re.findall(_BLOCK.format(kind=kind), _PAGE.read_text(), re.DOTALL)
    assert blocks, kind
    return blocks


def _run(command, environment):
    outcome = subprocess.run(
        command,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert outcome.returncode == 0, outcome
    return outcome.stdout


@then('every shell example on the page succeeds')
def shell_examples(context):
    environment = {'URL': context.fleet.vms[0].url, 'KEY': ACCOUNT_KEY}
    outputs = [
        _run(('bash', '-e', '-c', block), environment)
        for block in _blocks('sh')
        if 'export' not in block
    ]
    text = ''.join(outputs)
    assert '"error"' not in text, text
    for expected in (
        '"drafts"',
        'chat.completion"',
        'data: [DONE]',
        '"pieces"',
        'ben-salah/order-17',
    ):
        assert expected in text, (expected, text)


@then('the Python example on the page prints a completion')
def python_example(context):
    (block,) = _blocks('python')
    assert _URL in block
    program = block.replace(_URL, context.fleet.vms[0].url)
    printed = _run((sys.executable, '-c', program), {})
    assert len(printed.split()) == 8, printed


@then('each refusal code is listed on the page with its status')
def codes_on_page(context):
    lines = _PAGE.read_text().splitlines()
    for code in RefusalCode:
        status = Refusal(
            code=code, message='', not_run=True, step=Step.PARSE
        ).status
        matches = [
            line
            for line in lines
            if line.startswith(f'| {status} |') and f'`{code}`' in line
        ]
        assert matches, (code, status)
