"""Release notes as operators write them."""

from collections.abc import Iterator, Sequence
from typing import Any

import attrs
import msgspec

from teaseldale.notes._items import (
    Budget,
    ClientAccount,
    ConfigurationItem,
    ItemKind,
    Route,
    Upstream,
    VersionMove,
)


@attrs.frozen(kw_only=True)
class ItemChange:
    """New content of an item; revision 0 means that it is added."""

    kind: ItemKind
    item: ConfigurationItem
    written_against_revision: int


@attrs.frozen(kw_only=True)
class ItemWithdrawal:
    """Removal of an item."""

    kind: ItemKind
    name: str
    written_against_revision: int


@attrs.frozen(kw_only=True)
class ItemLists:
    """Items of one section of a note, by kind."""

    budgets: tuple[Budget, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    routes: tuple[Route, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    moves: tuple[VersionMove, ...] = ()


@attrs.frozen(kw_only=True)
class ReleaseNote:
    """A set of additions, changes and withdrawals, accepted as a whole."""

    name: str  # unique for ever
    team: str  # who answers for it
    written_against_revision: int = 0  # of the items changed or withdrawn
    additions: ItemLists = ItemLists()
    changes: ItemLists = ItemLists()
    withdrawals: tuple[ItemWithdrawal, ...] = ()

    def item_changes(self) -> tuple[ItemChange, ...]:
        """Returns additions and changes as one list."""
        return (
            *_changes_of(self.additions, 0),
            *_changes_of(self.changes, self.written_against_revision),
        )


_LISTS: dict[str, type] = {  # noqa: WPS407
    'budgets': Budget,
    'accounts': ClientAccount,
    'routes': Route,
    'upstreams': Upstream,
    'moves': VersionMove,
}


def read_release_note(text: bytes) -> ReleaseNote:
    """Decodes a note from TOML; raises ``ValueError`` naming the field."""
    document = msgspec.toml.decode(text)
    unknown = sorted(_unknown_fields(document))
    if unknown:
        listed = ', '.join(unknown)
        raise ValueError(f'unknown fields: {listed}')
    return msgspec.convert(document, type=ReleaseNote)


def _unknown_fields(document: dict[str, Any]) -> Iterator[str]:
    yield from _foreign(document, ReleaseNote, '')
    for section in ('additions', 'changes'):
        lists = document.get(section, {})
        if isinstance(lists, dict):
            yield from _foreign(lists, ItemLists, f'{section}.')
            for kind, item_type in _LISTS.items():
                path = f'{section}.{kind}'
                yield from _foreign_in(lists.get(kind), item_type, path)
    yield from _foreign_in(
        document.get('withdrawals'),
        ItemWithdrawal,
        'withdrawals',
    )


def _foreign_in(members: Any, kind: type, path: str) -> Iterator[str]:
    if not isinstance(members, list):
        return
    for index, member in enumerate(members):
        if isinstance(member, dict):
            yield from _foreign(member, kind, f'{path}[{index}].')


def _foreign(document: dict[str, Any], kind: Any, path: str) -> Iterator[str]:
    known = attrs.fields_dict(kind)
    for name in document:
        if name not in known:
            yield path + name


def _changes_of(lists: ItemLists, revision: int) -> list[ItemChange]:
    groups: dict[ItemKind, Sequence[ConfigurationItem]] = {
        ItemKind.BUDGET: lists.budgets,
        ItemKind.ACCOUNT: lists.accounts,
        ItemKind.ROUTE: lists.routes,
        ItemKind.UPSTREAM: lists.upstreams,
        ItemKind.MOVE: lists.moves,
    }
    return [
        ItemChange(kind=kind, item=item, written_against_revision=revision)
        for kind, members in groups.items()
        for item in members
    ]
