"""Runs all behave features; prints each output whole and the sum of results.

Features of the packages in ``VIRTUAL_TIME_PACKAGES`` use virtual time and
neither processes nor sockets, so that other load changes nothing but their
duration. They run side by side. The others follow, alone and in order.

    run_features.py [--jobs N] [BEHAVE_OPTION ...]

Exits with 1 if a scenario fails, or if none passes.
"""

import argparse
import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys
from collections import Counter
from collections.abc import Iterable

VIRTUAL_TIME_PACKAGES = ('budgets', 'forwarding', 'routing')
# More would slow down each other: most of them are bound by the processor.
MAX_JOBS = 4
_SUMMARY = re.compile(r'^\d+ scenarios? passed.*$', re.MULTILINE)
_COUNT = re.compile(r'(\d+) (?:scenarios? )?(passed|failed|error|skipped)')


def main() -> int:
    """Runs the features below the working directory."""
    parser = argparse.ArgumentParser()
    cores = os.cpu_count() or 1
    jobs = max(1, min(MAX_JOBS, cores // 2))
    parser.add_argument('--jobs', type=int, default=jobs)
    arguments, options = parser.parse_known_args()
    parallel = _features(VIRTUAL_TIME_PACKAGES)
    others = [
        path for path in _features(['*']) + _own() if path not in parallel
    ]
    results: Counter[str] = Counter()
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        for result in pool.map(lambda path: _run([path], options), parallel):
            results += result
    results += _run(others, options)
    failed = results['failed'] + results['error'] + results['broken']
    print(f'{results["passed"]} passed, {failed} failed')
    return 1 if failed or not results['passed'] else 0


def _features(packages: Iterable[str]) -> list[pathlib.Path]:
    root = pathlib.Path('teaseldale')
    return [
        path
        for package in packages
        for path in sorted(root.glob(f'{package}/tests/*.feature'))
    ]


def _own() -> list[pathlib.Path]:
    return sorted(pathlib.Path('features').glob('*.feature'))


def _run(paths: list[pathlib.Path], options: list[str]) -> Counter[str]:
    """Runs features in one process; prints the output once it has ended."""
    names = '|'.join(re.escape(path.as_posix()) for path in paths)
    command = [sys.executable, '-m', 'behave', *options]
    ended = subprocess.run(  # noqa: S603
        [*command, '--no-capture', '--include', f'(^|/)({names})$'],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors='replace',
        check=False,
    )
    print(ended.stdout, end='', flush=True)
    counts = Counter()
    summaries = _SUMMARY.findall(ended.stdout)
    for number, name in _COUNT.findall(summaries[-1] if summaries else ''):
        counts[name] += int(number)
    if ended.returncode and not counts['failed'] + counts['error']:
        # The process has ended without a result.
        print(f'exit code {ended.returncode}: {names}', flush=True)
        counts['broken'] += 1
    return counts


if __name__ == '__main__':
    sys.exit(main())
