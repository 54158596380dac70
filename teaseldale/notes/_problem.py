"""Validation problems of a note and the text form of places in it."""

import attrs

from teaseldale.notes._configuration import ItemKey
from teaseldale.notes._items import ConfigurationItem
from teaseldale.notes._release_note import ReleaseNote


@attrs.frozen(kw_only=True)
class Problem:
    """One reason why a note is refused."""

    place: str  # "kind/name.field"
    message: str
    conflict: bool = False  # caused by another note or move


def place_of(key: ItemKey, field: str = '') -> str:
    """Returns the text form of the key of an item or one of its fields."""
    kind, name = key
    return f'{kind}/{name}.{field}' if field else f'{kind}/{name}'


def changed_items(note: ReleaseNote) -> dict[ItemKey, ConfigurationItem | None]:
    """Returns the items that a note writes, None for a withdrawal."""
    written: dict[ItemKey, ConfigurationItem | None] = {
        (change.kind, change.item.name): change.item
        for change in note.item_changes()
    }
    for withdrawal in note.withdrawals:
        written[withdrawal.kind, withdrawal.name] = None
    return written
