"""Check of a file with a release note or a configuration."""

import enum
import re
from collections.abc import Iterable, Iterator, Mapping

import attrs
import msgspec

from teaseldale.notes._coherence import contradicting_limits, unmatched_items
from teaseldale.notes._configuration import ItemKey
from teaseldale.notes._items import ConfigurationItem, ItemKind
from teaseldale.notes._overlap import references_of
from teaseldale.notes._problem import Problem, place_of
from teaseldale.notes._records import ItemRecord
from teaseldale.notes._release_note import (
    ItemLists,
    ReleaseNote,
    read_release_note,
)
from teaseldale.notes._validation import find_problems, items_after

_Items = Mapping[ItemKey, ConfigurationItem]
_TABLE = re.compile(r'\s*\[\[(?:additions|changes)\.(\w+)s\]\]')
_NAME = re.compile(r'\s*name\s*=\s*["\']([^"\']*)["\']')


class MissingBaseError(ValueError):
    """The note changes items of a configuration that is not given."""


@enum.unique
class FindingKind(enum.StrEnum):
    """Kinds of findings."""

    ERROR = 'error'
    UNMATCHED = 'unmatched'
    CONTRADICTION = 'contradiction'


@attrs.frozen(kw_only=True)
class Finding:
    """One finding and its location."""

    kind: FindingKind
    place: str  # "kind/name.field", or empty if the file cannot be read
    line: int  # of the item's table; 0 if unknown
    message: str


@attrs.frozen(kw_only=True)
class FileCheck:
    """Findings of one file, and its differences from another."""

    findings: tuple[Finding, ...]
    differences: tuple[str, ...] = ()


def check_file(
    text: bytes,
    *,
    wall_ms: int,
    against: bytes | None = None,
) -> FileCheck:
    """Checks a note or configuration at the time ``wall_ms``.

    A file that only adds items and refers to no others is a whole
    configuration; any other is a note on the configuration ``against``.

    Raises ``MissingBaseError`` if a note changes or withdraws items and
    ``against`` is not given.
    """
    try:
        note = read_release_note(text)
    except (msgspec.MsgspecError, ValueError) as error:
        return FileCheck(findings=(_unreadable(str(error)),))
    if against is None:
        if note.changes != ItemLists() or note.withdrawals:
            raise MissingBaseError
        return _check(note, None, text, wall_ms)
    try:
        base_note = read_release_note(against)
    except (msgspec.MsgspecError, ValueError) as error:
        return FileCheck(
            findings=(_unreadable(f'the other file: {error}'),),
        )
    applied_to = None if _is_whole(note) else base_note
    checked = _check(note, applied_to, text, wall_ms)
    before = items_after(base_note, {})
    after = items_after(note, {} if applied_to is None else before)
    return attrs.evolve(checked, differences=tuple(_differences(before, after)))


def _check(
    note: ReleaseNote,
    base: ReleaseNote | None,
    text: bytes,
    wall_ms: int,
) -> FileCheck:
    items = {} if base is None else items_after(base, {})
    records = _records_of(base)
    after = items_after(note, items)
    lines = _lines_of(text)
    return FileCheck(
        findings=(
            *_findings(
                FindingKind.ERROR, find_problems(note, items, records), lines
            ),
            *_findings(FindingKind.UNMATCHED, unmatched_items(after), lines),
            *_findings(
                FindingKind.CONTRADICTION,
                contradicting_limits(after, wall_ms=wall_ms),
                lines,
            ),
        ),
    )


def _is_whole(note: ReleaseNote) -> bool:
    if note.changes != ItemLists() or note.withdrawals:
        return False
    items = items_after(note, {})
    return all(
        target in items
        for item in items.values()
        for _field, target in references_of(item)
    )


def _records_of(base: ReleaseNote | None) -> dict[ItemKey, ItemRecord]:
    """Returns records that are older than any change."""
    if base is None:
        return {}
    return {
        (kind, name): ItemRecord(
            kind=kind,
            name=name,
            content=msgspec.json.encode(item),
            sequence=0,
            note=base.name,
            team=base.team,
        )
        for (kind, name), item in items_after(base, {}).items()
    }


def _findings(
    kind: FindingKind,
    problems: Iterable[Problem],
    lines: Mapping[str, int],
) -> Iterator[Finding]:
    for problem in problems:
        # Names may contain dots.
        item = max(
            (
                place
                for place in lines
                if problem.place == place
                or problem.place.startswith(f'{place}.')
            ),
            key=len,
            default='',
        )
        yield Finding(
            kind=kind,
            place=problem.place,
            line=lines.get(item, 0),
            message=problem.message,
        )


def _unreadable(reason: str) -> Finding:
    return Finding(kind=FindingKind.ERROR, place='', line=0, message=reason)


def _lines_of(text: bytes) -> dict[str, int]:
    """Returns the line of each item's table by the item's place."""
    lines: dict[str, int] = {}
    kind = ''
    table_line = 0
    for number, line in enumerate(text.decode().splitlines(), start=1):
        name = _NAME.match(line)
        if line.lstrip().startswith('['):
            kind = _kind_of(line)
            table_line = number
        elif name and kind:
            lines[place_of((ItemKind(kind), name[1]))] = table_line
    return lines


def _kind_of(line: str) -> str:
    """Returns the kind of a table's items, or an empty text."""
    table = _TABLE.match(line)
    return table[1] if table and table[1] in tuple(ItemKind) else ''


def _differences(before: _Items, after: _Items) -> Iterator[str]:
    for key in sorted(before.keys() | after.keys()):
        place = place_of(key)
        if key not in before:
            yield f'{place}: added'
        elif key not in after:
            yield f'{place}: removed'
        else:
            yield from _field_differences(key, before[key], after[key])


def _field_differences(
    key: ItemKey,
    before: ConfigurationItem,
    after: ConfigurationItem,
) -> Iterator[str]:
    old = msgspec.to_builtins(before)
    for field, new in msgspec.to_builtins(after).items():
        if old[field] != new:
            yield f'{place_of(key, field)}: {old[field]!r} -> {new!r}'
