"""Validation of names and of single item fields."""

from collections.abc import Iterable, Iterator

from teaseldale.notes._items import (
    Budget,
    ClientAccount,
    ConfigurationItem,
    ItemKind,
    Route,
    Upstream,
    VersionMove,
)
from teaseldale.notes._problem import Problem, place_of
from teaseldale.notes._release_note import ReleaseNote

_KEY_HASH_LENGTH = 64
_PERCENT = 100
_LOWEST_PRIORITY = 2
_Rules = Iterable[tuple[str, str, bool]]


def name_problems(note: ReleaseNote) -> Iterator[Problem]:
    """Yields problems of names, of an empty note and of repeated items."""
    for field in ('name', 'team'):
        text = getattr(note, field)
        if not is_name(text):
            yield Problem(place=field, message=f'{text!r} is not a name')
    keys = [
        *((change.kind, change.item.name) for change in note.item_changes()),
        *(
            (withdrawal.kind, withdrawal.name)
            for withdrawal in note.withdrawals
        ),
    ]
    if not keys:
        yield Problem(place='note', message='it changes nothing')
    for key in sorted({key for key in keys if keys.count(key) > 1}):
        yield Problem(place=place_of(key), message='it stands here twice')


def range_problems(
    kind: ItemKind,
    item: ConfigurationItem,
) -> Iterator[Problem]:
    """Yields problems of fields of one item that are out of range."""
    if not is_name(item.name):
        yield Problem(
            place=place_of((kind, item.name), 'name'),
            message='names are letters, digits, ".", "-" and "_"',
        )
    for field, message, is_valid in _rules_of(item):
        if not is_valid:
            yield Problem(
                place=place_of((kind, item.name), field), message=message
            )


def _rules_of(item: ConfigurationItem) -> _Rules:
    if isinstance(item, Budget):
        return (
            ('initial_tokens', 'must be 0 or more', item.initial_tokens >= 0),
        )
    if isinstance(item, ClientAccount):
        return _account_rules(item)
    if isinstance(item, Route):
        return _route_rules(item)
    if isinstance(item, Upstream):
        return _upstream_rules(item)
    return _move_rules(item)


def _account_rules(item: ClientAccount) -> _Rules:
    hexadecimal = all(char in '0123456789abcdef' for char in item.key_hash)
    return (
        (
            'key_hash',
            'must be 64 hexadecimal digits in lower case',
            hexadecimal and len(item.key_hash) == _KEY_HASH_LENGTH,
        ),
        ('budgets', 'must name a budget at least', bool(item.budgets)),
        (
            'priority',
            'must be 0, 1 or 2',
            0 <= item.priority <= _LOWEST_PRIORITY,
        ),
    )


def _route_rules(item: Route) -> _Rules:
    return (
        ('version', 'must not be empty', bool(item.version)),
        ('deadline_ms', 'must be above 0', item.deadline_ms > 0),
        ('tokens_per_call', 'must be 0 or more', item.tokens_per_call >= 0),
        (
            'retry_share_percent',
            'must be from 0 to 100',
            0 <= item.retry_share_percent <= _PERCENT,
        ),
    )


def _upstream_rules(item: Upstream) -> _Rules:
    is_base_url = item.url.startswith('http://') and not item.url.endswith('/')
    return (
        ('version', 'must not be empty', bool(item.version)),
        ('url', 'must be such as "http://10.0.0.1:8000"', is_base_url),
        ('slot_count', 'must be above 0', item.slot_count > 0),
    )


def _move_rules(item: VersionMove) -> _Rules:
    largest = item.largest_share_percent
    return (
        *_guard_rules(item),
        (
            'to_version',
            'must differ from from_version',
            item.to_version != item.from_version,
        ),
        (
            'largest_share_percent',
            'must be from 1 to 50',
            1 <= largest <= _PERCENT // 2,
        ),
        ('watch_ms', 'must be 0 or more', item.watch_ms >= 0),
    )


def _guard_rules(item: VersionMove) -> _Rules:
    failures = item.failure_guard_percent
    return (
        (
            'failure_guard_percent',
            'must be from 1 to 100',
            1 <= failures <= _PERCENT,
        ),
        (
            'first_token_guard_ms',
            'must be above 0',
            item.first_token_guard_ms > 0,
        ),
        ('token_gap_guard_ms', 'must be above 0', item.token_gap_guard_ms > 0),
    )


def is_name(text: str) -> bool:
    """Whether a text is a valid name of a note, a team or an item."""
    return bool(text) and all(char.isalnum() or char in '-_.' for char in text)
