"""Validation of version moves against routes, upstreams and each other."""

from collections.abc import Iterator, Mapping

from teaseldale.notes._configuration import ItemKey
from teaseldale.notes._items import (
    ConfigurationItem,
    ItemKind,
    Route,
    Upstream,
    VersionMove,
)
from teaseldale.notes._problem import Problem, changed_items, place_of
from teaseldale.notes._records import ItemRecord
from teaseldale.notes._release_note import ReleaseNote

_Items = Mapping[ItemKey, ConfigurationItem]
_Records = Mapping[ItemKey, ItemRecord]


def move_problems(
    note: ReleaseNote,
    after: _Items,
    records: _Records,
) -> Iterator[Problem]:
    """Yields problems of changed moves and of routes with a running move.

    A route has at most one move and cannot be changed while it has one.
    """
    moves = [item for item in after.values() if isinstance(item, VersionMove)]
    changed = changed_items(note)
    for move in moves:
        if (ItemKind.MOVE, move.name) in changed:
            yield from _version_problems(move, after)
            yield from _conflict_problems(move, moves, records)
        elif (ItemKind.ROUTE, move.route) in changed:
            yield _moving_route_problem(move, records[ItemKind.MOVE, move.name])


def _moving_route_problem(move: VersionMove, record: ItemRecord) -> Problem:
    return Problem(
        place=place_of((ItemKind.ROUTE, move.route), 'version'),
        message=f'move {move.name!r} of note {record.note!r} of team '
        f'{record.team!r} runs on it; withdraw the move first',
        conflict=True,
    )


def _version_problems(move: VersionMove, after: _Items) -> Iterator[Problem]:
    key = (ItemKind.MOVE, move.name)
    route = after.get((ItemKind.ROUTE, move.route))
    if isinstance(route, Route) and route.version != move.from_version:
        yield Problem(
            place=place_of(key, 'from_version'),
            message=f'route {route.name!r} is at version {route.version!r}',
        )
    if not any(_serves(item, move) for item in after.values()):
        yield Problem(
            place=place_of(key, 'to_version'),
            message=f'no upstream of route {move.route!r} has that version',
        )


def _serves(item: ConfigurationItem, move: VersionMove) -> bool:
    return (
        isinstance(item, Upstream)
        and item.route == move.route
        and item.version == move.to_version
    )


def _conflict_problems(
    move: VersionMove,
    moves: list[VersionMove],
    records: _Records,
) -> Iterator[Problem]:
    for other in moves:
        if other.route != move.route or other.name == move.name:
            continue
        record = records.get((ItemKind.MOVE, other.name))
        owner = 'this note'
        if record is not None:
            owner = f'note {record.note!r} of team {record.team!r}'
        yield Problem(
            place=place_of((ItemKind.MOVE, move.name), 'route'),
            message=f'move {other.name!r} of {owner} runs on route '
            f'{move.route!r}',
            conflict=True,
        )
