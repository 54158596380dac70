"""Writes docs/CAPACITY.md from the results in ``build/bench``."""

import pathlib
from collections.abc import Iterable, Sequence

from benchmarks import capacity_target as target
from benchmarks.capacity_failures import failure_lines
from benchmarks.capacity_lines import CapacityLine, extrapolate
from benchmarks.capacity_mechanisms import mechanism_of
from benchmarks.collect import MeasuredModule
from benchmarks.report import figure, read_results
from benchmarks.rows import BenchmarkRow

_PAGE = pathlib.Path('docs/CAPACITY.md')
_ROLES = ('entry VM', 'group holder', 'steering VM', 'table reader')
_INTRODUCTION = """# Capacity at the target

`make capacity` writes this page from what `make bench` has measured; nothing
here is typed by hand. Every cost was measured on one machine with small
stand-ins. A line is fitted through the points by least squares and continued
to the target. The factor says how far beyond the largest size measured that
is; where the size at the target was measured itself, that point stands. The
deviation says how far the worst point lies from the line. A factor of a
hundred is an estimate and no promise.
"""


def main() -> None:
    """Writes the capacity page from the stored results."""
    modules = read_results()
    lines = [
        extrapolate(slope)
        for module in modules
        for slope in module.slopes
        if len(slope.points) > 1
    ]
    page = '\n'.join(
        [
            _INTRODUCTION,
            *_share_section(),
            *_limit_section(lines, modules),
            *_role_sections(lines),
            *failure_lines(lines),
        ],
    )
    _PAGE.write_text(page.rstrip() + '\n')
    print(f'{_PAGE} written from {len(lines)} slopes')


def table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Returns the lines of a Markdown table."""
    return [
        f'| {" | ".join(headings)} |',
        f'| {" | ".join("---" for _ in headings)} |',
        *(f'| {" | ".join(row)} |' for row in rows),
        '',
    ]


def _share_section() -> list[str]:
    shares = (
        ('requests/s', target.REQUESTS_PER_SECOND / target.VM_COUNT),
        ('tokens/s', target.TOKENS_PER_SECOND / target.VM_COUNT),
        (
            'table writes/s, if all VMs wrote alike',
            target.PLATFORM_WRITES_PER_SECOND / target.VM_COUNT,
        ),
        (
            'table reads/s, if all VMs read alike',
            target.PLATFORM_READS_PER_SECOND / target.VM_COUNT,
        ),
    )
    return [
        '## What falls to one VM',
        '',
        f'{target.VM_COUNT:,} VMs, {target.RUNNER_COUNT:,} runners, '
        f'{target.REQUESTS_PER_SECOND:,} requests/s, '
        f'{target.TOKENS_PER_SECOND:,} tokens/s, '
        f'{target.BUDGET_COUNT:,} budgets, '
        f'{target.ACCOUNT_COUNT:,} client accounts, '
        f'{target.CHANGES_PER_DAY:,} changes a day, '
        f'{target.REGION_COUNT} regions, '
        f'{target.ZONE_COUNT} availability zones.',
        '',
        *table(
            ('share of one VM', 'figure'),
            [(name, figure(share)) for name, share in shares],
        ),
    ]


def _limit_section(
    lines: Sequence[CapacityLine],
    modules: Sequence[MeasuredModule],
) -> list[str]:
    rows = [row for module in modules for row in module.rows]
    return [
        '## Limits',
        '',
        'Costs of one unit are added up over all roles, as if one VM had them '
        'all; figures of rows were measured at the sizes of today.',
        '',
        *table(
            (
                'limit',
                'stated',
                'worked out',
                'largest part',
                'verdict',
                'needed',
            ),
            [_limit_row(limit, lines, rows) for limit in target.LIMITS],
        ),
    ]


def _limit_row(
    limit: target.Limit,
    lines: Sequence[CapacityLine],
    rows: Sequence[BenchmarkRow],
) -> tuple[str, ...]:
    stated = f'{figure(limit.stated)} {limit.unit}'
    figures = _figures_for(limit, lines, rows)
    if not figures:
        return (limit.name, stated, 'not measured', '', 'not known', '')
    summed = limit.kind is target.LimitKind.SUM_OF_SLOPES
    amounts = figures.values()
    worked_out = sum(amounts) if summed else max(amounts)
    if worked_out <= limit.stated:
        share = worked_out / limit.stated
        verdict, needed = f'held, at {share:.0%} of it', ''
    else:
        times = worked_out / limit.stated
        verdict, needed = f'missed, {times:.1f} times', limit.needed
    return (
        limit.name,
        stated,
        f'{figure(worked_out)} {limit.unit}',
        f'`{max(figures, key=figures.__getitem__)}`',
        verdict,
        needed,
    )


def _figures_for(
    limit: target.Limit,
    lines: Sequence[CapacityLine],
    rows: Sequence[BenchmarkRow],
) -> dict[str, float]:
    if limit.kind is target.LimitKind.SUM_OF_SLOPES:
        return {
            line.slope.name: line.at_target
            for line in lines
            if line.slope.unit in limit.units
        }
    return {
        row.name: row.ours
        for row in rows
        if row.unit in limit.units
        and any(word in row.name for word in limit.words)
    }


def _role_sections(lines: Sequence[CapacityLine]) -> list[str]:
    others = sorted({line.slope.role for line in lines} - set(_ROLES))
    sections: list[str] = []
    for role in (*_ROLES, *others):
        sections.extend((f'## Role: {role}', ''))
        of_role = [line for line in lines if line.slope.role == role]
        if of_role:
            sections.extend(_role_table(of_role))
        else:
            sections.extend(('Not measured.', ''))
    return sections


def _role_table(lines: Sequence[CapacityLine]) -> list[str]:
    headings = (
        'cost',
        'at the target',
        'slope',
        'points measured',
        'factor',
        'deviation',
        'carried by',
        'breaks first',
    )
    return table(headings, [_role_row(line) for line in lines])


def _role_row(line: CapacityLine) -> tuple[str, ...]:
    slope = line.slope
    mechanism = mechanism_of(slope.name)
    points = ', '.join(
        f'{figure(point.size)}: {figure(point.measured)}'
        for point in slope.points
    )
    return (
        f'`{slope.name}`',
        f'{figure(line.at_target)} {slope.unit}',
        f'{figure(line.per_size)} {slope.unit} for each of {slope.size_name}',
        points,
        f'{line.factor:.1f} to {figure(slope.size_at_target)}',
        f'{line.deviation_percent:.0f}%',
        mechanism.carried_by,
        mechanism.breaks_first,
    )


if __name__ == '__main__':
    main()
