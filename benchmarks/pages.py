"""Parses documentation pages: command blocks, promise tables, scenarios."""

import os
import pathlib
import re
import subprocess
from collections.abc import Iterator, Mapping

import attrs

_FENCE = '```'
_TIMEOUT_SECONDS = 300
_SCENARIO = re.compile(r'^\s*Scenario(?: Outline)?:\s*(.+?)\s*$')
_SCENARIO_REFERENCE = re.compile(r'`([^`]+\.feature): ([^`]+)`')
_STATE_COLUMN = -1
# These targets run the tests or take as long; a dry run checks that they exist.
_LONG_TARGETS = frozenset(('test', 'bench', 'capacity', 'setup'))


@attrs.frozen(kw_only=True)
class Block:
    """One fenced block of shell commands."""

    page: pathlib.Path
    line: int  # of the opening fence
    text: str


@attrs.frozen(kw_only=True)
class PromiseLine:
    """One row of a promise table."""

    promise: str
    scenarios: tuple[tuple[str, str], ...]  # feature file and scenario
    state: str  # "held" or "red"


def sh_blocks(page: pathlib.Path) -> list[Block]:
    """Returns the ``sh`` code blocks of a page, in order."""
    blocks: list[Block] = []
    block_lines: list[str] | None = None
    for number, line in enumerate(page.read_text().splitlines(), start=1):
        if block_lines is not None and line.startswith(_FENCE):
            start = number - len(block_lines) - 1
            blocks.append(
                Block(page=page, line=start, text='\n'.join(block_lines) + '\n')
            )
            block_lines = None
        elif block_lines is not None:
            block_lines.append(line)
        elif line.rstrip() == f'{_FENCE}sh':
            block_lines = []
    return blocks


def run_block(
    block: Block,
    *,
    root: pathlib.Path,
    folder: pathlib.Path,
    environment: Mapping[str, str],
) -> str:
    """Runs a block in ``folder``, or in ``root`` if it starts with make.

    Returns '' on success, otherwise the block's location, status and output.
    """
    commands = block.text
    is_make = commands.startswith('make ')
    if is_make:
        commands = _use_dry_runs(commands)
    outcome = subprocess.run(
        ('bash', '-euo', 'pipefail', '-c', commands),
        cwd=root if is_make else folder,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_SECONDS,
    )
    if outcome.returncode == 0:
        return ''
    return (
        f'{block.page}:{block.line}: status {outcome.returncode}\n'
        f'{commands}{outcome.stdout[-2000:]}{outcome.stderr[-2000:]}'
    )


def scenarios_of(root: pathlib.Path) -> set[tuple[str, str]]:
    """Returns all scenarios as pairs of feature file and title."""
    scenarios: set[tuple[str, str]] = set()
    for folder in (root / 'features', root / 'teaseldale'):
        for path in folder.rglob('*.feature'):
            for line in path.read_text().splitlines():
                match = _SCENARIO.match(line)
                if match is not None:
                    scenarios.add((str(path.relative_to(root)), match[1]))
    return scenarios


def promise_lines(text: str) -> Iterator[PromiseLine]:
    """Yields the rows of all promise tables of a page."""
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip('|').split('|')]
        if not line.startswith('|') or cells[_STATE_COLUMN] == 'state':
            continue
        if set(cells[0]) <= set('- '):
            continue
        yield PromiseLine(
            promise=cells[0],
            scenarios=tuple(_SCENARIO_REFERENCE.findall(line)),
            state=cells[_STATE_COLUMN],
        )


def promise_errors(
    lines: list[PromiseLine],
    scenarios: set[tuple[str, str]],
    known_red: str,
) -> list[str]:
    """Returns one message for each error in a promise table."""
    errors: list[str] = []
    for line in lines:
        errors.extend(
            f'{line.promise}: no scenario {reference}'
            for reference in line.scenarios
            if reference not in scenarios
        )
        if line.state not in {'held', 'red'}:
            errors.append(f'{line.promise}: state {line.state!r}')
        if line.state == 'held' and not line.scenarios:
            errors.append(f'{line.promise}: held without a scenario')
        if line.state == 'red' and line.promise not in known_red:
            errors.append(f'{line.promise}: red but not in KNOWN-RED.txt')
    return errors


def _use_dry_runs(commands: str) -> str:
    """Replaces long-running or recursive make targets by dry runs."""
    lines: list[str] = []
    for line in commands.splitlines():
        words = line.split()
        if words[1:2] and words[1] in _LONG_TARGETS:
            print(f'{line}: takes too long for a test; dry run only')
            line = f'{line.replace("make ", "make --dry-run ", 1)} > /dev/null'
        lines.append(line)
    return '\n'.join(lines) + '\n'
