"""References between items, and conflicts between notes."""

from collections.abc import Iterator

from teaseldale.notes._configuration import ItemKey
from teaseldale.notes._items import (
    ClientAccount,
    ConfigurationItem,
    ItemKind,
    Route,
    Upstream,
    VersionMove,
)
from teaseldale.notes._problem import changed_items
from teaseldale.notes._release_note import ReleaseNote


def references_of(item: ConfigurationItem) -> Iterator[tuple[str, ItemKey]]:
    """Yields each reference of an item: the field and the key it names."""
    if isinstance(item, ClientAccount | Route):
        for budget in item.budgets:
            yield 'budgets', (ItemKind.BUDGET, budget)
    elif isinstance(item, Upstream | VersionMove):
        yield 'route', (ItemKind.ROUTE, item.route)


def find_conflict(first: ReleaseNote, second: ReleaseNote) -> ItemKey | None:
    """Returns the key of an item on which two notes conflict, or None.

    Two notes conflict if one of them writes an item that the other one writes
    or refers to.
    """
    written = _written_keys(first)
    other_written = _written_keys(second)
    shared = [
        *(key for key in written if key in other_written),
        *(_referenced_keys(first) & other_written.keys()),
        *(_referenced_keys(second) & written.keys()),
    ]
    return shared[0] if shared else None


def _written_keys(note: ReleaseNote) -> dict[ItemKey, None]:
    written = dict.fromkeys(changed_items(note))
    for item in changed_items(note).values():
        if isinstance(item, VersionMove):
            written[ItemKind.ROUTE, item.route] = None
    return written


def _referenced_keys(note: ReleaseNote) -> set[ItemKey]:
    return {
        key
        for item in changed_items(note).values()
        if item is not None
        for _field, key in references_of(item)
    }
