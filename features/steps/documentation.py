"""Steps that check the documentation against the program and its features."""

import contextlib
import fcntl
import pathlib
import socket
import sys
import tempfile
import time

import attrs
from behave import given, then, when

from benchmarks.fleet import ACCOUNT_KEY, OPERATORS_KEY, Fleet
from benchmarks.pages import (
    Block,
    PromiseLine,
    promise_errors,
    promise_lines,
    run_block,
    scenarios_of,
    sh_blocks,
)
from teaseldale.outcomes import RefusalCode

_ROOT = pathlib.Path(__file__).parents[2]
_PAGE_ADDRESSES = {
    'callers': '127.0.0.1:7201',
    'operators': '127.0.0.1:7301',
}
_PORTS_BUSY_SECONDS = 240


class _PageFleet(Fleet):
    """A fleet whose first VM has the addresses used in the documentation."""

    def __init__(self):
        super().__init__(vm_count=3)
        self.vms[0] = attrs.evolve(self.vms[0], **_PAGE_ADDRESSES)

    def restart_if_drained(self):
        """Restarts the first VM if a command has drained it."""
        first = self.vms[0]
        process = self.processes[first.name]
        if process.poll() is not None:
            self.start_vm(first)
        self.wait_until_ready(first)


@contextlib.contextmanager
def _lock_page_addresses():
    """Holds a lock that all test runs on this machine share.

    Without it, two concurrent runs both found the addresses free and sent
    their notes to the same VM.
    """
    path = pathlib.Path(tempfile.gettempdir()) / 'teaseldale-pages.lock'
    with path.open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def _wait_for_page_ports():
    """Waits while another test run on this machine uses the addresses."""
    deadline = time.monotonic() + _PORTS_BUSY_SECONDS
    for address in _PAGE_ADDRESSES.values():
        host, _, port = address.rpartition(':')
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex((host, int(port))) != 0:
                    break
            time.sleep(0.5)


@given('a fleet whose first VM has the addresses used in the documentation')
def start_page_fleet(context):
    context.cleanup.enter_context(_lock_page_addresses())
    _wait_for_page_ports()
    context.fleet = context.cleanup.enter_context(_PageFleet())
    folder = context.fleet.path / 'pages'
    folder.mkdir()
    (folder / 'operators.key').write_text(OPERATORS_KEY)
    (folder / 'account.key').write_text(ACCOUNT_KEY)
    first = context.fleet.vms[0]
    (folder / 'vm.toml').write_text(context.fleet.settings_of(first))
    (folder / 'first.toml').write_text(context.fleet.first_note())
    context.folder = folder


@when('every sh block of {pages} runs')
def run_pages(context, pages):
    paths = [_ROOT / page for page in pages.replace(' and ', ', ').split(', ')]
    context.blocks = [block for path in paths for block in sh_blocks(path)]
    context.pages = {block.page.name for block in context.blocks}
    binaries = str(pathlib.Path(sys.executable).parent)
    environment = {
        'PATH': f'{binaries}:/usr/local/bin:/usr/bin:/bin',
        'ACCOUNT_KEY': ACCOUNT_KEY,
        'OPERATORS_KEY': OPERATORS_KEY,
        'URL': context.fleet.vms[0].url,
        'KEY': ACCOUNT_KEY,
    }
    context.failures = []
    for block in context.blocks:
        context.fleet.restart_if_drained()
        failure = run_block(
            block, root=_ROOT, folder=context.folder, environment=environment
        )
        context.failures.extend([failure] if failure else [])


@then('every block exits with status 0 and no page is left out')
def all_ran(context):
    assert not context.failures, '\n'.join(context.failures)
    assert {'README.md', 'CALLERS.md', 'OPERATORS.md'} <= context.pages, (
        context.pages
    )


@given('a page with a command that fails')
def failing_page(context):
    context.block = Block(
        page=pathlib.Path('page.md'),
        line=1,
        text='echo before\nfalse\necho after\n',
    )


@then('running the block reports the failure and stops there')
def failure_reported(context):
    failure = run_block(context.block, root=_ROOT, folder=_ROOT, environment={})
    assert 'page.md:1: status 1' in failure, failure
    assert 'after\n' not in failure.partition('echo after\n')[2], failure


@when('docs/PROMISES.md is compared with all features')
def read_promises(context):
    text = (_ROOT / 'docs/PROMISES.md').read_text()
    context.lines = list(promise_lines(text))
    context.scenarios = scenarios_of(_ROOT)
    context.known_red = (_ROOT / 'KNOWN-RED.txt').read_text()


@then('each row names existing scenarios or is listed in KNOWN-RED.txt')
def promise_table_valid(context):
    assert len(context.lines) >= 16, len(context.lines)
    errors = promise_errors(context.lines, context.scenarios, context.known_red)
    assert not errors, '\n'.join(errors)


@then('rows without a scenario or with an unknown one are reported')
def errors_reported(context):
    wrong = [
        PromiseLine(promise='a', scenarios=(), state='held'),
        PromiseLine(promise='b', scenarios=(('x', 'y'),), state='held'),
        PromiseLine(promise='not listed', scenarios=(), state='red'),
        PromiseLine(promise='d', scenarios=(), state=''),
    ]
    assert len(promise_errors(wrong, context.scenarios, '')) == len(wrong)


@when('docs/OPERATORS.md is compared with the refusal codes')
def read_operators(context):
    context.page_text = (_ROOT / 'docs/OPERATORS.md').read_text()


@then('each refusal code has a row that describes what to do')
def codes_described(context):
    lines = [
        line
        for line in context.page_text.splitlines()
        if line.startswith('| `')
    ]
    described = {line.split('`')[1] for line in lines}
    missing = [code.value for code in RefusalCode if code not in described]
    assert not missing, missing
