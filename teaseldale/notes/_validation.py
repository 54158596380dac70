"""Validation of a whole note before anything is stored."""

from collections.abc import Iterator, Mapping

import attrs

from teaseldale.notes._configuration import ItemKey
from teaseldale.notes._items import ConfigurationItem
from teaseldale.notes._move_checks import move_problems
from teaseldale.notes._overlap import references_of
from teaseldale.notes._problem import Problem, changed_items, place_of
from teaseldale.notes._ranges import name_problems, range_problems
from teaseldale.notes._records import ItemRecord
from teaseldale.notes._release_note import ItemLists, ReleaseNote

_Items = Mapping[ItemKey, ConfigurationItem]


def items_after(note: ReleaseNote, items: _Items) -> _Items:
    """Returns the items as they would be after applying the note."""
    after = dict(items)
    for key, item in changed_items(note).items():
        if item is None:
            after.pop(key, None)
        else:
            after[key] = item
    return after


def find_problems(
    note: ReleaseNote,
    items: _Items,
    records: Mapping[ItemKey, ItemRecord],
) -> tuple[Problem, ...]:
    """Returns problems of names, ranges, revisions, references and moves."""
    problems = [
        *name_problems(note),
        *_revision_problems(note, records),
    ]
    for change in note.item_changes():
        problems.extend(range_problems(change.kind, change.item))
    after = items_after(note, items)
    problems.extend(_reference_problems(after))
    problems.extend(move_problems(note, after, records))
    return tuple(problems)


def _revision_problems(
    note: ReleaseNote,
    records: Mapping[ItemKey, ItemRecord],
) -> Iterator[Problem]:
    added = _added_keys(note)
    for change in note.item_changes():
        key = (change.kind, change.item.name)
        record = records.get(key)
        if key in added:
            yield from _addition_problems(key, record)
        else:
            yield from _change_problems(
                key,
                record,
                change.written_against_revision,
            )
    for withdrawal in note.withdrawals:
        key = (withdrawal.kind, withdrawal.name)
        yield from _change_problems(
            key,
            records.get(key),
            withdrawal.written_against_revision,
        )


def _added_keys(note: ReleaseNote) -> set[ItemKey]:
    additions = attrs.evolve(note, changes=ItemLists(), withdrawals=())
    return set(changed_items(additions))


def _addition_problems(
    key: ItemKey,
    record: ItemRecord | None,
) -> Iterator[Problem]:
    if record is not None and record.content is not None:
        yield Problem(
            place=place_of(key),
            message=f'note {record.note!r} of team {record.team!r} added or '
            'changed it already; write a change of it',
            conflict=True,
        )


def _change_problems(
    key: ItemKey,
    record: ItemRecord | None,
    revision: int,
) -> Iterator[Problem]:
    if record is None:
        yield Problem(place=place_of(key), message='there is no such item')
        return
    if record.sequence > revision:
        verb = 'withdrew' if record.content is None else 'changed'
        yield Problem(
            place=place_of(key),
            message=f'note {record.note!r} of team {record.team!r} {verb} it '
            f'in revision {record.sequence}, after revision {revision} that '
            'this note was written against; read it again',
            conflict=True,
        )
    elif record.content is None:
        yield Problem(
            place=place_of(key),
            message=f'note {record.note!r} has withdrawn it',
        )


def _reference_problems(after: _Items) -> Iterator[Problem]:
    for (kind, name), item in after.items():
        for field, target in references_of(item):
            if target not in after:
                yield Problem(
                    place=place_of((kind, name), field),
                    message=f'there is no {place_of(target)}',
                )
