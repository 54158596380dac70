"""Data model of release notes, and their decoder from TOML."""

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
    """New content of an item; revision 0 means that the item is added."""

    kind: ItemKind
    item: ConfigurationItem
    written_against_revision: int


@attrs.frozen(kw_only=True)
class ItemWithdrawal:
    """Withdrawal of an item from the configuration."""

    kind: ItemKind
    name: str
    written_against_revision: int


@attrs.frozen(kw_only=True)
class ItemLists:
    """Items in one section of a note, grouped by kind."""

    budgets: tuple[Budget, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    routes: tuple[Route, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    moves: tuple[VersionMove, ...] = ()


@attrs.frozen(kw_only=True)
class ReleaseNote:
    """Additions, changes and withdrawals that are applied atomically."""

    name: str  # never used for another note
    team: str  # team responsible for the note
    written_against_revision: int = 0  # revision that the changes build on
    additions: ItemLists = ItemLists()
    changes: ItemLists = ItemLists()
    withdrawals: tuple[ItemWithdrawal, ...] = ()

    def item_changes(self) -> tuple[ItemChange, ...]:
        """Returns additions, then changes, each with its base revision."""
        return (
            *_changes_of(self.additions, 0),
            *_changes_of(self.changes, self.written_against_revision),
        )


_ITEM_TYPES: dict[str, type] = {  # noqa: WPS407
    'budgets': Budget,
    'accounts': ClientAccount,
    'routes': Route,
    'upstreams': Upstream,
    'moves': VersionMove,
}


def read_release_note(text: bytes) -> ReleaseNote:
    """Decodes a note from TOML.

    Raises ``ValueError`` listing unknown fields, and
    ``msgspec.MsgspecError`` if the text is malformed or a field is invalid.
    """
    document = msgspec.toml.decode(text)
    unknown = sorted(_unknown_fields(document))
    if unknown:
        listed = ', '.join(unknown)
        raise ValueError(f'unknown fields: {listed}')
    return msgspec.convert(document, type=ReleaseNote)


def _unknown_fields(document: dict[str, Any]) -> Iterator[str]:
    yield from _unknown_keys(document, ReleaseNote, '')
    for section in ('additions', 'changes'):
        lists = document.get(section, {})
        if isinstance(lists, dict):
            yield from _unknown_keys(lists, ItemLists, f'{section}.')
            for kind, item_type in _ITEM_TYPES.items():
                path = f'{section}.{kind}'
                yield from _unknown_keys_in_list(
                    lists.get(kind), item_type, path
                )
    yield from _unknown_keys_in_list(
        document.get('withdrawals'),
        ItemWithdrawal,
        'withdrawals',
    )


def _unknown_keys_in_list(
    members: Any, item_type: type, path: str
) -> Iterator[str]:
    if not isinstance(members, list):
        return
    for index, member in enumerate(members):
        if isinstance(member, dict):
            yield from _unknown_keys(member, item_type, f'{path}[{index}].')


def _unknown_keys(
    document: dict[str, Any], item_type: Any, path: str
) -> Iterator[str]:
    known = attrs.fields_dict(item_type)
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
