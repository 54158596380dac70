"""Immutable snapshot of the active configuration."""

import abc
from collections.abc import Mapping
from types import MappingProxyType
from typing import TypeVar

import attrs

from teaseldale.notes._items import (
    Budget,
    ClientAccount,
    ConfigurationItem,
    ItemKind,
    Route,
    Upstream,
    VersionMove,
)

_ItemT = TypeVar('_ItemT', bound=ConfigurationItem)
ItemKey = tuple[ItemKind, str]


@attrs.frozen(kw_only=True)
class Configuration:
    """Configuration items by name, with indexes for the request path."""

    revision: int  # sequence number of the newest applied note
    budgets: Mapping[str, Budget]
    accounts: Mapping[str, ClientAccount]
    accounts_by_key_hash: Mapping[str, ClientAccount]
    routes: Mapping[str, Route]
    upstreams: Mapping[str, Upstream]
    upstreams_by_route: Mapping[str, tuple[Upstream, ...]]
    moves: Mapping[str, VersionMove]

    @classmethod
    def build(
        cls,
        revision: int,
        items: Mapping[ItemKey, ConfigurationItem],
    ) -> 'Configuration':
        """Builds the snapshot of ``revision`` from ``items``."""
        values = tuple(items.values())
        accounts = _by_name(values, ClientAccount)
        upstreams = _by_name(values, Upstream)
        return cls(
            revision=revision,
            budgets=_by_name(values, Budget),
            accounts=accounts,
            accounts_by_key_hash=MappingProxyType(
                {account.key_hash: account for account in accounts.values()}
            ),
            routes=_by_name(values, Route),
            upstreams=upstreams,
            upstreams_by_route=_by_route(upstreams),
            moves=_by_name(values, VersionMove),
        )


class BaseConfigurationSource(abc.ABC):
    """Source of the configuration that is active on this VM."""

    @abc.abstractmethod
    def current(self) -> Configuration:
        """Returns the newest snapshot; its revision never decreases."""

    def may_serve(self) -> bool:
        """Returns whether requests may be served from the snapshot."""
        return True


def _by_name(
    values: tuple[ConfigurationItem, ...],
    item_type: type[_ItemT],
) -> Mapping[str, _ItemT]:
    return MappingProxyType(
        {item.name: item for item in values if isinstance(item, item_type)}
    )


def _by_route(
    upstreams: Mapping[str, Upstream],
) -> Mapping[str, tuple[Upstream, ...]]:
    grouped: dict[str, list[Upstream]] = {}
    for upstream in upstreams.values():
        grouped.setdefault(upstream.route, []).append(upstream)
    return MappingProxyType(
        {route: tuple(members) for route, members in grouped.items()}
    )
